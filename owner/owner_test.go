package owner_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/budget"
	"indigoglade/memory"
	"indigoglade/owner"
)

var (
	start = time.Unix(1000, 0)
	ctx   = context.Background()
)

// fixture is a table with a pool "quotes" of three serving hosts h1, h2 and h3.
type fixture struct {
	table *memory.Table
	spec  glade.ContractSpec
}

func newFixture(t *testing.T, mode memory.Mode) *fixture {
	t.Helper()
	f := &fixture{table: memory.NewTable()}
	f.spec = glade.ContractSpec{
		Customer: "dealers",
		Pools:    []glade.PoolSpec{{Name: "quotes", Serve: "quotes", Hosts: 3, MinHosts: 1, MaxHosts: 6}},
		Budget:   glade.BudgetSpec{Down: 2, Minutes: 60, Window: glade.Span(24 * time.Hour), Domain: "host"},
		Wave:     glade.WaveSpec{Name: "w", State: "run", DrainTime: glade.Span(10 * time.Second)},
	}
	f.acceptContract(t, 0)
	f.table.SetMode(mode)
	for _, host := range []glade.Host{"h1", "h2", "h3"} {
		record, account := f.load(t, host)
		result, err := owner.Assign(ctx, f.table, record, account, f.assignment(host), start)
		expectCommitted(t, result, err)
		record, _ = f.load(t, host)
		result, err = owner.SetPhase(ctx, f.table, record, glade.HostVerify, 2, start)
		expectCommitted(t, result, err)
		record, account = f.load(t, host)
		result, err = owner.ReturnToService(ctx, f.table, record, account, start)
		expectCommitted(t, result, err)
	}
	return f
}

func (f *fixture) acceptContract(t *testing.T, seen uint64) {
	t.Helper()
	accepted, err := adopt.Accept(ctx, f.table, f.spec, seen)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, accepted.Result(), qt.Equals, glade.Committed)
}

func (f *fixture) assignment(host glade.Host) owner.Assignment {
	return owner.Assignment{Listed: glade.HostListing{Host: host}, Customer: "dealers", Pool: f.spec.Pools[0], DesiredSize: 3}
}

func (f *fixture) load(t *testing.T, name glade.Host) (owner.Host, owner.Account) {
	t.Helper()
	host, err := owner.LoadHost(ctx, f.table, name)
	qt.Assert(t, err, qt.IsNil)
	account, err := owner.LoadAccount(ctx, f.table, "dealers", "quotes")
	qt.Assert(t, err, qt.IsNil)
	return host, account
}

func (f *fixture) contract(t *testing.T) owner.Contract {
	t.Helper()
	contract, err := owner.LoadContract(ctx, f.table, "dealers")
	qt.Assert(t, err, qt.IsNil)
	return contract
}

func expectCommitted(t *testing.T, result owner.Result, err error) {
	t.Helper()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result.IsDone(), qt.IsTrue, qt.Commentf("%s", result))
}

func expectNotCommitted(t *testing.T, result owner.Result, err error, want string) {
	t.Helper()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, result.String(), qt.Equals, want)
}

func TestAssignStopsAtTheWantedNumber(t *testing.T) {
	f := newFixture(t, memory.Up)
	host, account := f.load(t, "h4")
	result, err := owner.Assign(ctx, f.table, host, account, f.assignment("h4"), start)
	expectNotCommitted(t, result, err, "wait.full")
}

// Two keepers that decide on the same version of the account must not both take
// a host down: the second transaction conflicts, and a new attempt on the fresh
// rows finds no headroom left.
func TestTwoKeepersPlanOnce(t *testing.T) {
	f := newFixture(t, memory.Up)
	first, account := f.load(t, "h1")
	second, _ := f.load(t, "h2")
	result, err := owner.BeginMaintenance(ctx, f.table, f.contract(t), first, account, start)
	expectCommitted(t, result, err)
	result, err = owner.BeginMaintenance(ctx, f.table, f.contract(t), second, account, start)
	expectNotCommitted(t, result, err, "conflicted")
	second, account = f.load(t, "h2")
	result, err = owner.BeginMaintenance(ctx, f.table, f.contract(t), second, account, start)
	expectNotCommitted(t, result, err, "wait.headroom")
}

// A plan decided under a contract that was replaced meanwhile must not commit,
// because the new contract may allow fewer hosts down.
func TestPlanUnderAnOldContractConflicts(t *testing.T) {
	f := newFixture(t, memory.Up)
	old := f.contract(t)
	f.spec.Budget.Down = 1
	f.acceptContract(t, 1)
	host, account := f.load(t, "h1")
	result, err := owner.BeginMaintenance(ctx, f.table, old, host, account, start)
	expectNotCommitted(t, result, err, "conflicted")
}

func TestFailureIsRecordedBeyondTheBudget(t *testing.T) {
	f := newFixture(t, memory.LoseAnswers)
	for _, name := range []glade.Host{"h1", "h2", "h3"} {
		host, account := f.load(t, name)
		result, err := owner.MarkFailed(ctx, f.table, host, account, start)
		expectCommitted(t, result, err)
	}
	_, account := f.load(t, "h1")
	qt.Check(t, budget.Down(account.Data()), qt.Equals, 3)
}

func TestReturnEndsTheDownTime(t *testing.T) {
	f := newFixture(t, memory.LoseAnswers)
	host, account := f.load(t, "h1")
	result, err := owner.MarkFailed(ctx, f.table, host, account, start)
	expectCommitted(t, result, err)
	host, _ = f.load(t, "h1")
	result, err = owner.SetPhase(ctx, f.table, host, glade.HostVerify, 3, start)
	expectCommitted(t, result, err)
	host, account = f.load(t, "h1")
	result, err = owner.ReturnToService(ctx, f.table, host, account, start.Add(time.Minute))
	expectCommitted(t, result, err)
	_, account = f.load(t, "h1")
	rule := budget.NewRule(f.spec, f.spec.Pools[0])
	qt.Check(t, rule.Spent(account.Data(), start.Add(time.Hour)), qt.Equals, time.Minute)
}
