package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// release lets a leader release the service and a new one take over, by the account of the first one of its leases, which
// it returns.
func (r *harness) release(epoch int64) time.Duration {
	left := r.sched.EndLeases(r.now)
	r.inheritedLeases = left
	r.reload(epoch)
	return left
}

// expectRestart expects that the only task of a batch, which runs on a runner that is cut off, is started again within a
// time, and not before the runner has ended it.
func (r *harness) expectRestart(first glade.RunnerID, within time.Duration) {
	r.c.Helper()
	f := r.runners[first]
	for end := r.now.Add(within); r.now.Before(end); r.advance(20 * time.Millisecond) {
		for id, other := range r.runners {
			if id != first && len(other.running) > 0 {
				r.c.Assert(r.clock(f) >= f.leaseEnd, qt.IsTrue, qt.Commentf("%d ms before the end of the lease", f.leaseEnd-r.clock(f)))
				return
			}
		}
	}
	r.c.Fatalf("not started again within %s", within)
}

// TestLeasesOfReleasedService guards against inherited work that waits beside a dead runner for leases that nobody can
// have, and against work that is started again before the leases of the leader before have ended.
func TestLeasesOfReleasedService(t *testing.T) {
	cut := func(t *testing.T) (*harness, glade.RunnerID) {
		t.Helper()
		r := newHarness(qt.New(t), 2, twoCores)
		r.submit("a", oneTask(60_000))
		r.advance(time.Second)
		first := r.runnerOf("a")
		r.runners[first].unresponsive = true
		return r, first
	}
	t.Run("a new leader waits for the leases of the last one", func(t *testing.T) {
		r, first := cut(t)
		r.release(2)
		r.expectRestart(first, 5*time.Second)
	})
	t.Run("and for those of the leaders before, which the last one has not seen end", func(t *testing.T) {
		r, first := cut(t)
		r.reload(2) // the first one was killed
		r.advance(time.Second)
		left := r.release(3)
		r.c.Assert(left > 6*time.Second, qt.IsTrue, qt.Commentf("%s", left))
		r.expectRestart(first, 8*time.Second)
	})
	t.Run("a leader that releases the service grants no lease any more", func(t *testing.T) {
		r := newHarness(qt.New(t), 2, twoCores)
		r.submit("a", oneTask(60_000))
		r.advance(time.Second)
		left := r.sched.EndLeases(r.now)
		for range 100 {
			r.now = r.now.Add(20 * time.Millisecond)
			r.sched.LeaderRenewed(r.now)
			for _, o := range r.sched.Step(r.now).Heartbeats {
				r.c.Assert(o.Order.LeaseUntil, qt.Equals, int64(0))
			}
			r.answerHeartbeats()
		}
		r.c.Assert(r.sched.EndLeases(r.now) <= left, qt.IsTrue)
	})
	t.Run("a service without runners leaves no leases", func(t *testing.T) {
		r := newHarness(qt.New(t), 0, twoCores)
		r.c.Assert(r.sched.EndLeases(r.now), qt.Equals, time.Duration(0))
	})
}
