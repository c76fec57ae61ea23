package fleet_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/daily"
	"indigoglade/table"
)

// write puts a row into the table.
func write[T any](t *testing.T, store glade.Table, key string, data T) {
	t.Helper()
	record, err := table.Load[T](ctx, store, key)
	qt.Assert(t, err, qt.IsNil)
	batch := table.NewBatch()
	table.Replace(batch, record, data)
	result, err := batch.Commit(ctx, store)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result, qt.Equals, glade.Committed)
}

// runWithDemand runs the fleet for some minutes while an entry host reports a
// demand of some slots.
func (r *rig) runWithDemand(t *testing.T, slots float64, minutes int) {
	t.Helper()
	for range minutes {
		row := glade.DemandRow{Node: "e1", PeriodEnd: r.clock.Now().UnixMilli(), SlotsUsed: map[glade.Service]float64{"a": slots}}
		write(t, r.table, glade.PrefixDemand+"e1", row)
		r.run(t, time.Minute)
	}
}

func TestSizeFollowsTheLearntDay(t *testing.T) {
	s := spec("a", 6, false)
	s.Pools[0].Slots, s.Pools[0].MinHosts, s.Answer.Deadline = 8, 2, glade.Span(3*time.Second)
	r := newRig(t, 10, 2, s, spec("s", 4, true))
	var row glade.DemandProfileRow
	for bin := range int64(2 * daily.BinsPerDay) {
		row = daily.AddBin(row, daily.BinsPerDay+bin, 4)
	}
	row.Bin = daily.BinAt(r.clock.Now())
	write(t, r.table, glade.PrefixDemandProfile+"a/a", row)
	r.runWithDemand(t, 4, 5)
	r.expectMembers(t, "a", 4, glade.CauseNone, 4)
	r.expectMembers(t, "s", 6, glade.CauseNone, 6)
	r.runWithDemand(t, 14, 25)
	qt.Check(t, len(r.account(t, "a").Members) > 6, qt.IsTrue, qt.Commentf("%v", r.account(t, "a").Members))
	qt.Check(t, r.workers.Interrupted(), qt.Equals, 0)
}

func TestWaveBorrowsWhereRolloutWeighsMost(t *testing.T) {
	s := spec("a", 5, false)
	s.Weights.Rollout = 3
	r := newRig(t, 9, 2, s, spec("s", 4, true))
	r.run(t, 20*time.Second)
	s.Wave.Name, s.Wave.State = "w", "run"
	r.apply(t, s)
	most := 0
	for range 200 {
		r.run(t, 500*time.Millisecond)
		down := 0
		for _, member := range r.account(t, "a").Members {
			if member.Cause == glade.CausePlan {
				down++
			}
		}
		most = max(most, down)
	}
	qt.Check(t, most, qt.Equals, 2)
	r.expectMembers(t, "a", 5, glade.CauseNone, 5)
	r.expectMembers(t, "s", 4, glade.CauseNone, 4)
}
