package fleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/clock"
	"indigoglade/fleet"
	"indigoglade/memory"
	"indigoglade/owner"
)

var ctx = context.Background()

// rig is a small fleet with some keepers on a fake clock.
type rig struct {
	table   *memory.Table
	workers *memory.Workers
	clock   *clock.Fake
	keepers []*fleet.Controller
}

func spec(customer glade.Customer, hosts int, spare bool) glade.ContractSpec {
	name := glade.Pool(customer)
	return glade.ContractSpec{
		Customer: customer,
		Pools:    []glade.PoolSpec{{Name: name, Serve: glade.Service(name), Hosts: hosts, MinHosts: 1, MaxHosts: 2 * hosts, Spare: spare}},
		Budget:   glade.BudgetSpec{Down: 2, Minutes: 600, Window: glade.Span(24 * time.Hour), Domain: "host"},
		Wave:     glade.WaveSpec{DrainTime: glade.Span(10 * time.Second)},
	}
}

func newRig(t *testing.T, hosts, keepers int, specs ...glade.ContractSpec) *rig {
	t.Helper()
	r := &rig{table: memory.NewTable(), clock: clock.NewFake(time.Unix(1000, 0))}
	var list []glade.HostListing
	for i := range hosts {
		name := fmt.Sprintf("h%02d", i)
		list = append(list, glade.HostListing{Host: glade.Host(name), Zone: glade.Zone(fmt.Sprint(i % 3)), Rack: glade.Rack(fmt.Sprint(i / 4)), Address: name})
	}
	r.workers = memory.NewWorkers(memory.WorkersConfig{Clock: r.clock, BootTime: time.Second, Hosts: list})
	for _, s := range specs {
		r.apply(t, s)
	}
	for range keepers {
		r.keepers = append(r.keepers, r.keeper())
	}
	return r
}

// keeper returns a keeper that is responsible for every pool, as can happen
// while rosters differ.
func (r *rig) keeper() *fleet.Controller {
	return fleet.New(fleet.Config{
		Table: r.table, Hosts: r.workers, Workers: r.workers, Prober: r.workers, Registry: adopt.New(),
		Roster: glade.NewStaticRoster("k", []glade.Node{"k"}), Clock: r.clock, Log: logr.Discard(),
	})
}

func (r *rig) apply(t *testing.T, s glade.ContractSpec) {
	t.Helper()
	record, err := owner.LoadContract(ctx, r.table, s.Customer)
	qt.Assert(t, err, qt.IsNil)
	got, err := adopt.Accept(ctx, r.table, s, record.Data().Version)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, got.Result(), qt.Equals, glade.Committed)
}

// run lets every keeper take rounds for d of virtual time.
func (r *rig) run(t *testing.T, d time.Duration) {
	t.Helper()
	for end := r.clock.Now().Add(d); r.clock.Now().Before(end); r.clock.Advance(500 * time.Millisecond) {
		for _, k := range r.keepers {
			qt.Assert(t, k.Reconcile(ctx), qt.IsNil)
		}
	}
}

func (r *rig) account(t *testing.T, customer glade.Customer) glade.AccountRow {
	t.Helper()
	account, err := owner.LoadAccount(ctx, r.table, customer, glade.Pool(customer))
	qt.Assert(t, err, qt.IsNil)
	return account.Data()
}

// expectMembers checks how many members a pool has, and how many of them have
// the cause.
func (r *rig) expectMembers(t *testing.T, customer glade.Customer, members int, cause glade.DownCause, with int) {
	t.Helper()
	account := r.account(t, customer)
	got := 0
	for _, member := range account.Members {
		if member.Cause == cause {
			got++
		}
	}
	qt.Check(t, account.Members, qt.HasLen, members)
	qt.Check(t, got, qt.Equals, with, qt.Commentf("cause %q: %v", cause, account.Members))
}

func TestRacingKeepersAssignWhatIsPromised(t *testing.T) {
	r := newRig(t, 16, 3, spec("a", 5, false), spec("b", 5, false), spec("c", 4, true))
	r.run(t, 20*time.Second)
	r.expectMembers(t, "a", 5, glade.CauseNone, 5)
	r.expectMembers(t, "b", 5, glade.CauseNone, 5)
	r.expectMembers(t, "c", 4, glade.CauseNone, 4)
}

func TestWaveMaintainsEveryHostWithinTheBudget(t *testing.T) {
	s := spec("a", 5, false)
	r := newRig(t, 5, 2, s)
	r.run(t, 20*time.Second)
	s.Wave.Name, s.Wave.State = "w", "run"
	r.apply(t, s)
	for range 200 {
		r.run(t, 500*time.Millisecond)
		account := r.account(t, "a")
		down := 0
		for _, member := range account.Members {
			if member.Cause != glade.CauseNone {
				down++
			}
		}
		qt.Assert(t, down <= 1, qt.IsTrue, qt.Commentf("the budget allows two hosts down, but the headroom only one: %v", account.Members))
	}
	for host, member := range r.account(t, "a").Members {
		qt.Check(t, member.Wave, qt.Equals, "w", qt.Commentf("%s", host))
	}
	qt.Check(t, r.workers.Interrupted(), qt.Equals, 0)
}

func TestFailureCountsAndStopsTheWave(t *testing.T) {
	s := spec("a", 5, false)
	r := newRig(t, 5, 1, s)
	r.run(t, 20*time.Second)
	r.workers.SetFault("h00", memory.Dead)
	r.run(t, 10*time.Second)
	r.expectMembers(t, "a", 5, glade.CauseFail, 1)
	s.Wave.Name, s.Wave.State = "w", "run"
	r.apply(t, s)
	r.run(t, 30*time.Second)
	r.expectMembers(t, "a", 5, glade.CausePlan, 0)
	r.workers.SetFault("h00", memory.Healthy)
	r.run(t, 5*time.Second)
	r.expectMembers(t, "a", 5, glade.CauseFail, 0)
	qt.Check(t, r.account(t, "a").DownTimes, qt.HasLen, 1)
}

func TestHostThatFailsItsProbesDoesNotServe(t *testing.T) {
	r := newRig(t, 2, 1, spec("a", 2, false))
	r.workers.SetFault("h01", memory.Failing)
	r.run(t, 20*time.Second)
	r.expectMembers(t, "a", 2, glade.CauseJoin, 1)
	r.workers.SetFault("h01", memory.Healthy)
	r.run(t, 10*time.Second)
	r.expectMembers(t, "a", 2, glade.CauseNone, 2)
}

func TestDrainWaitsThenCheckpoints(t *testing.T) {
	s := spec("a", 4, false)
	s.Wave.DrainTime = glade.Span(time.Minute)
	r := newRig(t, 4, 1, s)
	r.run(t, 20*time.Second)
	for i := range 4 {
		r.workers.SetRunning(glade.Host(fmt.Sprintf("h%02d", i)), 1)
	}
	s.Wave.Name, s.Wave.State = "w", "run"
	r.apply(t, s)
	r.run(t, 50*time.Second)
	r.expectMembers(t, "a", 4, glade.CausePlan, 1)
	qt.Check(t, r.account(t, "a").DownTimes, qt.HasLen, 0)
	r.run(t, 30*time.Second)
	qt.Check(t, r.account(t, "a").DownTimes, qt.HasLen, 1)
	qt.Check(t, r.workers.Interrupted(), qt.Equals, 0)
}

func TestFailedHostIsReplacedFromTheSparePool(t *testing.T) {
	r := newRig(t, 8, 2, spec("a", 4, false), spec("s", 4, true))
	r.run(t, 20*time.Second)
	var lost glade.Host
	for host := range r.account(t, "a").Members {
		lost = host
		break
	}
	r.workers.SetFault(lost, memory.Dead)
	r.run(t, 90*time.Second)
	r.expectMembers(t, "a", 4, glade.CauseNone, 4)
	r.expectMembers(t, "s", 3, glade.CauseNone, 3)
	_, still := r.account(t, "a").Members[lost]
	qt.Check(t, still, qt.IsFalse)
}

func TestPoolThatIsNoLongerNamedIsEmptied(t *testing.T) {
	s := spec("a", 3, false)
	s.Pools = append(s.Pools, glade.PoolSpec{Name: "old", Serve: "old", Hosts: 3, MinHosts: 3, MaxHosts: 3})
	r := newRig(t, 9, 2, s, spec("s", 6, true))
	r.run(t, 20*time.Second)
	s.Pools = s.Pools[:1]
	r.apply(t, s)
	r.run(t, 3*time.Minute)
	old, err := owner.LoadAccount(ctx, r.table, "a", "old")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, old.Data().Members, qt.HasLen, 0)
	r.expectMembers(t, "s", 6, glade.CauseNone, 6)
	qt.Check(t, r.workers.Interrupted(), qt.Equals, 0)
}

func TestHostThatNeverServedIsHeldBack(t *testing.T) {
	r := newRig(t, 2, 1, spec("a", 2, false))
	r.workers.SetFault("h01", memory.Failing)
	r.run(t, 6*time.Minute)
	r.expectMembers(t, "a", 1, glade.CauseNone, 1)
	r.workers.SetFault("h01", memory.Healthy)
	r.run(t, 5*time.Minute)
	r.expectMembers(t, "a", 1, glade.CauseNone, 1)
	r.run(t, 6*time.Minute)
	r.expectMembers(t, "a", 2, glade.CauseNone, 2)
}
