package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestDeletions guards against rows of ended batches that pile up: each new leader reads them
// all, and over a slow link never comes to an end.
func TestDeletions(t *testing.T) {
	const perSecond = 40
	// run submits batches that end at once, for some seconds.
	run := func(t *testing.T, seconds int) *harness {
		r := newHarness(qt.New(t), 20, glade.Need{CPU: 4000, Memory: 4000})
		r.advance(time.Second)
		for i := range seconds * perSecond {
			id := glade.BatchID(fmt.Sprintf("%05d", i))
			r.submit(id, oneTask(100))
			r.advance(time.Second / perSecond)
			r.endAll(id, 0, glade.EndDone)
			if i%(10*perSecond) == 0 {
				r.sched.Sweep(r.now)
			}
		}
		r.advance(time.Second)
		return r
	}
	t.Run("work rows go soon after the end, and the state stays", func(t *testing.T) {
		r := run(t, 40)
		r.c.Assert(len(r.workRows) <= 20*perSecond, qt.IsTrue, qt.Commentf("%d rows", len(r.workRows)))
		r.c.Assert(r.progressRows, qt.HasLen, 40*perSecond)
		r.c.Assert(r.mostRows <= 96, qt.IsTrue, qt.Commentf("%d rows in a write", r.mostRows))
		r.expectState("00000", glade.BatchDone)
	})
	t.Run("the next leader knows the state, and runs nothing again", func(t *testing.T) {
		r := run(t, 20)
		_, hasWork := r.workRows["00000"]
		r.c.Assert(hasWork, qt.IsFalse)
		r.reload(2)
		r.expectState("00000", glade.BatchDone)
		admission := r.submit("00000", oneTask(100))
		r.c.Assert(admission.Accepted, qt.IsTrue)
		r.advance(2 * time.Second)
		r.c.Assert(r.running("00000"), qt.Equals, 0)
	})
	t.Run("rows go as fast as they come once the state is no longer needed", func(t *testing.T) {
		r := run(t, 100) // the state stays available for a minute
		r.sched.Sweep(r.now)
		r.advance(time.Second)
		r.c.Assert(len(r.progressRows) <= 62*perSecond, qt.IsTrue, qt.Commentf("%d rows", len(r.progressRows)))
		_, known := r.sched.State("00000")
		r.c.Assert(known, qt.IsFalse)
	})
	t.Run("rows go in time although the leader changes often", func(t *testing.T) {
		r := newHarness(qt.New(t), 1, twoCores)
		r.submit("a", oneTask(100))
		r.advance(time.Second)
		r.endAll("a", 0, glade.EndDone)
		for epoch := int64(2); epoch < 6; epoch++ {
			r.advance(20 * time.Second)
			r.reload(epoch)
			r.sched.Sweep(r.now)
		}
		r.advance(time.Second)
		r.c.Assert(r.progressRows, qt.HasLen, 0)
		r.c.Assert(r.workRows, qt.HasLen, 0)
	})
	t.Run("an ID that is used again after that is not deleted", func(t *testing.T) {
		r := newHarness(qt.New(t), 1, twoCores)
		r.sched.Cancel("a", r.now) // has no row of its work
		r.advance(61 * time.Second)
		r.sched.Sweep(r.now)
		r.advance(time.Second)
		r.c.Assert(r.progressRows, qt.HasLen, 0)
		r.submit("a", oneTask(100))
		r.sched.Sweep(r.now)
		r.advance(time.Second)
		r.c.Assert(r.workRows, qt.HasLen, 1)
		r.c.Assert(r.running("a"), qt.Equals, 1)
	})
	t.Run("a batch that was withdrawn keeps no others from being released", func(t *testing.T) {
		r := newHarness(qt.New(t), 1, twoCores)
		r.storeDown = true
		r.submit("a", oneTask(100))
		r.sched.Cancel("a", r.now)
		r.c.Assert(r.sched.Withdraw("a"), qt.IsTrue)
		r.storeDown = false
		r.submit("b", oneTask(100))
		r.advance(time.Second)
		r.endAll("b", 0, glade.EndDone)
		r.advance(20 * time.Second)
		r.c.Assert(r.workRows, qt.HasLen, 0)
		r.expectState("b", glade.BatchDone)
	})
}
