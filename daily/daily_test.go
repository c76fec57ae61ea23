package daily_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/daily"
)

// demand returns the demand at an hour of the wall clock, on a day with one
// peak at noon.
func demand(hour float64) float64 {
	away := (hour - 12) / 2
	return 1 + 20*math.Exp(-away*away/2)
}

// learn adds the demand of bins whose wall clock is shifted by some hours.
// first is the number of the first bin.
func learn(row glade.DemandProfileRow, first int64, bins int, shift float64) glade.DemandProfileRow {
	for i := range bins {
		bin := first + int64(i)
		hour := math.Mod(float64(bin%daily.BinsPerDay)/4+shift+24, 24)
		row = daily.AddBin(row, bin, demand(hour))
	}
	return row
}

// expectPeak checks the greatest demand that is expected within half an hour.
func expectPeak(t *testing.T, row glade.DemandProfileRow, want float64) {
	t.Helper()
	got, known := daily.ExpectedPeak(row, 30*time.Minute)
	qt.Assert(t, known, qt.IsTrue)
	qt.Check(t, math.Abs(got-want) < 0.15*want, qt.IsTrue, qt.Commentf("got %.2f, want %.2f", got, want))
}

func TestNothingIsExpectedBeforeADayWasLearnt(t *testing.T) {
	row := learn(glade.DemandProfileRow{}, 96, 90, 0)
	_, known := daily.ExpectedPeak(row, time.Hour)
	qt.Check(t, known, qt.IsFalse)
}

func TestClockChangesShiftTheProfile(t *testing.T) {
	const learntBins = 3 * daily.BinsPerDay
	row := learn(glade.DemandProfileRow{}, daily.BinsPerDay, learntBins, 0)
	qt.Check(t, row.Shift, qt.Equals, 0)
	// On a day of 23 hours the wall clock is moved ahead by an hour, so the
	// peak comes at 11.
	spring := learn(row, daily.BinsPerDay+learntBins, daily.BinsPerDay, 1)
	qt.Check(t, spring.Shift, qt.Equals, -4)
	morning := learn(spring, daily.BinsPerDay+learntBins+daily.BinsPerDay, 10*4, 1)
	expectPeak(t, morning, demand(11.5))
	// A day of 25 hours moves the peak back to noon.
	autumn := learn(spring, daily.BinsPerDay+learntBins+daily.BinsPerDay, daily.BinsPerDay, 0)
	qt.Check(t, autumn.Shift, qt.Equals, 0)
}

func TestShiftIsFoundBeforeThePeak(t *testing.T) {
	const learntBins = 3 * daily.BinsPerDay
	row := learn(glade.DemandProfileRow{}, daily.BinsPerDay, learntBins, 0)
	row = learn(row, daily.BinsPerDay+learntBins, 9*4+2, 1)
	qt.Check(t, row.Shift, qt.Equals, -4, qt.Commentf("at 9:30, with the peak at 11"))
}

func TestMissedBinsAreFilled(t *testing.T) {
	row := learn(glade.DemandProfileRow{}, daily.BinsPerDay, 2*daily.BinsPerDay, 0)
	next := daily.AddBin(row, row.Bin+5, 3)
	qt.Check(t, next.Bin, qt.Equals, row.Bin+5)
	qt.Check(t, daily.AddBin(next, next.Bin, 9), qt.DeepEquals, next)
}
