package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/sched"
)

// TestRepeatedStart guards against a start that is sent again although its task needs no run any more, and against a doubt
// that the answer to a repetition ends wrongly: both make tasks run twice.
func TestRepeatedStart(t *testing.T) {
	newLost := func(t *testing.T) *harness {
		r := newHarness(qt.New(t), 2, twoCores)
		r.startRepeats = 1
		r.reload(2)
		r.advance(time.Second)
		r.loseStarts = 1
		r.submit("a", oneTask(5000))
		for len(r.lostOrders) == 0 {
			r.tick()
			r.now = r.now.Add(20 * time.Millisecond)
		}
		return r
	}
	t.Run("is accepted by the same runner and not stopped", func(t *testing.T) {
		r := newLost(t)
		r.advance(time.Second)
		r.c.Assert(r.orderLog, qt.DeepEquals, []string{"start a.0.0 on " + string(r.lostOrders[0].to)})
	})
	t.Run("is not sent once nobody needs the run", func(t *testing.T) {
		r := newLost(t)
		r.sched.Cancel("a", r.now)
		r.advance(time.Second)
		r.c.Assert(r.startOrders, qt.HasLen, 0)
	})
	t.Run("leaves a run alone that its runner has listed since", func(t *testing.T) {
		r := newLost(t)
		id := r.lostOrders[0].to
		starts := r.sched.Step(r.now).Starts
		r.c.Assert(starts, qt.HasLen, 1)
		r.carryOutLate()
		r.heartbeat(sched.Heartbeat{To: glade.RunnerInfo{ID: id}}, r.now)
		r.c.Assert(r.sched.MaySend(starts[0], r.now), qt.IsFalse)
		r.advance(time.Second)
		r.c.Assert(r.startOrders, qt.HasLen, 0)
		r.c.Assert(r.running("a"), qt.Equals, 1)
	})
	t.Run("is not sent to another incarnation", func(t *testing.T) {
		r := newLost(t)
		id := r.lostOrders[0].to
		answer := glade.HeartbeatAnswer{Born: r.runners[id].incarnation + 1, Clock: r.clock(r.runners[id])}
		r.sched.HeartbeatAnswered(id, r.now, glade.HeartbeatOrder{}, answer, nil, r.now)
		r.tick()
		r.c.Assert(r.startOrders, qt.HasLen, 0)
	})
	t.Run("says nothing about the first attempt when it is refused", func(t *testing.T) {
		r := newLost(t)
		r.refuseStarts, r.rejectStops = 1, true
		r.advance(2 * time.Second)
		r.c.Assert(r.startOrders, qt.HasLen, 0)
		r.carryOutLate()
		r.advance(500 * time.Millisecond)
		r.c.Assert(r.running("a"), qt.Equals, 1)
		r.c.Assert(r.startOrders, qt.HasLen, 0)
	})
	t.Run("that was accepted is stopped on the next incarnation, which may carry the first attempt out", func(t *testing.T) {
		r := newLost(t)
		r.advance(time.Second)
		id := r.lostOrders[0].to
		r.runners[id].incarnation++
		r.runners[id].startedAt, r.runners[id].running, r.orderLog = r.now, nil, nil
		r.advance(time.Second)
		r.c.Assert(r.orderLog[0], qt.Equals, "stop a.0.0 on "+string(id))
	})
}
