package owner_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/memory"
	"indigoglade/owner"
)

var (
	start = time.Unix(1000, 0)
	ctx   = context.Background()
)

func load(t *testing.T, table glade.Table) (owner.Host, owner.Account) {
	t.Helper()
	host, err := owner.LoadHost(ctx, table, "h1")
	qt.Assert(t, err, qt.IsNil)
	account, err := owner.LoadAccount(ctx, table, "dealers", "quotes")
	qt.Assert(t, err, qt.IsNil)
	return host, account
}

func assign(t *testing.T, table glade.Table) {
	t.Helper()
	absent, _ := load(t, table)
	a := owner.Assignment{Listed: glade.Listed{Host: "h1"}, Customer: "dealers", Pool: glade.PoolSpec{Name: "quotes"}}
	result, err := owner.Assign(ctx, table, absent, a, start)
	expectCommit(t, glade.Committed, result, err)
	result, err = owner.Assign(ctx, table, absent, a, start)
	expectCommit(t, glade.Conflicted, result, err)
}

func expectCommit(t *testing.T, want, got glade.Commit, err error) {
	t.Helper()
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, want)
}

func TestTwoKeepersDrainOnce(t *testing.T) {
	table := memory.NewTable()
	assign(t, table)
	host, account := load(t, table)
	result, err := owner.BeginDrain(ctx, table, host, account, "w", start)
	expectCommit(t, glade.Committed, result, err)
	result, err = owner.BeginDrain(ctx, table, host, account, "w", start)
	expectCommit(t, glade.Conflicted, result, err)
	host, account = load(t, table)
	qt.Check(t, host.Data().Phase, qt.Equals, glade.HostDraining)
	qt.Check(t, account.Data().Down, qt.HasLen, 1)
}

func TestReturnEndsTheDownTime(t *testing.T) {
	table := memory.NewTable()
	table.SetMode(memory.Lossy)
	assign(t, table)
	host, account := load(t, table)
	result, err := owner.BeginDrain(ctx, table, host, account, "w", start)
	expectCommit(t, glade.Committed, result, err)
	host, account = load(t, table)
	result, err = owner.Return(ctx, table, host, account, start.Add(time.Minute))
	expectCommit(t, glade.Committed, result, err)
	_, account = load(t, table)
	qt.Check(t, account.Data().Down, qt.HasLen, 0)
	qt.Check(t, account.Data().Spent, qt.HasLen, 1)
}
