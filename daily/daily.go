// Package daily learns the daily profile of a pool's demand, and by how much it
// is shifted in time.
//
// The profile divides a day into bins. It is not tied to the hour: when the
// clocks change, the same demand comes an hour earlier or later. The shift is
// found by comparing the demand of the last hours with the profile at several
// shifts. Example: with the profile 1 1 5 9 5 1 and the last bins 5 9 5 where
// the profile says 1 5 9, the day is one bin early.
package daily

import (
	"math"
	"time"

	glade "indigoglade"
)

// BinLength is the duration of one bin.
const BinLength = 15 * time.Minute

const (
	// BinsPerDay is the number of bins in a day of 24 hours.
	BinsPerDay = 96
	// fitBins is the number of newest bins that are compared with the profile.
	fitBins = 12
	// maxShiftBins is the largest change of the shift, in bins, when one bin is
	// added.
	maxShiftBins = 5
	// learnDelayBins is the age at which a bin enters the profile, so that a
	// shift is found before it blurs the profile.
	learnDelayBins = 24
	// learnRate is the weight of the newest day in the profile.
	learnRate = 0.3
	// minShiftGain is the fraction by which another shift must reduce the fit
	// error.
	minShiftGain = 0.4
	// minSpread is the minimum spread of demand in the compared bins, as a
	// fraction of the profile's peak. A night without changes gives no
	// information on the shift.
	minSpread = 0.15
	// maxLevel bounds the factor between today's demand and the profile, in
	// both directions.
	maxLevel = 1.5
)

// BinAt returns the number of the bin that contains a time, counted from 1970.
func BinAt(at time.Time) int64 { return at.UnixMilli() / BinLength.Milliseconds() }

// AddBin returns the row with the demand of one more closed bin. Missed bins are
// filled from the profile, or with the last demand while the profile is
// incomplete; after a gap of more than a day, they are left out and the recent
// bins are dropped. A bin that is not newer than the row's newest one changes
// nothing.
func AddBin(row glade.DemandProfileRow, bin int64, demand float64) glade.DemandProfileRow {
	next := copyRow(row)
	if next.Bin == 0 || bin-next.Bin > BinsPerDay {
		next.Bin, next.Recent = bin-1, nil
	}
	for next.Bin < bin-1 {
		next = appendBin(next, expectedDemand(next, next.Bin+1))
	}
	if bin != next.Bin+1 {
		return row
	}
	return appendBin(next, demand)
}

func copyRow(row glade.DemandProfileRow) glade.DemandProfileRow {
	next := row
	next.Recent = append([]float64(nil), row.Recent...)
	next.Profile = append(make([]float64, 0, BinsPerDay), row.Profile...)
	next.Days = append(make([]int, 0, BinsPerDay), row.Days...)
	for len(next.Profile) < BinsPerDay {
		next.Profile = append(next.Profile, 0)
	}
	for len(next.Days) < BinsPerDay {
		next.Days = append(next.Days, 0)
	}
	return next
}

func appendBin(row glade.DemandProfileRow, demand float64) glade.DemandProfileRow {
	row.Bin++
	row.Recent = append(row.Recent, demand)
	if len(row.Recent) > learnDelayBins {
		learn(&row, row.Bin-learnDelayBins, row.Recent[0])
		row.Recent = row.Recent[1:]
	}
	row.Shift += shiftCorrection(row)
	return row
}

func learn(row *glade.DemandProfileRow, bin int64, demand float64) {
	i := profileIndex(bin, row.Shift)
	if row.Days[i] == 0 {
		row.Profile[i] = demand
	} else {
		row.Profile[i] += learnRate * (demand - row.Profile[i])
	}
	row.Days[i]++
}

// profileIndex returns the index of a bin in the profile if the day is shift
// bins late.
func profileIndex(bin int64, shift int) int {
	return int(((bin-int64(shift))%BinsPerDay + BinsPerDay) % BinsPerDay)
}

// shiftCorrection returns by how many bins the day should move to fit the
// newest bins clearly better, or 0.
func shiftCorrection(row glade.DemandProfileRow) int {
	if len(row.Recent) < fitBins || !isComplete(row) || !hasSpread(row) {
		return 0
	}
	current := fitError(row, 0)
	best, least := 0, current*(1-minShiftGain)
	for shift := -maxShiftBins; shift <= maxShiftBins; shift++ {
		if m := fitError(row, shift); m < least {
			best, least = shift, m
		}
	}
	return best
}

// isComplete returns whether every bin of the profile was learnt.
func isComplete(row glade.DemandProfileRow) bool {
	for _, days := range row.Days {
		if days == 0 {
			return false
		}
	}
	return len(row.Days) == BinsPerDay
}

// hasSpread returns whether demand changed enough in the compared bins to find
// a shift.
func hasSpread(row glade.DemandProfileRow) bool {
	low, high := math.Inf(1), 0.0
	for _, demand := range row.Recent[len(row.Recent)-fitBins:] {
		low, high = min(low, demand), max(high, demand)
	}
	return high-low >= minSpread*peak(row)
}

func peak(row glade.DemandProfileRow) float64 {
	top := 0.0
	for _, demand := range row.Profile {
		top = max(top, demand)
	}
	return top
}

// fitError returns the sum of squared differences between the newest bins and
// the profile, which is moved by some bins and scaled to fit best.
func fitError(row glade.DemandProfileRow, shift int) float64 {
	var seenSquares, crossProducts, profileSquares float64
	first := len(row.Recent) - fitBins
	for i, seen := range row.Recent[first:] {
		bin := row.Bin - int64(fitBins-1-i)
		profile := row.Profile[profileIndex(bin, row.Shift+shift)]
		seenSquares += seen * seen
		crossProducts += seen * profile
		profileSquares += profile * profile
	}
	if profileSquares == 0 {
		return seenSquares
	}
	scale := min(max(crossProducts/profileSquares, 1/maxLevel), maxLevel)
	return seenSquares - 2*scale*crossProducts + scale*scale*profileSquares
}

// levelBins is the number of newest bins that today's level is computed from.
const levelBins = 4

// level returns today's demand as a multiple of the profile.
func level(row glade.DemandProfileRow) float64 {
	var seen, profile float64
	for i := max(len(row.Recent)-levelBins, 0); i < len(row.Recent); i++ {
		seen += row.Recent[i]
		profile += row.Profile[profileIndex(row.Bin-int64(len(row.Recent)-1-i), row.Shift)]
	}
	if profile == 0 {
		return 1
	}
	return min(max(seen/profile, 1/maxLevel), maxLevel)
}

func expectedDemand(row glade.DemandProfileRow, bin int64) float64 {
	if isComplete(row) {
		return row.Profile[profileIndex(bin, row.Shift)]
	}
	if len(row.Recent) == 0 {
		return 0
	}
	return row.Recent[len(row.Recent)-1]
}

// ExpectedPeak returns the greatest demand, in slots, that is expected for the time
// ahead after the newest bin. The second result is false while the profile is
// incomplete.
func ExpectedPeak(row glade.DemandProfileRow, ahead time.Duration) (float64, bool) {
	if !isComplete(row) {
		return 0, false
	}
	scale := level(row)
	top := 0.0
	for bin := row.Bin + 1; bin <= row.Bin+1+int64(ahead/BinLength); bin++ {
		top = max(top, scale*row.Profile[profileIndex(bin, row.Shift)])
	}
	return top, true
}
