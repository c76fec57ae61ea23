package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestEstimates guards against capacity that is kept for work which never comes: callers
// declare run times too short as often as too long, and the correction must not add to
// the sum of the work.
func TestEstimates(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	play := func(declared []int64, took time.Duration, checkpoint string) *estimates {
		var e estimates
		e.init()
		for i := range 4000 {
			b := newBatch("a", "q", glade.Batch{Steps: []glade.Step{{Count: 1, Estimate: declared[i%len(declared)], Need: glade.Need{CPU: 1000}}}}, now)
			e.observe(&run{step: b.occurrences[0].steps[0], startedAt: now.Add(-took), checkpoint: checkpoint}, now)
		}
		return &e
	}
	expectFactor := func(name string, e *estimates, least, most float64) {
		t.Run(name, func(t *testing.T) {
			factor := e.factor("q")
			qt.Assert(t, factor >= least && factor <= most, qt.IsTrue, qt.Commentf("%v", factor))
		})
	}
	expectFactor("of a queue that was not seen is 1", &estimates{}, 1, 1)
	expectFactor("is 1 if errors even out", play([]int64{400, 800, 1200}, 800*time.Millisecond, ""), 0.98, 1.02)
	expectFactor("follows what all callers declare too short", play([]int64{400}, 800*time.Millisecond, ""), 1.9, 2.1)
	expectFactor("bounds a single long run", play([]int64{100}, time.Minute, ""), 4.5, 5.001)
	expectFactor("leaves out resumed runs", play([]int64{800}, 100*time.Millisecond, "c"), 1, 1)
}
