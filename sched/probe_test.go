package sched_test

import (
	"fmt"
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

// TestProbesOfManyRunners guards against a leader that is busy with probes, as many runners go silent at once.
func TestProbesOfManyRunners(t *testing.T) {
	const most = 128
	r := newHarness(qt.New(t), 120, twoCores)
	r.longPoll, r.orderTimeout = time.Second, 2*time.Second
	for i := range 120 {
		r.submit(glade.BatchID(fmt.Sprint(i)), oneTask(9000))
	}
	r.advance(time.Second)
	r.lose = func() bool { return true }
	inFlight := 0
	for end := r.now.Add(4 * time.Second); r.now.Before(end); r.advance(20 * time.Millisecond) {
		probes := 0
		for _, h := range r.heartbeats {
			if h.heartbeat.Order.Probe {
				probes++
			}
		}
		inFlight = max(inFlight, probes)
	}
	r.c.Assert(inFlight > most/2 && inFlight <= most, qt.IsTrue, qt.Commentf("%d in flight", inFlight))
}
