package sched_test

import (
	"slices"
	"testing"
	"time"

	glade "indigoglade"
	"indigoglade/sched"
)

// deadTimeout is how long an order to a runner that is down or unreachable takes to fail, as long as two pauses
// between stops (stopRetry): the next stop can then follow at once.
const deadTimeout = 600 * time.Millisecond

// failingOrder is an order to a runner that is down or unreachable.
type failingOrder struct {
	at   time.Time
	from *modelLeader
	fail func()
}

// isDead reports whether a runner is down, or out of reach of a leader.
func (w *simulation) isDead(l *modelLeader, id glade.RunnerID) bool {
	return l.unreachable[id] || w.now.Before(w.runners[id].downUntil)
}

// failLater tells a leader after the wait that an order allows and deadTimeout that it got no answer.
func (w *simulation) failLater(l *modelLeader, wait time.Duration, fail func()) {
	w.failing = append(w.failing, failingOrder{at: w.now.Add(wait + deadTimeout), from: l, fail: fail})
}

// failOrders tells the leaders of the orders whose timeout is over. An answer makes a leader step at once, so that
// the next order may be in flight when it next looks at all runners.
func (w *simulation) failOrders() {
	failing, woken := w.failing, make(map[*modelLeader]bool)
	w.failing = nil
	for _, o := range failing {
		switch {
		case !slices.Contains(w.leaders, o.from):
		case o.at.After(w.now):
			w.failing = append(w.failing, o)
		default:
			o.fail()
			woken[o.from] = true
		}
	}
	for _, l := range slices.Clone(w.leaders) {
		if woken[l] {
			w.step(l)
		}
	}
}

// Bounds of the time for which work on a dead runner counts as work that goes on, from its last possible answer.
const (
	// A long poll may be in flight (1 s, 2 s without runs), and lastAnswerAt must be 700 ms old.
	modelGoneTime = 2*time.Second + deadTimeout + 700*time.Millisecond + 4*modelTick
	// A leader that has just got back to the store tells its load first, and learns then which runners are gone.
	modelReplacedTime = 4 * modelTick
	// The longest lease on a slow clock; a heartbeat in flight when it ends, the pause after it, one that is sent
	// after it; 700 ms of asking; two reviews.
	modelLapseTime = 10300*time.Millisecond + 2*deadTimeout + 500*time.Millisecond + 700*time.Millisecond + 4*modelTick
)

// checkGivenUp verifies that a leader that reaches the store does not go on counting runs on a runner that answers
// nothing: for modelReplacedTime once the inventory lists another one on its host and it has been dead for modelGoneTime,
// for modelLapseTime otherwise.
func (w *simulation) checkGivenUp() {
	for _, l := range w.leaders {
		for id, r := range w.runners {
			since, ok := l.deadSince[id]
			switch {
			case l.storeUnreachable || l.epoch != w.epoch || !w.isDead(l, id):
				delete(l.deadSince, id)
				continue
			case !ok:
				l.deadSince[id] = w.now
				continue
			}
			dead, bound := w.now.Sub(since), modelLapseTime
			if at, replaced := w.replacedAt[id]; replaced && w.now.Sub(r.startedAt) > modelGoneTime {
				dead, bound = min(dead, w.now.Sub(at)), modelReplacedTime
			}
			if runs := l.sched.RunsOn(id); runs > 0 && dead > bound {
				w.failf("leader %d counts %d runs on %s, which has been dead, or known to be replaced, for %v", l.epoch, runs, id, dead)
			}
		}
	}
}

// TestModelDead guards against tasks that are lost on a dead runner: orders in flight to it, each of which takes its
// whole timeout, must not keep a leader that stays from giving its runs up.
func TestModelDead(t *testing.T) {
	var sum sched.Stats
	gone := 0
	for i := range max(*modelSchedules/4, 1) {
		w := newSimulation(*modelSeed+uint64(i), false)
		w.isCalm = true
		w.play(t, *modelSeed+uint64(i), 2*scheduleTime)
		sum.Lapsed += w.leaders[0].sched.Stats().Lapsed
		gone += w.gone
	}
	if sum.Lapsed == 0 {
		t.Fatal("no run has lapsed")
	}
	if gone == 0 {
		t.Fatal("no run was given up because its host had another runner")
	}
}
