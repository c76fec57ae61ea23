package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestLateHeartbeatOnEarlierClock guards against two runs of a task: a restarted runner carries out a heartbeat of before, and
// takes its lease for the longest that it grants.
func TestLateHeartbeatOnEarlierClock(t *testing.T) {
	r := newHarness(qt.New(t), 2, twoCores)
	both := r.infos
	r.sched.SetRunners(both[:1], r.now)
	r.advance(2 * time.Second)
	f := r.runners["r0"]
	f.unresponsive = true
	r.advance(time.Second)
	f.incarnation, f.startedAt, f.leaseEnd, f.unresponsive = 2, r.now, 0, false
	r.advance(8 * time.Second)
	r.submit("a", oneTask(60_000))
	r.advance(500 * time.Millisecond)
	r.c.Assert(r.running("a"), qt.Equals, 1)
	f.leaseEnd = r.clock(f) + testConfig(1).MaxLease.Milliseconds()
	end := r.now.Add(testConfig(1).MaxLease)
	r.advance(500 * time.Millisecond)
	f.unresponsive = true
	r.infos = both
	r.sched.SetRunners(both, r.now)
	r.expectOneRunUntil(end)
}
