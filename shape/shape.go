// Package shape learns the day of a pool's demand and how far it has moved.
//
// The profile is a day of bins. It is not tied to the hour: when clocks change,
// the same day comes an hour earlier or later, and the shift is found by laying
// the last hours of demand over the profile at several shifts. Example: with
// the profile 1 1 5 9 5 1 and the last bins 5 9 5 where the profile says
// 1 5 9, the day is one bin early.
package shape

import (
	"math"
	"time"

	glade "indigoglade"
)

// BinLength is the length of one bin.
const BinLength = 15 * time.Minute

const (
	// Bins is the number of bins of a day of 24 hours.
	Bins = 96
	// fitBins is the number of bins that are laid over the profile.
	fitBins = 12
	// maxShift bounds how far one fit may move the day, in bins.
	maxShift = 5
	// learnDelay is the age at which a bin is learnt, in bins, so that a shift
	// is found before it smears the profile.
	learnDelay = 24
	// learnRate is the weight of a new day in the profile.
	learnRate = 0.3
	// shiftGain is how much better another shift must fit.
	shiftGain = 0.4
	// minSpread is the least spread of demand in the fitted bins, as a share of
	// the profile's peak. A flat night says nothing about the shift.
	minSpread = 0.15
	// maxLevel bounds how far today's level may differ from the profile's.
	maxLevel = 1.5
)

// BinAt returns the number of the bin that holds a time.
func BinAt(at time.Time) int64 { return at.UnixMilli() / BinLength.Milliseconds() }

// Fold returns the row with the demand of one more closed bin. Bins that were
// missed are taken as the profile says, or as the last one.
func Fold(row glade.ShapeRow, bin int64, demand float64) glade.ShapeRow {
	next := copyRow(row)
	if next.Bin == 0 || bin-next.Bin > Bins {
		next.Bin, next.Recent = bin-1, nil
	}
	for next.Bin < bin-1 {
		next = fold(next, expected(next, next.Bin+1))
	}
	if bin != next.Bin+1 {
		return row
	}
	return fold(next, demand)
}

func copyRow(row glade.ShapeRow) glade.ShapeRow {
	next := row
	next.Recent = append([]float64(nil), row.Recent...)
	next.Profile = append(make([]float64, 0, Bins), row.Profile...)
	next.Days = append(make([]int, 0, Bins), row.Days...)
	for len(next.Profile) < Bins {
		next.Profile = append(next.Profile, 0)
	}
	for len(next.Days) < Bins {
		next.Days = append(next.Days, 0)
	}
	return next
}

func fold(row glade.ShapeRow, demand float64) glade.ShapeRow {
	row.Bin++
	row.Recent = append(row.Recent, demand)
	if len(row.Recent) > learnDelay {
		learn(&row, row.Bin-learnDelay, row.Recent[0])
		row.Recent = row.Recent[1:]
	}
	row.Shift += betterShift(row)
	return row
}

func learn(row *glade.ShapeRow, bin int64, demand float64) {
	i := index(bin, row.Shift)
	if row.Days[i] == 0 {
		row.Profile[i] = demand
	} else {
		row.Profile[i] += learnRate * (demand - row.Profile[i])
	}
	row.Days[i]++
}

// index returns the place of a bin in the profile of a day that is shift bins
// late.
func index(bin int64, shift int) int {
	return int(((bin-int64(shift))%Bins + Bins) % Bins)
}

// betterShift returns by how many bins the day should move to fit the last
// bins clearly better; 0 when none does.
func betterShift(row glade.ShapeRow) int {
	if len(row.Recent) < fitBins || !isKnown(row) || !isTelling(row) {
		return 0
	}
	stay := misfit(row, 0)
	best, least := 0, stay*(1-shiftGain)
	for by := -maxShift; by <= maxShift; by++ {
		if m := misfit(row, by); m < least {
			best, least = by, m
		}
	}
	return best
}

// isKnown tells whether every bin of the profile was learnt.
func isKnown(row glade.ShapeRow) bool {
	for _, days := range row.Days {
		if days == 0 {
			return false
		}
	}
	return len(row.Days) == Bins
}

// isTelling tells whether demand changed enough in the fitted bins.
func isTelling(row glade.ShapeRow) bool {
	low, high := math.Inf(1), 0.0
	for _, demand := range row.Recent[len(row.Recent)-fitBins:] {
		low, high = min(low, demand), max(high, demand)
	}
	return high-low >= minSpread*peak(row)
}

func peak(row glade.ShapeRow) float64 {
	top := 0.0
	for _, demand := range row.Profile {
		top = max(top, demand)
	}
	return top
}

// misfit returns the sum of squares between the last bins and the profile moved
// by some bins and scaled to fit best.
func misfit(row glade.ShapeRow, by int) float64 {
	var seenSeen, seenShape, shapeShape float64
	first := len(row.Recent) - fitBins
	for i, seen := range row.Recent[first:] {
		bin := row.Bin - int64(fitBins-1-i)
		shape := row.Profile[index(bin, row.Shift+by)]
		seenSeen += seen * seen
		seenShape += seen * shape
		shapeShape += shape * shape
	}
	if shapeShape == 0 {
		return seenSeen
	}
	scale := min(max(seenShape/shapeShape, 1/maxLevel), maxLevel)
	return seenSeen - 2*scale*seenShape + scale*scale*shapeShape
}

// levelBins is the number of bins from which today's level is taken.
const levelBins = 4

// level returns today's demand as a multiple of the profile.
func level(row glade.ShapeRow) float64 {
	var seen, shape float64
	for i := max(len(row.Recent)-levelBins, 0); i < len(row.Recent); i++ {
		seen += row.Recent[i]
		shape += row.Profile[index(row.Bin-int64(len(row.Recent)-1-i), row.Shift)]
	}
	if shape == 0 {
		return 1
	}
	return min(max(seen/shape, 1/maxLevel), maxLevel)
}

func expected(row glade.ShapeRow, bin int64) float64 {
	if isKnown(row) {
		return row.Profile[index(bin, row.Shift)]
	}
	if len(row.Recent) == 0 {
		return 0
	}
	return row.Recent[len(row.Recent)-1]
}

// Peak returns the greatest demand that is expected from the newest bin on
// until ahead, in slots. The second result is false while no whole day was
// learnt.
func Peak(row glade.ShapeRow, ahead time.Duration) (float64, bool) {
	if !isKnown(row) {
		return 0, false
	}
	scale := level(row)
	top := 0.0
	for bin := row.Bin + 1; bin <= row.Bin+1+int64(ahead/BinLength); bin++ {
		top = max(top, scale*row.Profile[index(bin, row.Shift)])
	}
	return top, true
}
