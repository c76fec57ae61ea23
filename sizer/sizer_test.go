package sizer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/daily"
	"indigoglade/sizer"
)

func newSizer(weights glade.WeightSpec) sizer.Sizer {
	pool := glade.PoolSpec{Hosts: 10, MinHosts: 2, MaxHosts: 14, Slots: 8}
	return sizer.New(sizer.Config{Pool: pool, Deadline: 3 * time.Second, Weights: weights})
}

// flat returns the profile of a pool that asks for low slots, but for high
// slots in the bins from..to of each day. The newest bin is the first of a day.
func flat(low, high float64, from, to int64) glade.DemandProfileRow {
	var row glade.DemandProfileRow
	for bin := int64(daily.BinsPerDay); bin <= 4*daily.BinsPerDay; bin++ {
		asked := low
		if bin%daily.BinsPerDay >= from && bin%daily.BinsPerDay <= to {
			asked = high
		}
		row = daily.AddBin(row, bin, asked)
	}
	return row
}

// expectSize checks the size that is chosen from the present size and the
// present demand.
func expectSize(t *testing.T, s sizer.Sizer, row glade.DemandProfileRow, size int, seen float64, want int) {
	t.Helper()
	qt.Check(t, s.Size(size, seen, row), qt.Equals, want)
}

var (
	fastRollout = newSizer(glade.WeightSpec{Rollout: 3, Moves: 1})
	fewMoves    = newSizer(glade.WeightSpec{Rollout: 1, Moves: 3})
)

func TestUnknownDayKeepsThePromisedSize(t *testing.T) {
	expectSize(t, fastRollout, glade.DemandProfileRow{}, 10, 1, 10)
}

func TestPoolGrowsBeforeThePeak(t *testing.T) {
	expectSize(t, fastRollout, flat(2, 19, 2, 9), 3, 2, 11)
	expectSize(t, fastRollout, flat(2, 19, 6, 9), 3, 2, 3)
}

func TestPoolKeepsItsSizeBetweenPeaks(t *testing.T) {
	row := flat(2, 19, 10, 14) // the peak begins two and a half hours later
	expectSize(t, fastRollout, row, 9, 2, 3)
	expectSize(t, fewMoves, row, 9, 2, 9)
}

func TestSmallSavingIsNotWorthAMove(t *testing.T) {
	row := flat(2, 2, 0, 0)
	expectSize(t, fastRollout, row, 4, 2, 4)
	expectSize(t, fastRollout, row, 5, 2, 3)
	expectSize(t, fewMoves, row, 5, 2, 5)
}
