package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/sched"
)

// incomingHarness is a leader whose link carries what it sends and what it receives:
// answers of runners, and the submissions of callers, who come again when they are refused.
type incomingHarness struct {
	*linkHarness
	work glade.Batch
	// offers makes hosts offer batches while others are refused.
	offers    bool
	refusedAt time.Time
	retries   map[time.Time][]*incomingCaller
	sentAt    map[glade.BatchID]time.Time
	done      map[glade.BatchID]bool
	inTime    int
}

type incomingCaller struct {
	id       glade.BatchID
	attempts int
}

const (
	submissionBytes = specBytes + 300
	offerBytes      = 200
	offersAfter     = 5 * time.Second // hosts make offers for that long after a refusal
	callerAttempts  = 5
	callerTimeout   = 3 * time.Second
	incomingTime    = 8 * time.Second // longer than a lease
)

func newIncomingHarness(c *qt.C, megabits float64, offers bool) *incomingHarness {
	const startShare = 0.55
	l := newLinkHarness(c, megabits, megabits*1e6/8*startShare)
	l.in = newLink(megabits)
	i := &incomingHarness{
		linkHarness: l, offers: offers, work: batchOf(glade.Step{Count: 4, Need: core, Estimate: 400}),
		retries: make(map[time.Time][]*incomingCaller), sentAt: make(map[glade.BatchID]time.Time), done: make(map[glade.BatchID]bool),
	}
	i.work.Spec = string(make([]byte, specBytes))
	// Long-running tasks, whose users notice when a lease ends.
	i.submit(lastingBatch, batchOf(glade.Step{Count: 20, Need: core, LongRunning: true, MaxPerRunner: 1}))
	return i
}

// attempt sends a batch, or an offer of it, to the leader.
func (i *incomingHarness) attempt(caller *incomingCaller) {
	caller.attempts++
	i.sentAt[caller.id] = i.now
	if i.offers && !i.refusedAt.IsZero() && i.now.Sub(i.refusedAt) < offersAfter {
		i.receive(offerBytes, callerTimeout, func() {
			admission, decided := i.sched.Offer(caller.id, queue, sched.Summarize(i.work), i.now)
			if !decided {
				i.send(caller)
				return
			}
			i.answer(caller, admission)
		}, func() {})
		return
	}
	i.send(caller)
}

func (i *incomingHarness) send(caller *incomingCaller) {
	i.receive(submissionBytes, callerTimeout, func() { i.answer(caller, i.submit(caller.id, i.work)) }, func() {})
}

func (i *incomingHarness) answer(caller *incomingCaller, admission sched.Admission) {
	if admission.Accepted {
		return
	}
	i.refusedAt = i.now
	if caller.attempts < callerAttempts {
		at := i.now.Add(admission.After).Truncate(linkTick)
		i.retries[at] = append(i.retries[at], caller)
	}
}

// play lets callers submit batches at a rate, and returns how many were done within their
// objective, counted from the attempt that was accepted.
func (i *incomingHarness) play(perSecond int) int {
	for range 50 {
		i.step()
	}
	due, callers := 0.0, 0
	for range int(incomingTime / linkTick) {
		due += float64(perSecond) * linkTick.Seconds()
		for ; due >= 1; due-- {
			callers++
			i.attempt(&incomingCaller{id: glade.BatchID(fmt.Sprint(callers))})
		}
		for _, caller := range i.retries[i.now.Truncate(linkTick)] {
			i.attempt(caller)
		}
		delete(i.retries, i.now.Truncate(linkTick))
		i.step()
		for id, at := range i.sentAt {
			if state, _ := i.sched.State(id); state == glade.BatchDone && !i.done[id] {
				i.done[id] = true
				if i.now.Sub(at) <= 1300*time.Millisecond { // twice the chain and the slack
					i.inTime++
				}
			}
		}
	}
	return i.inTime
}

// incomingCapacity is the number of batches a second that a link of 2 Mbit/s carries, by the
// bytes of their starts.
const (
	incomingMegabits = 2
	incomingCapacity = 22
)

func playIncoming(c *qt.C, offers bool, times int) (int, *incomingHarness) {
	i := newIncomingHarness(c, incomingMegabits, offers)
	inTime := i.play(times * incomingCapacity)
	c.Logf("offers %v, %d times the load: %d in time, %d answers late, %d leases ended", offers, times, inTime, i.in.late, i.lapsed)
	return inTime, i
}

func expectLevel(t *testing.T, times int) {
	t.Helper()
	c := qt.New(t)
	best, _ := playIncoming(c, true, 1)
	inTime, i := playIncoming(c, true, times)
	c.Assert(float64(inTime) >= 0.9*float64(best), qt.IsTrue, qt.Commentf("%d, %d at the capacity", inTime, best))
	c.Assert(i.lapsed, qt.Equals, 0)
}

// TestIncomingCongestion guards against refused callers who fill the leader's link, so that
// heartbeats get no answer, leases end, and less is done the more is asked for.
func TestIncomingCongestion(t *testing.T) {
	for _, times := range []int{2, 4} {
		t.Run(fmt.Sprintf("with offers, goodput stays level under %d times the load", times), func(t *testing.T) { expectLevel(t, times) })
	}
	t.Run("without offers it collapses", func(t *testing.T) {
		c := qt.New(t)
		best, _ := playIncoming(c, false, 1)
		inTime, i := playIncoming(c, false, 10)
		c.Assert(float64(inTime) < 0.9*float64(best), qt.IsTrue, qt.Commentf("%d, %d at the capacity", inTime, best))
		c.Assert(i.lapsed > 0, qt.IsTrue)
	})
}

// TestIncomingCongestionTenfold is TestIncomingCongestion at ten times the load.
func TestIncomingCongestionTenfold(t *testing.T) { expectLevel(t, 10) }
