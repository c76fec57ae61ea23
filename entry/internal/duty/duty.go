// Package duty holds the background tasks of an entry host: polling the host
// list, saving outcome counts, and answering operators.
package duty

import (
	"context"
	"expvar"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/burn"
	"indigoglade/intake"
	"indigoglade/remote"
)

// hostListInterval is the time between two reads of the host list.
const hostListInterval = 500 * time.Millisecond

// Config holds what the background tasks work with.
type Config struct {
	Node       glade.Node
	Registry   *adopt.Registry
	Dispatcher *intake.Dispatcher
	Meter      *burn.Meter
	Platform   *remote.Client
	Roster     glade.Roster
	Clock      glade.Clock
}

// Tasks are the background tasks of an entry host.
type Tasks struct {
	config   Config
	counters *expvar.Map
}

// New returns the tasks, which count in the expvar map "duties".
func New(config Config) *Tasks {
	return &Tasks{config: config, counters: expvar.NewMap("duties")}
}

// PollHosts polls the host list and updates the endpoints until ctx ends.
func (t *Tasks) PollHosts(ctx context.Context) error {
	for {
		list, err := t.config.Platform.List(ctx)
		if err == nil {
			t.config.Dispatcher.UpdateHosts(list)
		} else {
			t.counters.Add("list.failed", 1)
		}
		if t.config.Clock.Sleep(ctx, hostListInterval) != nil {
			return nil
		}
	}
}

// Version is the version of one customer's contract.
type Version struct {
	Customer glade.Customer `json:"customer"`
	Version  uint64         `json:"version"`
}

// Report is the status of an entry host.
type Report struct {
	Node     glade.Node   `json:"node"`
	Change   uint64       `json:"change"`
	Age      int64        `json:"age"` // milliseconds; -1 when never confirmed
	Versions []Version    `json:"versions"`
	Live     []glade.Node `json:"live"` // the entry hosts that are believed to be up
}

// Status answers operators with the Report.
func (t *Tasks) Status(c echo.Context) error {
	return c.JSON(http.StatusOK, t.report())
}

func (t *Tasks) report() Report {
	r := Report{Node: t.config.Node, Change: t.config.Registry.Change(), Age: -1}
	r.Live = t.config.Roster.Live()
	if age, confirmed := t.config.Registry.Age(t.config.Clock.Now()); confirmed {
		r.Age = age.Milliseconds()
	}
	for _, contract := range t.config.Registry.All() {
		r.Versions = append(r.Versions, Version{Customer: contract.Customer(), Version: contract.Version()})
	}
	return r
}
