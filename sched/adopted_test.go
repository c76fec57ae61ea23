package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAdoptedLeaseOnEarlierClock guards against two runs of a task: a restarted runner takes a lease that an earlier leader
// has granted on the clock of before for the longest that it grants.
func TestAdoptedLeaseOnEarlierClock(t *testing.T) {
	t.Run("on a runner that is cut off again", func(t *testing.T) {
		r, end := startOnUnseenIncarnation(t)
		f := r.runners["r0"]
		f.unresponsive = false
		r.reload(2)
		r.advance(100 * time.Millisecond)
		f.unresponsive = true
		r.expectOneRunUntil(end)
	})
	t.Run("runs on a runner that has not restarted lately are given up sooner", func(t *testing.T) {
		r := newHarness(qt.New(t), 2, twoCores)
		r.submit("a", oneTask(60_000))
		r.advance(time.Second)
		first := r.runnerOf("a")
		r.reload(2)
		r.advance(100 * time.Millisecond)
		r.runners[first].unresponsive = true
		r.advance(6 * time.Second)
		r.c.Assert(r.runnerOf("a"), qt.Not(qt.Equals), first)
	})
}

// TestInheritedLeaseOnEarlierClock guards against the same on a runner that the next leader does not reach.
func TestInheritedLeaseOnEarlierClock(t *testing.T) {
	r, end := startOnUnseenIncarnation(t)
	r.reload(2)
	r.expectOneRunUntil(end)
}
