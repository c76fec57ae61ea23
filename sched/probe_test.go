package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestUnreadEnds guards against work that is given up and started again although it has ended as done: its runner is
// alive, and each heartbeat whose answer gets lost costs its timeout.
func TestUnreadEnds(t *testing.T) {
	expectOneStart := func(c *qt.C, lose func(r *harness) bool) {
		r := newHarness(c, 1, twoCores)
		r.longPoll, r.answerEnds, r.orderTimeout = time.Second, true, 700*time.Millisecond
		r.submit("a", oneTask(500))
		r.advance(600 * time.Millisecond)
		c.Assert(r.startOrders, qt.HasLen, 1)
		r.lose = func() bool { return lose(r) }
		for i := range r.heartbeats {
			r.heartbeats[i].lost = true
		}
		r.endAll("a", 0, glade.EndDone)
		r.advance(7 * time.Second)
		c.Assert(r.sched.Stats().Lapsed, qt.Equals, int64(0))
		r.expectState("a", glade.BatchDone)
	}
	t.Run("a runner that answers one heartbeat in nine is heard before its leases end", func(t *testing.T) {
		sent := 0
		expectOneStart(qt.New(t), func(*harness) bool {
			sent++
			return sent%9 != 0
		})
	})
	t.Run("it is asked more than once after their end", func(t *testing.T) {
		asked := 0
		expectOneStart(qt.New(t), func(r *harness) bool {
			for _, f := range r.runners {
				if len(f.unackedEnds) > 0 && r.clock(f) > f.leaseEnd {
					asked++
				}
			}
			return asked < 4
		})
	})
}

// TestOvertakenAnswer guards against a run that has ended and is taken over again: the answer to a heartbeat arrives after
// that to a later one.
func TestOvertakenAnswer(t *testing.T) {
	r := newHarness(qt.New(t), 1, twoCores)
	r.submit("a", oneTask(500))
	r.advance(600 * time.Millisecond)
	id := r.runnerOf("a")
	f := r.runners[id]
	old := glade.HeartbeatAnswer{Born: f.incarnation, Clock: r.clock(f), Running: f.running}
	r.endAll("a", 0, glade.EndDone)
	r.advance(200 * time.Millisecond)
	r.sched.HeartbeatAnswered(id, r.now, glade.HeartbeatOrder{Probe: true}, old, nil, r.now)
	r.advance(20 * time.Millisecond)
	r.c.Assert(r.orderLog, qt.DeepEquals, []string{"start a.0.0 on " + string(id)})
}
