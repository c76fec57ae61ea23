// Package tasks runs the job controller of a keeper.
package tasks

import (
	"context"
	"expvar"
	"time"

	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/jobs"
)

// Limits of the job controller.
const (
	stepInterval = 500 * time.Millisecond
	// writesPerSecond is the share of the jobs in the table service's writes,
	// in rows per second over all keepers.
	writesPerSecond = 100
	// waveWritesPerSecond is the write rate of one keeper while it processes a
	// large wave of cancellations, in rows per second.
	waveWritesPerSecond = 180
	maxParallelCalls    = 16
	stopTimeout         = 2 * time.Second
)

// Config holds the dependencies of Tasks.
type Config struct {
	Table    glade.Table
	Objects  glade.ObjectStore
	Hosts    glade.HostList
	Workers  glade.Workers
	Registry *adopt.Registry
	Roster   glade.Roster
	Clock    glade.Clock
	Log      logr.Logger
}

// Tasks runs the job controller, which places jobs and monitors their runs.
type Tasks struct {
	config     Config
	controller *jobs.Controller
}

// New returns Tasks. It publishes the controller's event counts as the expvar map
// "jobs", so it can be called only once per process.
func New(config Config) *Tasks {
	return &Tasks{config: config, controller: jobs.New(jobs.Config{
		Table: config.Table, Objects: config.Objects, Workers: config.Workers, Hosts: config.Hosts,
		Registry: config.Registry, Roster: config.Roster,
		WriteRate: writesPerSecond, WaveWriteRate: waveWritesPerSecond, MaxCalls: maxParallelCalls, Counters: expvar.NewMap("jobs"),
	})}
}

// Run takes steps until ctx ends.
func (t *Tasks) Run(ctx context.Context) error {
	healthy := true
	for {
		err := t.controller.Step(ctx, t.config.Clock.Now())
		if (err == nil) != healthy {
			healthy = err == nil
			t.config.Log.Info("jobs", "reachable", healthy)
		}
		if t.config.Clock.Sleep(ctx, stepInterval) != nil {
			t.stop()
			return nil
		}
	}
}

// stop hands the shards over to other keepers, within stopTimeout.
func (t *Tasks) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	t.controller.Stop(ctx)
}
