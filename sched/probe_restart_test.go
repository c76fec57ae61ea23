package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// newPolledHarness returns a harness whose runner runs batch "b", has reported one end, and holds a heartbeat.
func newPolledHarness(t *testing.T) (*harness, *fakeRunner, pendingHeartbeat) {
	r := newHarness(qt.New(t), 1, twoCores)
	r.longPoll, r.answerEnds = time.Second, true
	r.submit("a", oneTask(500))
	r.submit("b", oneTask(60_000))
	r.advance(600 * time.Millisecond)
	r.endAll("a", 0, glade.EndDone)
	r.advance(time.Second)
	for len(r.heartbeats) == 0 || r.now.Sub(r.heartbeats[0].sent) > 100*time.Millisecond {
		r.advance(20 * time.Millisecond)
	}
	r.c.Assert(r.heartbeats[0].heartbeat.Order.AckedSeq, qt.Equals, int64(1))
	return r, r.runners["r0"], r.heartbeats[0]
}

func (r *harness) probeAnswer(f *fakeRunner) glade.HeartbeatAnswer {
	return glade.HeartbeatAnswer{Born: f.incarnation, Clock: r.clock(f), Running: f.running, Ended: f.unackedEnds}
}

func (r *harness) expectNoAck() {
	r.c.Helper()
	for range 50 {
		for _, next := range r.sched.Step(r.now).Heartbeats {
			if !next.Order.Probe {
				r.c.Assert(next.Order.AckedSeq, qt.Equals, int64(0))
				return
			}
		}
		r.now = r.now.Add(20 * time.Millisecond)
	}
	r.c.Fatal("no heartbeat")
}

// TestAckAfterProbe guards against ends of a restarted runner that are acknowledged unread: it numbers them anew.
func TestAckAfterProbe(t *testing.T) {
	probe := glade.HeartbeatOrder{Fence: 1, Probe: true}
	t.Run("a heartbeat breaks after a probe was answered", func(t *testing.T) {
		r, f, held := newPolledHarness(t)
		sent := r.now
		r.now = r.now.Add(50 * time.Millisecond)
		r.sched.HeartbeatAnswered("r0", sent, probe, r.probeAnswer(f), nil, r.now)
		r.now = r.now.Add(50 * time.Millisecond)
		r.sched.HeartbeatAnswered("r0", held.sent, held.heartbeat.Order, glade.HeartbeatAnswer{}, errNoAnswer, r.now)
		r.expectNoAck()
	})
	t.Run("a probe is answered late, after a heartbeat has failed", func(t *testing.T) {
		r, f, held := newPolledHarness(t)
		sent, answer := r.now, r.probeAnswer(f)
		r.now = r.now.Add(50 * time.Millisecond)
		r.sched.HeartbeatAnswered("r0", held.sent, held.heartbeat.Order, glade.HeartbeatAnswer{}, errNoAnswer, r.now)
		r.now = r.now.Add(50 * time.Millisecond)
		r.sched.HeartbeatAnswered("r0", sent, probe, answer, nil, r.now)
		r.expectNoAck()
	})
	t.Run("a probe is answered late, after a start got no answer", func(t *testing.T) {
		r, f, held := newPolledHarness(t)
		sent, answer := r.now, r.probeAnswer(f)
		r.delayAnswers = true
		r.submit("c", oneTask(500))
		r.advance(60 * time.Millisecond)
		r.c.Assert(r.delayed, qt.HasLen, 1)
		r.sched.Started(r.delayed[0], glade.RunAnswer{}, errNoAnswer, r.now)
		r.sched.HeartbeatAnswered("r0", sent, probe, answer, nil, r.now)
		r.sched.HeartbeatAnswered("r0", held.sent, held.heartbeat.Order, glade.HeartbeatAnswer{}, errNoAnswer, r.now)
		r.expectNoAck()
	})
}

// TestBornEarlier guards against a runner that is ignored for good: its host's time of day was set back before it restarted.
func TestBornEarlier(t *testing.T) {
	r := newHarness(qt.New(t), 1, twoCores)
	f := r.runners["r0"]
	f.incarnation = 1000
	r.advance(time.Second)
	f.incarnation, f.startedAt = 900, r.now
	r.advance(2 * time.Second)
	r.submit("a", oneTask(500))
	r.advance(time.Second)
	r.endAll("a", 0, glade.EndDone)
	r.advance(time.Second)
	r.expectState("a", glade.BatchDone)
}
