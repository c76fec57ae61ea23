package sched

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/clock"
	"indigoglade/fleet"
	"indigoglade/memory"
)

// simulation is a fleet with its keepers while a schedule runs.
type simulation struct {
	schedule  Schedule
	table     *memory.Table
	workers   *memory.Workers
	clock     *clock.Fake
	keepers   []*keeper
	listed    []glade.HostListing
	specs     []glade.ContractSpec
	auditor   *auditor
	waveCount int
}

// keeper wraps the table and the workers of one keeper, to suspend it at its nth call.
type keeper struct {
	*memory.Table
	*memory.Workers
	fleet     *fleet.Controller
	callsLeft int
	onPause   func()
}

// countCall counts a call of the table or the workers and runs onPause when the pause is due.
func (k *keeper) countCall() {
	if k.onPause == nil {
		return
	}
	if k.callsLeft--; k.callsLeft <= 0 {
		onPause := k.onPause
		k.onPause = nil
		onPause()
	}
}

// Get reads a row. A due pause happens before.
func (k *keeper) Get(ctx context.Context, key string) (glade.Row, error) {
	k.countCall()
	return k.Table.Get(ctx, key)
}

// Commit runs a transaction. A due pause happens before.
func (k *keeper) Commit(ctx context.Context, txn glade.Txn) glade.CommitResult {
	k.countCall()
	return k.Table.Commit(ctx, txn)
}

// Drain tells a worker to drain. A due pause happens before.
func (k *keeper) Drain(ctx context.Context, host glade.Host, epoch uint64) error {
	k.countCall()
	return k.Workers.Drain(ctx, host, epoch)
}

// Reboot tells a worker to reboot. A due pause happens before.
func (k *keeper) Reboot(ctx context.Context, host glade.Host, epoch uint64, service glade.Service) error {
	k.countCall()
	return k.Workers.Reboot(ctx, host, epoch, service)
}

func newSimulation(s Schedule) *simulation {
	w := &simulation{schedule: s, table: memory.NewTable(), clock: clock.NewFake(time.Unix(1_000_000, 0))}
	for i := range hostCount {
		name := fmt.Sprintf("h%02d", i)
		rack := i * rackCount / hostCount
		w.listed = append(w.listed, glade.HostListing{
			Host: glade.Host(name), Address: name, Zone: glade.Zone(fmt.Sprint(rack % zoneCount)), Rack: glade.Rack(fmt.Sprint(rack)),
		})
	}
	w.workers = memory.NewWorkers(memory.WorkersConfig{Clock: w.clock, BootTime: bootTime, Hosts: w.listed})
	w.auditor = newAuditor(w.clock)
	w.table.OnWrite(w.auditor.observeWrite)
	w.specs = []glade.ContractSpec{s.spec("a", 4, false), s.spec("b", 2, false), s.spec("spare", 3, true)}
	for i := range w.specs {
		w.apply(w.specs[i])
	}
	for range keeperCount {
		w.keepers = append(w.keepers, w.newKeeper())
	}
	return w
}

const bootTime = 5 * time.Second

// newKeeper returns a keeper that acts for every pool. All keepers overlapping is the worst case of
// disagreeing rosters.
func (w *simulation) newKeeper() *keeper {
	k := &keeper{Table: w.table, Workers: w.workers}
	k.fleet = fleet.New(fleet.Config{
		Table: k, Hosts: w.workers, Workers: k, Prober: w.workers, Registry: adopt.New(),
		Roster: glade.NewStaticRoster("k", []glade.Node{"k"}), Clock: w.clock, Log: logr.Discard(),
	})
	return k
}

// apply commits a contract on top of the latest version. It has no effect while the table service
// is down.
func (w *simulation) apply(spec glade.ContractSpec) {
	w.applyVersion(spec, w.auditor.contracts[spec.Customer].Version)
}

func (w *simulation) applyVersion(spec glade.ContractSpec, seen uint64) {
	_, err := adopt.Accept(context.Background(), w.table, spec, seen)
	_ = err // the table service may be down; the operator retries later
}

// runRounds runs rounds of the given keepers while nothing fails.
func (w *simulation) runRounds(rounds int, keepers []*keeper) {
	for range rounds {
		for _, k := range keepers {
			w.runRound(k)
		}
		w.clock.Advance(roundPeriod)
	}
}

// roundPeriod is the time between rounds outside of pauses.
const roundPeriod = 5 * time.Second

func (w *simulation) runRound(k *keeper) {
	err := k.fleet.Reconcile(context.Background())
	_ = err // the table service may be down; the keeper retries in its next round
}
