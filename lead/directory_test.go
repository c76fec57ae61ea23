package lead_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/bubble"
	"indigoglade/clock"
	"indigoglade/lead"
	"indigoglade/memory"
)

func TestRank(t *testing.T) {
	t.Run("prefers hosts of high capacity", func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			table := memory.NewPartitionedTable()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			directories := make(map[glade.Node]*lead.Directory)
			for node, capacity := range map[glade.Node]int{"weak1": 190, "weak2": 200, "strong": 800} {
				directories[node] = lead.NewDirectory(lead.DirectoryConfig{
					Self: node, Row: lead.NodeRow{Address: string(node), Capacity: capacity}, PartitionedTable: table, Clock: clock.System{}, Log: logr.Discard(),
				})
				b := &background{ctx: ctx, task: directories[node].FollowNodes}
				go b.run()
			}
			_ = clock.System{}.Sleep(ctx, time.Second) // ctx does not end during the sleep
			for _, service := range []glade.Service{"a", "b", "c"} {
				qt.Check(t, directories["strong"].Rank(service), qt.Equals, 0)
				qt.Check(t, directories["weak1"].Rank(service) > 0, qt.IsTrue)
			}
		})
	})
}

// feedCounter counts the polls of the term feed.
type feedCounter struct {
	*memory.PartitionedTable
	polls atomic.Int64
}

func (f *feedCounter) Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]glade.PartitionRow, int64, error) {
	if table == "term" {
		f.polls.Add(1)
	}
	return f.PartitionedTable.Feed(ctx, table, after, wait)
}

// renewer changes a term some times a second, as the leaders of several services do.
type renewer struct {
	table *memory.PartitionedTable
	ctx   context.Context
}

func (r *renewer) run() {
	for i := 0; (clock.System{}).Sleep(r.ctx, 50*time.Millisecond) == nil; i++ {
		row := glade.PartitionRow{Table: "term", Part: "a", Key: "it", Value: fmt.Appendf(nil, `{"node":"n0","epoch":1,"beat":%d}`, i)}
		r.table.Commit(r.ctx, glade.PartitionTxn{Puts: []glade.PartitionRow{row}})
	}
}

// TestTermPolls guards against polls that grow with the number of hosts: each poll is a
// call to the store.
func TestTermPolls(t *testing.T) {
	polls := func(t *testing.T, hosts, refreshes int) (perSecond int64) {
		bubble.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			table := &feedCounter{PartitionedTable: memory.NewPartitionedTable()}
			d := lead.NewDirectory(lead.DirectoryConfig{Self: "weak", Row: lead.NodeRow{Capacity: 100}, PartitionedTable: table, Clock: clock.System{}, Log: logr.Discard()})
			for i := range hosts - 1 {
				row := glade.PartitionRow{Table: "node", Part: "nodes", Key: fmt.Sprint("n", i), Value: []byte(`{"power":800}`)}
				table.Commit(ctx, glade.PartitionTxn{Puts: []glade.PartitionRow{row}})
			}
			d.SetServices([]glade.Service{"a"})
			go (&renewer{table: table.PartitionedTable, ctx: ctx}).run()
			for _, task := range []func(context.Context) error{d.FollowTerms, d.FollowNodes} {
				b := &background{ctx: ctx, task: task}
				go b.run()
			}
			_ = clock.System{}.Sleep(ctx, 2*time.Second) // ctx does not end during the sleep
			before := table.polls.Load()
			for range 20 {
				if refreshes > 0 {
					d.Refresh()
				}
				_ = clock.System{}.Sleep(ctx, 200*time.Millisecond)
			}
			perSecond = (table.polls.Load() - before) / 4
		})
		return perSecond
	}
	t.Run("are frequent on a host that may soon lead", func(t *testing.T) {
		qt.Assert(t, polls(t, 5, 0) >= 5, qt.IsTrue)
	})
	t.Run("are rare on a host that many are preferred to", func(t *testing.T) {
		qt.Assert(t, polls(t, 60, 0) <= 2, qt.IsTrue)
	})
	t.Run("are made at once when a leader was not reached", func(t *testing.T) {
		qt.Assert(t, polls(t, 60, 1) >= 4, qt.IsTrue)
	})
}
