package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestReturnOfRunnerThatCountedAsCrashed guards against a batch that is shown as failed, although none of its tasks has
// failed or crashed a runner: the runner was only cut off, and its starts never arrived.
func TestReturnOfRunnerThatCountedAsCrashed(t *testing.T) {
	const cuts = 6
	r := newHarness(qt.New(t), 1, twoCores)
	r.advance(time.Second)
	r.submit("a", oneTask(500))
	for i := range cuts {
		r.loseStarts = 1
		for end := r.now.Add(5 * time.Second); len(r.lostOrders) == i; r.advance(20 * time.Millisecond) {
			r.c.Assert(r.now.Before(end), qt.IsTrue, qt.Commentf("no start after %d cuts", i))
		}
		r.runners["r0"].unresponsive = true
		r.advance(6 * time.Second)
		r.runners["r0"].unresponsive = false
		state, ok := r.sched.State("a")
		r.c.Assert(ok && !state.IsFinal(), qt.IsTrue, qt.Commentf("%s after %d cuts", state, i+1))
	}
	r.advance(2 * time.Second)
	r.c.Assert(r.running("a"), qt.Equals, 1)
	r.expectState("a", glade.BatchRunning)
}

// TestReturnOfRestartedRunner guards against a task that crashes its runners without an end: they restart so late that their
// runs were given up before, and are taken for cut off.
func TestReturnOfRestartedRunner(t *testing.T) {
	const maxCrashes = 5
	r := newHarness(qt.New(t), 1, twoCores)
	r.advance(time.Second)
	r.submit("a", oneTask(60_000))
	isFinal := func() bool {
		state, ok := r.sched.State("a")
		return ok && state.IsFinal()
	}
	for range maxCrashes {
		for end := r.now.Add(30 * time.Second); r.running("a") == 0 && !isFinal() && r.now.Before(end); {
			r.advance(20 * time.Millisecond)
		}
		f := r.runners["r0"]
		f.running, f.unresponsive = nil, true
		r.advance(12 * time.Second) // longer than any lease
		f.incarnation, f.startedAt, f.leaseEnd, f.unresponsive = f.incarnation+1, r.now, 0, false
	}
	r.advance(time.Second)
	r.expectState("a", glade.BatchFailed)
}
