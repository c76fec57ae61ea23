package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestPaceFollowsMostAnswers guards against a leader whose one slow runner lowers the rate
// of all starts, and against one that is overloaded and does not notice.
func TestPaceFollowsMostAnswers(t *testing.T) {
	play := func(slow, quick int) (*pace, time.Time) {
		p := &pace{}
		p.setLimit(1e6)
		now := time.Unix(1_000_000, 0)
		for range 20 {
			for range slow {
				p.observe(2*slowAnswer, now)
			}
			for range quick {
				p.observe(time.Millisecond, now)
			}
			now = now.Add(adjustPeriod)
		}
		return p, now
	}
	t.Run("some slow answers leave the rate as it is", func(t *testing.T) {
		p, now := play(4, 6)
		qt.Assert(t, p.rate, qt.Equals, p.limit)
		qt.Assert(t, p.isOverloaded(now), qt.IsFalse)
	})
	t.Run("many slow answers lower it", func(t *testing.T) {
		p, now := play(6, 4)
		qt.Assert(t, p.rate, qt.Equals, minRateShare*p.limit)
		qt.Assert(t, p.isOverloaded(now), qt.IsTrue)
		qt.Assert(t, p.isOverloaded(now.Add(overloadTime)), qt.IsFalse)
	})
}

// TestPoolFollowsTheRateOfStarts guards against hosts that are assigned to a pool whose
// overloaded leader can't use them, and has to send heartbeats to them.
func TestPoolFollowsTheRateOfStarts(t *testing.T) {
	p := &pace{}
	p.setLimit(1e6)
	p.recordArrival(2e6, 1000) // a millicore for 2 s, for each byte
	qt.Assert(t, p.bound(1e9), qt.Equals, 2_000_000)
	now := time.Unix(1_000_000, 0)
	for range 40 {
		p.observe(2*slowAnswer, now)
		now = now.Add(adjustPeriod)
	}
	qt.Assert(t, p.bound(1e9), qt.Equals, 200_000)
}

// TestOverloadedLeaderSendsFewerHeartbeats guards against a leader that loses answers for
// lack of time and then asks more often.
func TestOverloadedLeaderSendsFewerHeartbeats(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	newRunner := func() (*Scheduler, *runner) {
		s := newBacklogScheduler(now)
		s.config.HeartbeatWait = time.Second
		r := s.runner("r1")
		b := newBatch("a", "fast", oneShortTask, now)
		r.add(&run{step: b.occurrences[0].steps[0], runner: r})
		s.answerLostAt = now
		return s, r
	}
	t.Run("after a lost answer a calm leader asks soon", func(t *testing.T) {
		s, r := newRunner()
		qt.Assert(t, s.heartbeatWait(r, now), qt.Equals, lossyWait)
		qt.Assert(t, s.heartbeatPause(now) <= maxHeartbeatSpacing, qt.IsTrue)
	})
	t.Run("an overloaded one does not, and waits longer for ends", func(t *testing.T) {
		s, r := newRunner()
		s.pace.overloadedAt = now
		qt.Assert(t, s.heartbeatWait(r, now), qt.Equals, s.config.HeartbeatWait)
		qt.Assert(t, s.heartbeatPause(now), qt.Equals, overloadedSpacing)
	})
}

var oneShortTask = glade.Batch{Steps: []glade.Step{{Count: 1, Need: glade.Need{CPU: 1000}, Estimate: 400}}}
