package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestOvertakenListOfTheSameMillisecond guards against a run that has ended and counts as active: the list of before its
// end arrives after the one with it, and the runner's clock is the same in both.
func TestOvertakenListOfTheSameMillisecond(t *testing.T) {
	r := newHarness(qt.New(t), 1, twoCores)
	r.longPoll = time.Second
	r.submit("a", oneTask(60_000))
	r.advance(1500 * time.Millisecond)
	f, probe := r.runners["r0"], glade.HeartbeatOrder{Fence: 1, Probe: true}
	older := r.probeAnswer(f)
	r.endAll("a", 0, glade.EndFailed)
	newer := r.probeAnswer(f)
	r.sched.HeartbeatAnswered("r0", r.now, probe, newer, nil, r.now)
	r.sched.HeartbeatAnswered("r0", r.now, probe, older, nil, r.now)
	r.advance(100 * time.Millisecond)
	r.c.Assert(r.running("a"), qt.Equals, 1)
}
