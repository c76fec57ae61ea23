package lead_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/lead"
	"indigoglade/memory"
)

func TestRank(t *testing.T) {
	t.Run("prefers hosts of high capacity", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
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
