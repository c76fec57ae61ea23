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

// world is one fleet with its keepers while a schedule runs.
type world struct {
	schedule Schedule
	table    *memory.Table
	workers  *memory.Workers
	clock    *clock.Fake
	keepers  []*keeper
	listed   []glade.Listed
	specs    []glade.ContractSpec
	audit    *audit
	waves    int
}

// keeper is one keeper, which can be paused at its nth call of the platform.
type keeper struct {
	*memory.Table
	*memory.Workers
	fleet *fleet.Controller
	left  int
	then  func()
}

// call counts a call and runs what happens in the pause.
func (k *keeper) call() {
	if k.then == nil {
		return
	}
	if k.left--; k.left <= 0 {
		then := k.then
		k.then = nil
		then()
	}
}

// Get reads a row, after the pause if there is one.
func (k *keeper) Get(ctx context.Context, key string) (glade.Row, error) {
	k.call()
	return k.Table.Get(ctx, key)
}

// Commit runs a transaction, after the pause if there is one.
func (k *keeper) Commit(ctx context.Context, txn glade.Txn) glade.Commit {
	k.call()
	return k.Table.Commit(ctx, txn)
}

// Drain commands a worker, after the pause if there is one.
func (k *keeper) Drain(ctx context.Context, host glade.Host, epoch uint64) error {
	k.call()
	return k.Workers.Drain(ctx, host, epoch)
}

// Reboot commands a worker, after the pause if there is one.
func (k *keeper) Reboot(ctx context.Context, host glade.Host, epoch uint64, service glade.Service) error {
	k.call()
	return k.Workers.Reboot(ctx, host, epoch, service)
}

func newWorld(s Schedule) *world {
	w := &world{schedule: s, table: memory.NewTable(), clock: clock.NewFake(time.Unix(1_000_000, 0))}
	for i := range hosts {
		name := fmt.Sprintf("h%02d", i)
		rack := i * racks / hosts
		w.listed = append(w.listed, glade.Listed{
			Host: glade.Host(name), Address: name, Zone: glade.Zone(fmt.Sprint(rack % zones)), Rack: glade.Rack(fmt.Sprint(rack)),
		})
	}
	w.workers = memory.NewWorkers(memory.WorkersConfig{Clock: w.clock, Boot: bootTime, Hosts: w.listed})
	w.audit = newAudit(w.clock)
	w.table.Watch(w.audit.write)
	w.specs = []glade.ContractSpec{s.spec("a", 4, false), s.spec("b", 2, false), s.spec("spare", 3, true)}
	for i := range w.specs {
		w.apply(w.specs[i])
	}
	for range keepers {
		w.keepers = append(w.keepers, w.newKeeper())
	}
	return w
}

// bootTime is the time that a host takes to reboot.
const bootTime = 5 * time.Second

// newKeeper returns a keeper that has every duty, as when rosters disagree
// most.
func (w *world) newKeeper() *keeper {
	k := &keeper{Table: w.table, Workers: w.workers}
	k.fleet = fleet.New(fleet.Config{
		Table: k, Hosts: w.workers, Workers: k, Prober: w.workers, Book: adopt.New(),
		Roster: glade.NewStaticRoster("k", []glade.Node{"k"}), Clock: w.clock, Log: logr.Discard(),
	})
	return k
}

// apply commits a contract on the newest version. It has no effect while the
// table service is down.
func (w *world) apply(spec glade.ContractSpec) {
	w.applyOn(spec, w.audit.contracts[spec.Customer].Version)
}

func (w *world) applyOn(spec glade.ContractSpec, seen uint64) {
	_, err := adopt.Accept(context.Background(), w.table, spec, seen)
	_ = err // the service is down: the operator tries again later
}

// settle lets some keepers work while nothing fails.
func (w *world) settle(rounds int, keepers []*keeper) {
	for range rounds {
		for _, k := range keepers {
			w.round(k)
		}
		w.clock.Advance(roundStep)
	}
}

// roundStep is the time between two rounds while nothing else happens.
const roundStep = 5 * time.Second

func (w *world) round(k *keeper) {
	err := k.fleet.Reconcile(context.Background())
	_ = err // the service is down: the keeper tries again in its next round
}
