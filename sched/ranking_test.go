package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// rankTime is how long a slow host takes for each step that it puts in the order of placement.
const rankTime = 40 * time.Microsecond

// slowLeader sends starts as a leader does whose placement passes take a time that grows with the steps
// that are ranked.
type slowLeader struct {
	*harness
	ranked int64
	sent   map[glade.BatchID]int
	// longest is the longest time between two starts that were sent.
	longest  time.Duration
	lastSent time.Time
}

func (l *slowLeader) play(length time.Duration) {
	for end := l.now.Add(length); l.now.Before(end); {
		l.sched.LeaderRenewed(l.now)
		orders := l.sched.Step(l.now)
		ranked := l.sched.Stats().Ranked
		l.now = l.now.Add(time.Duration(ranked-l.ranked)*rankTime + 5*time.Millisecond)
		l.ranked = ranked
		for _, o := range orders.Starts {
			if !l.sched.MaySend(o, l.now) {
				continue
			}
			order := o.Order(l.sched)
			l.sent[order.Task.Batch]++
			l.longest = max(l.longest, l.now.Sub(l.lastSent))
			l.lastSent = l.now
			f := l.runners[o.To().ID]
			f.running = append(f.running, glade.ActiveRun{Task: order.Task, Run: order.Run, Percent: 100})
			f.leaseEnd = max(f.leaseEnd, order.LeaseUntil)
			l.sched.Started(o, glade.RunAnswer{}, nil, l.now)
		}
		for _, o := range orders.Heartbeats {
			l.heartbeats = append(l.heartbeats, pendingHeartbeat{heartbeat: o, sent: l.now})
		}
		l.answerHeartbeats()
		if l.sched.HasWrites() {
			l.sched.FinishWrite(l.sched.BeginWrite(), true, l.now)
		}
	}
}

// newSlowLeader returns a leader with 20,000 tasks that are due.
func newSlowLeader(t *testing.T) *slowLeader {
	t.Helper()
	const batches, times = 40, 500
	r := newHarness(qt.New(t), 9, cores(16))
	r.advance(time.Second)
	for i := range batches {
		work := batchOf(glade.Step{Count: 1, Need: glade.Need{CPU: 100}, Estimate: 60_000})
		work.Times, work.FirstDue, work.Interval = times, r.now.Add(-time.Hour).UnixMilli(), 1
		r.c.Assert(r.submit(glade.BatchID(fmt.Sprint(i)), work).Accepted, qt.IsTrue)
	}
	return &slowLeader{harness: r, sent: make(map[glade.BatchID]int), lastSent: r.now}
}

// TestLongRanking guards against a service that starts nothing any more: to rank all that is ready takes longer
// than a start may be old when it is sent.
func TestLongRanking(t *testing.T) {
	t.Run("does not keep starts back", func(t *testing.T) {
		l := newSlowLeader(t)
		l.play(5 * time.Second)
		sum := 0
		for _, n := range l.sent {
			sum += n
		}
		l.c.Assert(sum >= 1000, qt.IsTrue, qt.Commentf("%d starts", sum))
	})
	t.Run("does not keep new batches back", func(t *testing.T) {
		l := newSlowLeader(t)
		l.play(3 * time.Second)
		for _, f := range l.runners { // there is room again
			for _, active := range f.running[:len(f.running)/2] {
				f.end(active.Task, active.Run, glade.EndDone)
			}
		}
		submitted := l.now
		l.submit("urgent", batchOf(glade.Step{Count: 4, Need: core, LongRunning: true}))
		for l.sent["urgent"] < 4 && l.now.Sub(submitted) < 6*time.Second {
			l.play(20 * time.Millisecond)
		}
		l.c.Assert(l.sent["urgent"], qt.Equals, 4)
		l.c.Assert(l.now.Sub(submitted) < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("%s", l.now.Sub(submitted)))
	})
}

// TestKeptRanking guards against tasks that a kept order of placement forgets, or places on what is reserved.
func TestKeptRanking(t *testing.T) {
	l := newSlowLeader(t)
	l.play(2 * time.Second)
	l.submit("gang", batchOf(lastingGang(9, 12_000)))
	l.play(time.Second)
	for range 40 {
		for _, f := range l.runners {
			for _, active := range f.running[:len(f.running)/4] {
				if active.Task.Batch != "gang" {
					f.end(active.Task, active.Run, glade.EndDone)
				}
			}
		}
		l.play(100 * time.Millisecond)
	}
	l.c.Assert(l.sent["gang"], qt.Equals, 9)
}
