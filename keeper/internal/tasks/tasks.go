// Package tasks runs the jobs duty of a keeper.
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

// Bounds of the duty.
const (
	period = 500 * time.Millisecond
	// writes is the share of the jobs in the table service's writes, in rows per
	// second over all keepers.
	writes = 100
	// wave is the same while one keeper carries out a wave of cancellations.
	wave     = 180
	parallel = 16
	stopTime = 2 * time.Second
)

// Config configures the Tasks.
type Config struct {
	Table   glade.Table
	Objects glade.Objects
	Hosts   glade.HostList
	Workers glade.Workers
	Book    *adopt.Registry
	Roster  glade.Roster
	Clock   glade.Clock
	Log     logr.Logger
}

// Tasks places and follows jobs.
type Tasks struct {
	config Config
	crew   *jobs.Controller
}

// New returns the duty, which counts in the expvar map "jobs".
func New(config Config) *Tasks {
	return &Tasks{config: config, crew: jobs.New(jobs.Config{
		Table: config.Table, Objects: config.Objects, Workers: config.Workers, Hosts: config.Hosts,
		Book: config.Book, Roster: config.Roster, WriteRate: writes, WaveWriteRate: wave, MaxCalls: parallel, Counters: expvar.NewMap("jobs"),
	})}
}

// Run takes steps until ctx ends.
func (t *Tasks) Run(ctx context.Context) error {
	healthy := true
	for {
		err := t.crew.Step(ctx, t.config.Clock.Now())
		if (err == nil) != healthy {
			healthy = err == nil
			t.config.Log.Info("jobs", "reachable", healthy)
		}
		if t.config.Clock.Sleep(ctx, period) != nil {
			t.stop()
			return nil
		}
	}
}

// stop hands the shards over, in a bounded time.
func (t *Tasks) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	t.crew.Stop(ctx)
}
