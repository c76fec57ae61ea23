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

// Count is what the endpoints know of one request.
type Count struct {
	Runs int `json:"runs"`
	Done int `json:"done"`
}

// Ledger is what the endpoints really ran.
type Ledger struct {
	Counts map[string]Count `json:"counts"`
	Totals Endpoints        `json:"totals"`
}

// Endpoints sums up what the endpoints saw.
type Endpoints struct {
	// Cut counts requests that a planned stop broke off.
	Cut int `json:"cut"`
	// Late counts work that began seconds after its endpoint began to leave.
	Late int `json:"late"`
	// Peak is the greatest number of requests in flight on one endpoint.
	Peak int `json:"peak"`
}

// hostState is the state of a host without the lag of the host list.
type hostState struct {
	Host    glade.Host    `json:"host"`
	Service glade.Service `json:"service"`
	Open    bool          `json:"open"`
}

// fetch reads one of the stand-ins' own pages.
func fetch[T any](platform, path string) (T, error) {
	var out T
	reply, err := http.Get("http://" + platform + path)
	if err != nil {
		return out, errors.Wrapf(err, "fetch %s", path)
	}
	defer reply.Body.Close()
	return out, errors.Wrapf(json.NewDecoder(reply.Body).Decode(&out), "decode %s", path)
}

// startFaults hands a script of faults to the stand-ins, if one is named.
func startFaults(platform, name string) error {
	if name == "" {
		return nil
	}
	script, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "read script of faults")
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
