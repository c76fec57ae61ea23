package load

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Executions is the number of started and completed executions of one request.
type Executions struct {
	Started   int `json:"runs"`
	Completed int `json:"done"`
}

// Ledger is the record of executions that the endpoints keep.
type Ledger struct {
	Counts map[string]Executions `json:"counts"`
	Totals EndpointTotals        `json:"totals"`
}

// EndpointTotals is a summary over all endpoints.
type EndpointTotals struct {
	// Interrupted counts requests that a planned stop interrupted.
	Interrupted int `json:"cut"`
	// StartedLate counts requests that started seconds after their endpoint had begun to leave.
	StartedLate int `json:"late"`
	// MaxInFlight is the largest number of requests in flight on one endpoint.
	MaxInFlight int `json:"peak"`
}

// hostState is the current state of a host, which the host list shows only after a delay.
type hostState struct {
	Host    glade.Host    `json:"host"`
	Service glade.Service `json:"service"`
	Open    bool          `json:"open"`
}

// fetch reads a JSON page of the simulated platform.
func fetch[T any](platform, path string) (T, error) {
	var out T
	reply, err := http.Get("http://" + platform + path)
	if err != nil {
		return out, errors.Wrapf(err, "fetch %s", path)
	}
	defer reply.Body.Close()
	return out, errors.Wrapf(json.NewDecoder(reply.Body).Decode(&out), "decode %s", path)
}

// startFaults starts a fault script on the simulated platform. An empty name starts none.
func startFaults(platform, name string) error {
	if name == "" {
		return nil
	}
	script, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "read fault script")
	}
	reply, err := http.Post("http://"+platform+"/fault", "application/json", bytes.NewReader(script))
	if err != nil {
		return errors.Wrap(err, "start faults")
	}
	defer reply.Body.Close()
	if reply.StatusCode == http.StatusOK {
		return nil
	}
	text, err := io.ReadAll(reply.Body)
	return errors.Errorf("start faults of %s: %s %v", name, text, err)
}
