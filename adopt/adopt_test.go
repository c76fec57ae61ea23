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
func expectAccept(t *testing.T, table glade.Table, customer glade.Customer, seen uint64, want glade.Commit, version uint64) {
	t.Helper()
	got, err := adopt.Accept(context.Background(), table, spec(customer), seen)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.Result(), qt.Equals, want)
	if want == glade.Committed {
		qt.Check(t, got.Version(), qt.Equals, version)
	}
}

// expectFetch reads and activates new contracts and checks how many there were.
func expectFetch(t *testing.T, table glade.Table, book *adopt.Book, activated int) {
	t.Helper()
	got, err := adopt.Fetch(context.Background(), table, book, start)
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
	table.SetMode(memory.Lossy)
	expectAccept(t, table, "dealers", 0, glade.Committed, 1)
	expectAccept(t, table, "dealers", 1, glade.Committed, 2)
}

func TestFetch(t *testing.T) {
	table := memory.NewTable()
	book := adopt.New()
	expectAccept(t, table, "dealers", 0, glade.Committed, 1)
	expectAccept(t, table, "studio", 0, glade.Committed, 1)
	expectFetch(t, table, book, 2)
	expectFetch(t, table, book, 0)
	expectAccept(t, table, "dealers", 1, glade.Committed, 2)
	expectFetch(t, table, book, 1)
	contract, _ := book.Find("dealers")
	qt.Check(t, contract.Version(), qt.Equals, uint64(2))
}

func TestAdoptNeverReverts(t *testing.T) {
	book := adopt.New()
	qt.Check(t, book.Adopt(glade.NewContract(spec("dealers"), 3)), qt.IsTrue)
	qt.Check(t, book.Adopt(glade.NewContract(spec("dealers"), 2)), qt.IsFalse)
	contract, _ := book.Find("dealers")
	qt.Check(t, contract.Version(), qt.Equals, uint64(3))
}

func TestFetchKeepsContractsWhileTheTableIsDown(t *testing.T) {
	table := memory.NewTable()
	book := adopt.New()
	expectAccept(t, table, "dealers", 0, glade.Committed, 1)
	expectFetch(t, table, book, 1)
	table.SetMode(memory.Down)
	_, err := adopt.Fetch(context.Background(), table, book, start.Add(time.Minute))
	qt.Check(t, err, qt.IsNotNil)
	age, _ := book.Age(start.Add(time.Minute))
	qt.Check(t, age, qt.Equals, time.Minute)
	qt.Check(t, book.All(), qt.HasLen, 1)
}

func TestNotReadyWhileTheFirstContractsArePending(t *testing.T) {
	table := memory.NewTable()
	book := adopt.New()
	qt.Check(t, book.IsReady(), qt.IsFalse)
	expectAccept(t, table, "dealers", 0, glade.Committed, 1)
	qt.Assert(t, adopt.Read(context.Background(), table, book, start), qt.IsNil)
	qt.Check(t, book.IsReady(), qt.IsFalse)
	book.Enforce()
	qt.Check(t, book.IsReady(), qt.IsTrue)
}
