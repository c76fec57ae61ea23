package jobs

import (
	"context"
	"expvar"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/memory"
)

// answeringTable answers every transaction with one result.
type answeringTable struct {
	*memory.Table
	result glade.CommitResult
}

func (t answeringTable) Commit(ctx context.Context, txn glade.Txn) glade.CommitResult {
	if t.result != glade.Committed {
		return t.result
	}
	return t.Table.Commit(ctx, txn)
}

// TestSuspectCount guards against suspect hosts that are counted although their row was not written.
func TestSuspectCount(t *testing.T) {
	for result, want := range map[glade.CommitResult]string{glade.Committed: "1", glade.Conflicted: "", glade.Unavailable: ""} {
		c := qt.New(t)
		counters := new(expvar.Map).Init()
		config := Config{Table: answeringTable{Table: memory.NewTable(), result: result}, Counters: counters}
		controller := &Controller{config: config, hosts: newHostView(config)}
		controller.recordSuspect(c.Context(), "h1", time.Unix(1000, 0))
		got := ""
		if v := counters.Get("suspect"); v != nil {
			got = v.String()
		}
		c.Assert(got, qt.Equals, want, qt.Commentf("%v", result))
	}
}
