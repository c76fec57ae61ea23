// Package fleet carries out the fleet decisions of a keeper.
package fleet

import (
	"context"
	"expvar"
	"time"

	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/owner"
	"indigoglade/table"
	"indigoglade/wave"
)

const period = 500 * time.Millisecond

// Config configures the Fleet.
type Config struct {
	Table   glade.Table
	Hosts   glade.HostList
	Workers glade.Workers
	Book    *adopt.Book
	Roster  glade.Roster
	Clock   glade.Clock
	Log     logr.Logger
}

// Fleet observes the hosts and takes the next steps.
type Fleet struct {
	config   Config
	counters *expvar.Map
}

// New returns the fleet duty, which counts in the expvar map "fleet".
func New(config Config) *Fleet {
	return &Fleet{config: config, counters: expvar.NewMap("fleet")}
}

// Run takes steps until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	healthy := true
	for {
		err := f.step(ctx)
		if (err == nil) != healthy {
			healthy = err == nil
			f.config.Log.Info("platform", "reachable", healthy, "cause", errorText(err))
		}
		if f.config.Clock.Sleep(ctx, period) != nil {
			return nil
		}
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// view is what one step decides on. It is read-only once made.
type view struct {
	now    time.Time
	listed []glade.Listed
	rows   map[glade.Host]owner.Host
}

func (f *Fleet) step(ctx context.Context) error {
	now := f.config.Clock.Now()
	if _, err := adopt.Fetch(ctx, f.config.Table, f.config.Book, now); err != nil {
		return err
	}
	listed, err := f.config.Hosts.List(ctx)
	if err != nil {
		return err
	}
	records, err := table.LoadAll[glade.HostRow](ctx, f.config.Table, glade.PrefixHost)
	if err != nil {
		return err
	}
	v := view{now: now, listed: listed, rows: make(map[glade.Host]owner.Host, len(records))}
	for _, record := range records {
		v.rows[record.Data().Host] = record
	}
	if err := f.assign(ctx, v); err != nil {
		return err
	}
	if err := f.follow(ctx, v); err != nil {
		return err
	}
	return f.waves(ctx, v)
}

// assign gives hosts without a row to the pool that lacks most.
func (f *Fleet) assign(ctx context.Context, v view) error {
	have := make(map[glade.Pool]int)
	for _, record := range v.rows {
		have[record.Data().Pool]++
	}
	for _, listed := range v.listed {
		if _, owned := v.rows[listed.Host]; owned {
			continue
		}
		a, ok := f.neediest(have)
		if !ok {
			return nil
		}
		a.Listed = listed
		absent, err := owner.LoadHost(ctx, f.config.Table, listed.Host)
		if err != nil {
			return err
		}
		if absent.Exists() {
			continue
		}
		result, err := owner.Assign(ctx, f.config.Table, absent, a, v.now)
		if err != nil {
			return err
		}
		f.counters.Add("assign."+result.String(), 1)
		have[a.Pool.Name]++
	}
	return nil
}

// neediest returns the pool that lacks the most hosts of its promise.
func (f *Fleet) neediest(have map[glade.Pool]int) (owner.Assignment, bool) {
	var best owner.Assignment
	lack := 0
	for _, contract := range f.config.Book.All() {
		for _, pool := range contract.Spec().Pools {
			if missing := pool.Hosts - have[pool.Name]; missing > lack {
				lack = missing
				best = owner.Assignment{Customer: contract.Customer(), Pool: pool}
			}
		}
	}
	return best, lack > 0
}

// follow moves each host that is not serving on to its next phase.
func (f *Fleet) follow(ctx context.Context, v view) error {
	for _, record := range v.rows {
		if record.Data().Phase == glade.HostServing {
			continue
		}
		if err := f.followHost(ctx, v.now, record); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) followHost(ctx context.Context, now time.Time, record owner.Host) error {
	row := record.Data()
	state, err := f.config.Workers.State(ctx, row.Host)
	if err != nil {
		f.counters.Add("worker.unreachable", 1)
		return nil
	}
	switch row.Phase {
	case glade.HostDraining:
		return f.followDrain(ctx, now, record, state)
	case glade.HostReboot:
		return f.followReboot(ctx, now, record, state)
	case glade.HostVerify:
		return f.giveBack(ctx, now, record)
	}
	return nil
}

func (f *Fleet) followDrain(ctx context.Context, now time.Time, record owner.Host, state glade.WorkerState) error {
	row := record.Data()
	if !state.Draining {
		return f.command("drain", f.config.Workers.Drain(ctx, row.Host, row.Epoch))
	}
	if state.Running > 0 || now.UnixMilli()-row.Since < settleTime.Milliseconds() {
		return nil
	}
	return f.count("reboot")(owner.Advance(ctx, f.config.Table, record, glade.HostReboot, state.Incarnation, now))
}

// settleTime is how long a drained host waits for requests that were on their
// way when it began to drain.
const settleTime = 3 * time.Second

func (f *Fleet) followReboot(ctx context.Context, now time.Time, record owner.Host, state glade.WorkerState) error {
	row := record.Data()
	if state.Incarnation <= row.Incarnation {
		return f.command("reboot", f.config.Workers.Reboot(ctx, row.Host, row.Epoch, row.Service))
	}
	return f.count("verify")(owner.Advance(ctx, f.config.Table, record, glade.HostVerify, state.Incarnation, now))
}

func (f *Fleet) giveBack(ctx context.Context, now time.Time, record owner.Host) error {
	row := record.Data()
	account, err := owner.LoadAccount(ctx, f.config.Table, row.Customer, row.Pool)
	if err != nil {
		return err
	}
	return f.count("return")(owner.Return(ctx, f.config.Table, record, account, now))
}

// waves starts planned stops where the budgets allow.
func (f *Fleet) waves(ctx context.Context, v view) error {
	for _, contract := range f.config.Book.All() {
		for _, pool := range contract.Spec().Pools {
			if err := f.wavePool(ctx, v, contract, pool); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *Fleet) wavePool(ctx context.Context, v view, contract glade.Contract, pool glade.PoolSpec) error {
	account, err := owner.LoadAccount(ctx, f.config.Table, contract.Customer(), pool.Name)
	if err != nil {
		return err
	}
	step := wave.Next(wave.State{Contract: contract, Pool: pool, Hosts: v.poolRows(pool.Name), Account: account.Data()})
	for _, host := range step.Hosts() {
		result, err := owner.BeginDrain(ctx, f.config.Table, v.rows[host], account, contract.Spec().Wave.Name, v.now)
		if err != nil {
			return err
		}
		f.counters.Add("drain."+result.String(), 1)
		// The account has changed: the next host waits for the next step.
		return nil
	}
	return nil
}

func (v view) poolRows(pool glade.Pool) []glade.HostRow {
	var rows []glade.HostRow
	for _, record := range v.rows {
		if record.Data().Pool == pool {
			rows = append(rows, record.Data())
		}
	}
	return rows
}

// command counts a command to a worker. A worker that can't be reached is met
// again in the next step.
func (f *Fleet) command(name string, err error) error {
	if err != nil {
		f.counters.Add(name+".failed", 1)
		return nil
	}
	f.counters.Add(name+".sent", 1)
	return nil
}

// count counts the result of a transaction. A conflict means that another
// keeper was first, and needs nothing done.
func (f *Fleet) count(name string) func(glade.Commit, error) error {
	return func(result glade.Commit, err error) error {
		f.counters.Add(name+"."+result.String(), 1)
		return err
	}
}
