package burn_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/burn"
	"indigoglade/clock"
	"indigoglade/memory"
	"indigoglade/owner"
	"indigoglade/table"
)

func ExampleCounts_Rate() {
	// 2 % of the requests missed a target of 99 %: twice the allowed 1 %.
	counts := burn.Counts{Answered: 990, Late: 10, Refused: 10}
	fmt.Printf("%.1f\n", counts.Rate(99))
	// Output: 2.0
}

var start = time.Date(2026, 3, 28, 12, 0, 0, 0, time.UTC)

const deadline = 3 * time.Second

// testHost is an entry host with a meter on a fake clock.
type testHost struct {
	clock *clock.Fake
	meter *burn.Meter
}

func newHost(node glade.Node, at time.Time) testHost {
	c := clock.NewFake(at)
	return testHost{clock: c, meter: burn.New(burn.Config{Node: node, Clock: c})}
}

func (h testHost) recordAnswers(good, late int) {
	for range good {
		h.meter.Record("dealers", glade.Answered, time.Second, deadline)
	}
	for range late {
		h.meter.Record("dealers", glade.Answered, 2*deadline, deadline)
	}
}

func (h testHost) finalSnapshot() burn.Snapshot {
	s := h.meter.Snapshot()
	s.Final = true
	return s
}

func reportOf(g burn.Merged, now time.Time) burn.Report {
	spec := glade.ContractSpec{
		Customer: "dealers",
		Answer:   glade.AnswerSpec{Target: 99},
		Budget:   glade.BudgetSpec{Window: glade.Span(24 * time.Hour)},
	}
	return burn.NewReport(burn.Input{Contracts: []glade.ContractSpec{spec}, Merged: g, Now: now})
}

func expectCounts(t *testing.T, g burn.Merged, now time.Time, good, total uint64) {
	t.Helper()
	counts := reportOf(g, now).Lines[0].Counts
	quicktest.Assert(t, counts.Good(), quicktest.Equals, good)
	quicktest.Assert(t, counts.Total(), quicktest.Equals, total)
}

func expectGaps(t *testing.T, g burn.Merged, want ...burn.Gap) {
	t.Helper()
	quicktest.Assert(t, g.Gaps(), quicktest.DeepEquals, want)
}

func TestReplacedEntryHostCountedOnce(t *testing.T) {
	old, replacement := newHost("e1", start), newHost("e1", start.Add(time.Minute))
	old.recordAnswers(90, 10)
	replacement.recordAnswers(50, 0)
	now := start.Add(2 * time.Minute)
	live := []burn.Snapshot{replacement.meter.Snapshot()}

	t.Run("graceful", func(t *testing.T) {
		g := burn.Merge(live, []burn.Snapshot{old.finalSnapshot()}, nil)
		expectCounts(t, g, now, 140, 150)
		expectGaps(t, g)
	})
	t.Run("stored and live at once", func(t *testing.T) {
		g := burn.Merge(live, []burn.Snapshot{old.finalSnapshot(), replacement.meter.Snapshot()}, nil)
		expectCounts(t, g, now, 140, 150)
		expectGaps(t, g)
	})
	t.Run("killed", func(t *testing.T) {
		g := burn.Merge(live, []burn.Snapshot{old.meter.Snapshot()}, nil)
		expectCounts(t, g, now, 140, 150)
		expectGaps(t, g, burn.Gap{Node: "e1", Start: start.UnixMilli(), Until: start.UnixMilli(), Cause: burn.Killed})
	})
	t.Run("unreached", func(t *testing.T) {
		g := burn.Merge(nil, []burn.Snapshot{old.meter.Snapshot()}, []glade.Node{"e1"})
		expectCounts(t, g, now, 90, 100)
		expectGaps(t, g, burn.Gap{Node: "e1", Start: start.UnixMilli(), Until: start.UnixMilli(), Cause: burn.Unreachable})
	})
	t.Run("stopped and not yet replaced", func(t *testing.T) {
		expectGaps(t, burn.Merge(nil, []burn.Snapshot{old.finalSnapshot()}, []glade.Node{"e1"}))
	})
	t.Run("never seen", func(t *testing.T) {
		expectGaps(t, burn.Merge(live, nil, []glade.Node{"e2"}), burn.Gap{Node: "e2", Cause: burn.Unreachable})
	})
}

func expectLevel(t *testing.T, h testHost, now time.Time, want burn.Level) {
	t.Helper()
	line := reportOf(burn.Merge([]burn.Snapshot{h.meter.Snapshot()}, nil, nil), now).Lines[0]
	quicktest.Assert(t, line.Level, quicktest.Equals, want, quicktest.Commentf("%+v", line.Rates))
}

func TestLevels(t *testing.T) {
	// Good answers 20 hours earlier, so that the late answers don't use up the whole budget.
	h := newHost("e1", start)
	h.recordAnswers(100000, 0)
	h.clock.Advance(20 * time.Hour)
	h.recordAnswers(900, 100)
	t.Run("fast", func(t *testing.T) { expectLevel(t, h, h.clock.Now(), burn.LevelFast) })
	t.Run("fast ends after the short window", func(t *testing.T) {
		expectLevel(t, h, h.clock.Now().Add(10*time.Minute), burn.LevelSlow)
	})
	t.Run("slow ends after the short window", func(t *testing.T) {
		expectLevel(t, h, h.clock.Now().Add(40*time.Minute), burn.LevelNone)
	})
	t.Run("spent", func(t *testing.T) {
		h.recordAnswers(0, 1000)
		expectLevel(t, h, h.clock.Now(), burn.LevelSpent)
	})
}

func TestSaveAndDeleteExpired(t *testing.T) {
	ctx := t.Context()
	store := memory.NewTable()
	h := newHost("e1", start)
	h.recordAnswers(1, 0)
	early := h.meter.Snapshot()
	h.clock.Advance(time.Second)
	h.recordAnswers(1, 0)
	expectSaved := func(t *testing.T, s burn.Snapshot, total uint64) {
		t.Helper()
		result, err := burn.Save(ctx, store, s)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, result, quicktest.Equals, glade.Committed)
		stored, err := table.LoadAll[burn.Snapshot](ctx, store, burn.KeyPrefix)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, stored, quicktest.HasLen, 1)
		quicktest.Assert(t, stored[0].Data().Customers[0].Total.Total(), quicktest.Equals, total)
	}
	t.Run("first", func(t *testing.T) { expectSaved(t, early, 1) })
	t.Run("later", func(t *testing.T) { expectSaved(t, h.finalSnapshot(), 2) })
	t.Run("delayed write of the first", func(t *testing.T) { expectSaved(t, early, 2) })
	t.Run("delete only past the longest window", func(t *testing.T) {
		n, err := burn.DeleteExpired(ctx, store, "e1", h.clock.Now().Add(burn.MaxWindow))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, n, quicktest.Equals, 0)
		n, err = burn.DeleteExpired(ctx, store, "e1", h.clock.Now().Add(burn.MaxWindow+time.Second))
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, n, quicktest.Equals, 1)
	})
}

func TestDowntimeSpendsCapacityBudget(t *testing.T) {
	spec := glade.ContractSpec{
		Customer: "dealers",
		Pools:    []glade.PoolSpec{{Name: "quotes"}},
		Answer:   glade.AnswerSpec{Target: 99},
		Budget:   glade.BudgetSpec{Minutes: 60, Window: glade.Span(24 * time.Hour)},
	}
	now := start.Add(24 * time.Hour)
	account := glade.AccountRow{
		// Two of these count: 15 minutes of past down time (h1) and 15 minutes of ongoing failure (h2).
		// The second span of h1 lies before the window, and joining (h3) is not down time.
		DownTimes: []glade.DownTime{
			{Host: "h1", From: now.Add(-2 * time.Hour).UnixMilli(), To: now.Add(-105 * time.Minute).UnixMilli()},
			{Host: "h1", From: now.Add(-25 * time.Hour).UnixMilli(), To: now.Add(-1490 * time.Minute).UnixMilli()},
		},
		Members: map[glade.Host]glade.Member{
			"h2": {Cause: glade.CauseFail, Since: now.Add(-15 * time.Minute).UnixMilli()},
			"h3": {Cause: glade.CauseJoin, Since: now.Add(-15 * time.Minute).UnixMilli()},
			"h4": {},
		},
	}
	report := burn.NewReport(burn.Input{
		Contracts: []glade.ContractSpec{spec},
		Accounts:  map[string]glade.AccountRow{owner.AccountKey("dealers", "quotes"): account},
		Now:       now,
	})
	line := report.Lines[1]
	quicktest.Assert(t, line.Promise, quicktest.Equals, burn.PromiseCapacity)
	quicktest.Assert(t, line.Left, quicktest.Equals, 50.0)
	quicktest.Assert(t, line.Level, quicktest.Equals, burn.LevelFast)
}

func TestSnapshotJSONRoundTrip(t *testing.T) {
	h := newHost("e1", start)
	h.recordAnswers(3, 1)
	h.clock.Advance(7 * time.Minute)
	h.meter.Record("dealers", glade.Unknown, 0, 0)
	h.meter.Record("grants", glade.Refused, 0, 0)
	want := h.meter.Snapshot()
	text, err := json.Marshal(want)
	quicktest.Assert(t, err, quicktest.IsNil)
	var got burn.Snapshot
	quicktest.Assert(t, json.Unmarshal(text, &got), quicktest.IsNil)
	quicktest.Assert(t, got, quicktest.DeepEquals, want)
	t.Run("rejects a bucket with too many numbers", func(t *testing.T) {
		var b burn.Buckets
		quicktest.Assert(t, json.Unmarshal([]byte("[[1,2,3,4,5,6,7]]"), &b), quicktest.ErrorMatches, ".*7 numbers.*")
	})
}
