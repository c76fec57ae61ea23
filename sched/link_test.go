package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/sched"
)

// linkHarness sends the orders and heartbeats of a leader over one link of limited
// bandwidth, in order. An order that is not through in time gets no answer, but is
// carried out when it arrives.
type linkHarness struct {
	*harness
	out *link
	// in carries answers and submissions to the leader; nil if they take no time.
	in *link
	// polls are the heartbeats that wait at their runners until a run ends.
	polls  []poll
	lapsed int
}

// link carries packets in order.
type link struct {
	bytesPerTick, credit float64
	queue                []packet
	late                 int // packets that were not through in time
}

func newLink(megabits float64) *link {
	return &link{bytesPerTick: megabits * 1e6 / 8 * linkTick.Seconds()}
}

func (l *link) send(p packet) { l.queue = append(l.queue, p) }

// step carries what fits into one tick, and expires what is late.
func (l *link) step(now time.Time) {
	l.credit = min(l.credit+l.bytesPerTick, l.bytesPerTick)
	for len(l.queue) > 0 && l.credit > 0 {
		p := l.queue[0]
		l.queue = l.queue[1:]
		l.credit -= p.bytes
		p.arrive(p.late)
	}
	for i := range l.queue {
		if p := &l.queue[i]; !p.late && now.After(p.deadline) {
			p.late = true
			l.late++
			p.expire()
		}
	}
}

type poll struct {
	heartbeat sched.Heartbeat
	sent      time.Time
	until     time.Time
	ends      int64 // reports of the runner when the heartbeat arrived
}

type packet struct {
	bytes    float64
	deadline time.Time
	late     bool
	arrive   func(late bool)
	expire   func()
}

const (
	linkTick       = 20 * time.Millisecond
	heartbeatBytes = 600
	answerBytes    = 300
	specBytes      = 1100
	linkTimeout    = 700 * time.Millisecond
	runTime        = 400 * time.Millisecond
)

func newLinkHarness(c *qt.C, megabits, startRate float64) *linkHarness {
	l := &linkHarness{
		harness: newHarness(c, 60, glade.Need{CPU: 200000, Memory: 400000}),
		out:     newLink(megabits),
	}
	l.sched.SetStartRate(startRate)
	return l
}

func (l *linkHarness) send(bytes float64, timeout time.Duration, arrive func(late bool), expire func()) {
	l.out.send(packet{bytes: bytes, deadline: l.now.Add(timeout), arrive: arrive, expire: expire})
}

// step lets the link carry what fits into one tick, and runs one scheduling step.
func (l *linkHarness) step() {
	l.now = l.now.Add(linkTick)
	l.out.step(l.now)
	if l.in != nil {
		l.in.step(l.now)
	}
	l.sched.LeaderRenewed(l.now)
	l.endAfter(runTime)
	polls := l.polls
	l.polls = nil
	for _, p := range polls {
		if f := l.runners[p.heartbeat.To.ID]; f.endCount > p.ends || !l.now.Before(p.until) {
			l.answerHeartbeat(p)
		} else {
			l.polls = append(l.polls, p)
		}
	}
	for _, f := range l.runners {
		if len(f.running) > 0 && l.clock(f) > f.leaseEnd {
			l.lapsed += len(f.running)
			for _, active := range f.running {
				f.end(active.Task, active.Run, glade.EndLeaseExpired)
			}
		}
	}
	orders := l.sched.Step(l.now)
	for _, o := range orders.Starts {
		l.sendStart(o)
	}
	for _, o := range orders.Stops {
		task, run := o.Task()
		f := l.runners[o.To().ID]
		l.send(heartbeatBytes, linkTimeout, func(late bool) {
			f.end(task, run, glade.EndStopped)
			if !late {
				l.sched.Stopped(o, glade.RunAnswer{}, nil, l.now)
			}
		}, func() { l.sched.Stopped(o, glade.RunAnswer{}, errNoAnswer, l.now) })
	}
	for _, o := range orders.Heartbeats {
		l.sendHeartbeat(o)
	}
	if l.sched.HasWrites() {
		l.sched.FinishWrite(l.sched.BeginWrite(), true, l.now)
	}
}

func (l *linkHarness) sendStart(o sched.Start) {
	order := o.Order(l.sched)
	f := l.runners[o.To().ID]
	l.send(float64(len(order.Spec)+400), linkTimeout, func(late bool) {
		f.running = append(f.running, glade.ActiveRun{Task: order.Task, Run: order.Run, Percent: 100})
		f.leaseEnd = max(f.leaseEnd, order.LeaseUntil)
		if !late {
			l.receive(answerBytes, linkTimeout, func() { l.sched.Started(o, glade.RunAnswer{}, nil, l.now) },
				func() { l.sched.Started(o, glade.RunAnswer{}, errNoAnswer, l.now) })
		}
	}, func() { l.sched.Started(o, glade.RunAnswer{}, errNoAnswer, l.now) })
}

// receive carries an answer or a submission to the leader, if it is through in time.
func (l *linkHarness) receive(bytes float64, timeout time.Duration, arrive, expire func()) {
	if l.in == nil {
		arrive()
		return
	}
	l.in.send(packet{bytes: bytes, deadline: l.now.Add(timeout), arrive: func(late bool) {
		if !late {
			arrive()
		}
	}, expire: expire})
}

// answerHeartbeat answers a heartbeat whose wait is over.
func (l *linkHarness) answerHeartbeat(p poll) {
	l.receive(answerBytes, linkTimeout, func() { l.heartbeat(p.heartbeat, p.sent) }, func() {
		l.sched.HeartbeatAnswered(p.heartbeat.To.ID, p.sent, p.heartbeat.Order, glade.HeartbeatAnswer{}, errNoAnswer, l.now)
	})
}

func (l *linkHarness) sendHeartbeat(o sched.Heartbeat) {
	sent := l.now.Add(-time.Millisecond)
	l.send(heartbeatBytes, o.Order.Wait+linkTimeout, func(late bool) {
		if !late {
			f := l.runners[o.To.ID]
			f.leaseEnd = max(f.leaseEnd, o.Order.LeaseUntil)
			l.polls = append(l.polls, poll{heartbeat: o, sent: sent, until: l.now.Add(o.Order.Wait), ends: l.runners[o.To.ID].endCount})
		}
	}, func() {
		l.sched.HeartbeatAnswered(o.To.ID, sent, o.Order, glade.HeartbeatAnswer{}, errNoAnswer, l.now)
	})
}

// play submits batches at a rate for some seconds, and returns how many were done
// within their objective.
func (l *linkHarness) play(perSecond int) (inTime int) {
	for range 50 {
		l.step()
	}
	work := batchOf(glade.Step{Count: 4, Need: core, Estimate: 400})
	work.Spec = string(make([]byte, specBytes))
	submitted := make(map[glade.BatchID]time.Time)
	done := make(map[glade.BatchID]bool)
	ticks := int(4 * time.Second / linkTick)
	due := 0.0
	for range ticks {
		due += float64(perSecond) * linkTick.Seconds()
		for ; due >= 1; due-- {
			id := glade.BatchID(fmt.Sprint(len(submitted)))
			submitted[id] = l.now
			l.submit(id, work)
		}
		l.step()
		for id, at := range submitted {
			if state, _ := l.sched.State(id); state == glade.BatchDone && !done[id] {
				done[id] = true
				if l.now.Sub(at) <= 1300*time.Millisecond { // twice the chain and the slack
					inTime++
				}
			}
		}
	}
	return inTime
}

// TestCongestion guards against a collapse under load: when starts fill the leader's
// link, answers and heartbeats come too late, and healthy runs are given up and started
// again, which costs still more bytes.
func TestCongestion(t *testing.T) {
	const share = 0.55
	for _, megabits := range []float64{2, 20} {
		capacity := int(megabits * 1e6 / 8 * share / (4 * (specBytes + 400))) // batches a second
		expect := func(name string, rate float64, check func(c *qt.C, results []int, last *linkHarness)) {
			t.Run(fmt.Sprintf("%s, %v Mbit/s", name, megabits), func(t *testing.T) {
				c := qt.New(t)
				var results []int
				var l *linkHarness
				for _, times := range []float64{0.7, 1.5, 10} {
					l = newLinkHarness(c, megabits, rate)
					results = append(results, l.play(max(int(times*float64(capacity)), 1)))
				}
				check(c, results, l)
			})
		}
		expect("paced, goodput stays level under ten times the load", megabits*1e6/8*share, func(c *qt.C, results []int, last *linkHarness) {
			best := max(results[0], results[1], results[2])
			c.Assert(float64(results[2]) >= 0.9*float64(best), qt.IsTrue, qt.Commentf("%v", results))
			c.Assert(last.lapsed, qt.Equals, 0)
			c.Assert(last.out.late, qt.Equals, 0)
		})
		if megabits > 2 {
			continue // the same as with a slower link, with more to simulate
		}
		expect("without a pace it collapses", 0, func(c *qt.C, results []int, last *linkHarness) {
			c.Assert(float64(results[2]) < 0.9*float64(max(results[0], results[1])), qt.IsTrue, qt.Commentf("%v", results))
			c.Assert(last.out.late > 0, qt.IsTrue)
		})
	}
}
