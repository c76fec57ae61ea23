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

// loss says what becomes of one commit.
type loss int

const (
	lossNone   loss = iota
	lossAnswer      // applied, the answer is lost
	lossCall        // never applied, the caller can't tell
	lossLate        // applied just before the next commit, the caller can't tell
)

// faulty loses calls and answers as told.
type faulty struct {
	*memory.Table
	losses []loss
	late   []glade.Txn
}

func (f *faulty) Commit(ctx context.Context, txn glade.Txn) glade.Commit {
	for _, late := range f.late {
		f.Table.Commit(ctx, late)
	}
	f.late = nil
	next := lossNone
	if len(f.losses) > 0 {
		next, f.losses = f.losses[0], f.losses[1:]
	}
	switch next {
	case lossCall:
		return glade.Uncertain
	case lossLate:
		f.late = append(f.late, txn)
		return glade.Uncertain
	}
	result := f.Table.Commit(ctx, txn)
	if next == lossAnswer {
		return glade.Uncertain
	}
	return result
}

func add(t glade.Table, key string, n int) (glade.Commit, error) {
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

// expectOnce commits one addition under losses and checks that it is reported
// as committed and took effect once.
func expectOnce(t *testing.T, losses ...loss) {
	t.Helper()
	t.Run(fmt.Sprint(losses), func(t *testing.T) {
		f := &faulty{Table: memory.NewTable(), losses: losses}
		result, err := add(f, "n", 1)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, result, qt.Equals, glade.Committed)
		qt.Check(t, value(t, f, "n"), qt.Equals, 1)
	})
}

func TestCommitSettlesLostAnswers(t *testing.T) {
	expectOnce(t)
	expectOnce(t, lossAnswer)
	expectOnce(t, lossCall)
	expectOnce(t, lossLate)
	expectOnce(t, lossCall, lossAnswer)
	expectOnce(t, lossLate, lossAnswer)
	expectOnce(t, lossCall, lossCall, lossNone)
}

func TestLostDeleteIsSentAgain(t *testing.T) {
	f := &faulty{Table: memory.NewTable()}
	_, err := add(f, "n", 1)
	qt.Assert(t, err, qt.IsNil)
	record, err := table.Load[int](ctx, f, "n")
	qt.Assert(t, err, qt.IsNil)
	f.losses = []loss{lossCall}
	batch := table.NewBatch()
	table.Remove(batch, record)
	result, err := batch.Commit(ctx, f)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, result, qt.Equals, glade.Committed)
}

func TestCommitStaysUncertainWhileTheTableIsDown(t *testing.T) {
	f := &faulty{Table: memory.NewTable(), losses: []loss{lossAnswer}}
	record, err := table.Load[int](ctx, f, "n")
	qt.Assert(t, err, qt.IsNil)
	batch := table.NewBatch()
	table.Replace(batch, record, 1)
	down := &downAfter{faulty: f}
	result, err := batch.Commit(ctx, down)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, result, qt.Equals, glade.Uncertain)
}

// downAfter goes down once a commit was sent.
type downAfter struct{ *faulty }

func (d *downAfter) Commit(ctx context.Context, txn glade.Txn) glade.Commit {
	result := d.faulty.Commit(ctx, txn)
	d.SetMode(memory.Down)
	return result
}

// TestSumOfCommitted adds under random losses: the sum of what was reported as
// committed is what the table holds.
func TestSumOfCommitted(t *testing.T) {
	seeds.Check(t, 200, func(r *rapid.T) {
		f := &faulty{Table: memory.NewTable()}
		sum := 0
		for range rapid.IntRange(1, 20).Draw(r, "adds") {
			f.losses = nil
			for _, l := range rapid.SliceOfN(rapid.IntRange(0, 3), 0, 2).Draw(r, "losses") {
				f.losses = append(f.losses, loss(l))
			}
			result, err := add(f, "n", 1)
			if err != nil {
				r.Fatal(err)
			}
			if result != glade.Committed {
				r.Fatalf("one writer got %s", result)
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
