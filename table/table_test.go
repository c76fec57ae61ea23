package table_test

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	glade "indigoglade"
	"indigoglade/memory"
	"indigoglade/seeds"
	"indigoglade/table"
)

var ctx = context.Background()

// commitFault is a fault of one commit.
type commitFault int

const (
	faultNone       commitFault = iota
	faultAnswerLost             // applied, but the answer is lost
	faultCallLost               // never applied, and the answer is lost
	faultDelayed                // applied just before the next commit, and the answer is lost
)

// faultyTable injects faults into its next commits, one for each.
type faultyTable struct {
	*memory.Table
	faults  []commitFault
	delayed []glade.Txn
}

func (f *faultyTable) Commit(ctx context.Context, txn glade.Txn) glade.CommitResult {
	for _, txn := range f.delayed {
		f.Table.Commit(ctx, txn)
	}
	f.delayed = nil
	next := faultNone
	if len(f.faults) > 0 {
		next, f.faults = f.faults[0], f.faults[1:]
	}
	switch next {
	case faultCallLost:
		return glade.Uncertain
	case faultDelayed:
		f.delayed = append(f.delayed, txn)
		return glade.Uncertain
	}
	result := f.Table.Commit(ctx, txn)
	if next == faultAnswerLost {
		return glade.Uncertain
	}
	return result
}

func add(t glade.Table, key string, n int) (glade.CommitResult, error) {
	record, err := table.Load[int](ctx, t, key)
	if err != nil {
		return glade.Unavailable, err
	}
	batch := table.NewBatch()
	table.Replace(batch, record, record.Data()+n)
	return batch.Commit(ctx, t)
}

func value(t *testing.T, s glade.Table, key string) int {
	t.Helper()
	record, err := table.Load[int](ctx, s, key)
	qt.Assert(t, err, qt.IsNil)
	return record.Data()
}

// expectOnce commits one addition under faults. It checks that the addition is
// reported as committed and took effect once.
func expectOnce(t *testing.T, faults ...commitFault) {
	t.Helper()
	t.Run(fmt.Sprint(faults), func(t *testing.T) {
		f := &faultyTable{Table: memory.NewTable(), faults: faults}
		result, err := add(f, "n", 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, result, qt.Equals, glade.Committed)
		qt.Check(t, value(t, f, "n"), qt.Equals, 1)
	})
}

func TestCommitSettlesLostAnswers(t *testing.T) {
	expectOnce(t)
	expectOnce(t, faultAnswerLost)
	expectOnce(t, faultCallLost)
	expectOnce(t, faultDelayed)
	expectOnce(t, faultCallLost, faultAnswerLost)
	expectOnce(t, faultDelayed, faultAnswerLost)
	expectOnce(t, faultCallLost, faultCallLost, faultNone)
}

func TestLostDeleteIsSentAgain(t *testing.T) {
	f := &faultyTable{Table: memory.NewTable()}
	_, err := add(f, "n", 1)
	qt.Assert(t, err, qt.IsNil)
	record, err := table.Load[int](ctx, f, "n")
	qt.Assert(t, err, qt.IsNil)
	f.faults = []commitFault{faultCallLost}
	batch := table.NewBatch()
	table.Remove(batch, record)
	result, err := batch.Commit(ctx, f)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, result, qt.Equals, glade.Committed)
}

func TestCommitStaysUncertainWhileTheTableIsDown(t *testing.T) {
	f := &faultyTable{Table: memory.NewTable(), faults: []commitFault{faultAnswerLost}}
	record, err := table.Load[int](ctx, f, "n")
	qt.Assert(t, err, qt.IsNil)
	batch := table.NewBatch()
	table.Replace(batch, record, 1)
	down := &downAfterCommit{faultyTable: f}
	result, err := batch.Commit(ctx, down)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, result, qt.Equals, glade.Uncertain)
}

// downAfterCommit makes the table unavailable after the first commit.
type downAfterCommit struct{ *faultyTable }

func (d *downAfterCommit) Commit(ctx context.Context, txn glade.Txn) glade.CommitResult {
	result := d.faultyTable.Commit(ctx, txn)
	d.SetMode(memory.Down)
	return result
}

// TestSumOfCommitted adds numbers under random faults. The table must hold the
// sum of all additions that were reported as committed.
func TestSumOfCommitted(t *testing.T) {
	seeds.Check(t, 200, func(r *rapid.T) {
		f := &faultyTable{Table: memory.NewTable()}
		sum := 0
		for range rapid.IntRange(1, 20).Draw(r, "adds") {
			f.faults = nil
			for _, l := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 2).Draw(r, "losses") {
				f.faults = append(f.faults, commitFault(l))
			}
			result, err := add(f, "n", 1)
			if err != nil {
				r.Fatal(err)
			}
			if result != glade.Committed {
				r.Fatalf("the only writer got the result %s, expected committed", result)
			}
			sum++
		}
		if got := value(t, f, "n"); got != sum {
			r.Fatalf("table holds %d, committed %d", got, sum)
		}
	})
}

func TestLoadAfter(t *testing.T) {
	m := memory.NewTable()
	for i := range 1200 {
		_, err := add(m, fmt.Sprintf("row/%04d", i), i)
		qt.Assert(t, err, qt.IsNil)
	}
	all, err := table.LoadAll[int](ctx, m, "row/")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, all, qt.HasLen, 1200)
	rest, err := table.LoadAfter[int](ctx, m, "row/", "row/1189")
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, rest, qt.HasLen, 10)
	qt.Check(t, rest[0].Data(), qt.Equals, 1190)
}
