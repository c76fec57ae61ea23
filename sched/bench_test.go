package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// BenchmarkPeak simulates one second of a pool of 85 runners under twice the load
// that it can serve.
func BenchmarkPeak(b *testing.B) {
	r := newHarness(qt.New(b), 85, glade.Need{CPU: 16000, Memory: 32000})
	r.advance(time.Second)
	work := batchOf(
		glade.Step{Count: 8, Need: glade.Need{CPU: 1500, Memory: 1300}, Estimate: 800},
		glade.Step{Count: 8, Need: glade.Need{CPU: 1500, Memory: 1300}, Estimate: 800, After: []int{0}},
	)
	n := 0
	for b.Loop() {
		for range 50 {
			for range 4 {
				n++
				r.submit(glade.BatchID(fmt.Sprint(n)), work)
			}
			r.endAfter(800 * time.Millisecond)
			r.advance(20 * time.Millisecond)
		}
	}
}

// endAfter ends the runs that are at least d old.
func (r *harness) endAfter(d time.Duration) {
	if r.firstSeen == nil {
		r.firstSeen = make(map[glade.ActiveRun]time.Time)
	}
	for _, f := range r.runners {
		for _, active := range append([]glade.ActiveRun(nil), f.running...) {
			at, ok := r.firstSeen[active]
			if !ok {
				r.firstSeen[active] = r.now
				continue
			}
			if r.now.Sub(at) >= d {
				delete(r.firstSeen, active)
				f.end(active.Task, active.Run, glade.EndDone)
			}
		}
	}
}
