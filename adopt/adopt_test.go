package adopt_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/memory"
)

var start = time.Unix(1000, 0)

func spec(customer glade.Customer) glade.ContractSpec {
	return glade.ContractSpec{Customer: customer}
}

// expectAccept commits a contract and checks the result, and the version if it
// was committed.
func expectAccept(t *testing.T, table glade.Table, customer glade.Customer, baseVersion uint64, want glade.CommitResult, version uint64) {
	t.Helper()
	got, err := adopt.Accept(context.Background(), table, spec(customer), baseVersion)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.Result(), qt.Equals, want)
	if want == glade.Committed {
		qt.Check(t, got.Version(), qt.Equals, version)
	}
}

// expectRefresh reads and activates new contracts and checks how many there were.
func expectRefresh(t *testing.T, table glade.Table, registry *adopt.Registry, activated int) {
	t.Helper()
	got, err := adopt.RefreshAndActivate(context.Background(), table, registry, start)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, activated)
}

func TestAccept(t *testing.T) {
	table := memory.NewTable()
	expectAccept(t, table, "dealers", 0, glade.Committed, 1)
	expectAccept(t, table, "dealers", 0, glade.Conflicted, 0)
	expectAccept(t, table, "dealers", 1, glade.Committed, 2)
	expectAccept(t, table, "studio", 0, glade.Committed, 1)
}

func TestAcceptWhenTheAnswerIsLost(t *testing.T) {
	table := memory.NewTable()
	table.SetMode(memory.LoseAnswers)
	expectAccept(t, table, "dealers", 0, glade.Committed, 1)
	expectAccept(t, table, "dealers", 1, glade.Committed, 2)
}

func TestFetch(t *testing.T) {
	table := memory.NewTable()
	registry := adopt.New()
	expectAccept(t, table, "dealers", 0, glade.Committed, 1)
	expectAccept(t, table, "studio", 0, glade.Committed, 1)
	expectRefresh(t, table, registry, 2)
	expectRefresh(t, table, registry, 0)
	expectAccept(t, table, "dealers", 1, glade.Committed, 2)
	expectRefresh(t, table, registry, 1)
	contract, _ := registry.Find("dealers")
	qt.Check(t, contract.Version(), qt.Equals, uint64(2))
}

func TestAdoptNeverReverts(t *testing.T) {
	registry := adopt.New()
	qt.Check(t, registry.ActivateIfNewer(glade.NewContract(spec("dealers"), 3)), qt.IsTrue)
	qt.Check(t, registry.ActivateIfNewer(glade.NewContract(spec("dealers"), 2)), qt.IsFalse)
	contract, _ := registry.Find("dealers")
	qt.Check(t, contract.Version(), qt.Equals, uint64(3))
}

func TestFetchKeepsContractsWhileTheTableIsDown(t *testing.T) {
	table := memory.NewTable()
	registry := adopt.New()
	expectAccept(t, table, "dealers", 0, glade.Committed, 1)
	expectRefresh(t, table, registry, 1)
	table.SetMode(memory.Down)
	_, err := adopt.RefreshAndActivate(context.Background(), table, registry, start.Add(time.Minute))
	qt.Check(t, err, qt.IsNotNil)
	age, _ := registry.Age(start.Add(time.Minute))
	qt.Check(t, age, qt.Equals, time.Minute)
	qt.Check(t, registry.All(), qt.HasLen, 1)
}

func TestNotReadyWhileTheFirstContractsArePending(t *testing.T) {
	table := memory.NewTable()
	registry := adopt.New()
	qt.Check(t, registry.IsReady(), qt.IsFalse)
	expectAccept(t, table, "dealers", 0, glade.Committed, 1)
	qt.Assert(t, adopt.Refresh(context.Background(), table, registry, start), qt.IsNil)
	qt.Check(t, registry.IsReady(), qt.IsFalse)
	registry.ActivatePending()
	qt.Check(t, registry.IsReady(), qt.IsTrue)
}
