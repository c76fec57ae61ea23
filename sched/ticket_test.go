package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// advised is a queue whose steps need tickets of the advice service.
const advised glade.Queue = "advised"

// newAdvisedCrowd returns a crowd with a queue whose steps need tickets. The runners in approved get them.
func newAdvisedCrowd(t *testing.T, runners, cpu int, lifetime time.Duration, approved ...glade.RunnerID) *crowd {
	t.Helper()
	w := newCrowd(t, runners, cpu, lifetime)
	rule := glade.QueueRule{Queue: queue, Service: service, MaxFailures: 3, Stretch: 2, Slack: 500 * time.Millisecond}
	withAdvice := rule
	withAdvice.Queue, withAdvice.NeedsAdvice = advised, true
	w.sched.SetRules(glade.Rules{Version: 2, Queues: []glade.QueueRule{rule, withAdvice}})
	w.approved = make(map[glade.RunnerID]bool)
	for _, id := range approved {
		w.approved[id] = true
	}
	return w
}

// TestHopelessGangWithTickets guards against a gang that keeps runners for members that need tickets of the advice
// service, while too few runners have one.
func TestHopelessGangWithTickets(t *testing.T) {
	expectWait := func(w *crowd, count int) {
		w.c.Helper()
		w.sched.Submit("gang", advised, batchOf(lastingGang(count, 10_000)), w.now)
		w.play(2*time.Second, 10)
		w.expectRunning("gang", 0)
		w.expectFlow()
	}
	t.Run("no ticket for one runner", func(t *testing.T) {
		w := newAdvisedCrowd(t, 4, 7000, 200*time.Millisecond, "r1", "r2", "r3", "r4")
		expectWait(w, 4)
		w.addRunner("r4")
		w.play(6*time.Second, 10)
		w.expectRunning("gang", 4)
	})
	t.Run("no answer", func(t *testing.T) {
		w := newAdvisedCrowd(t, 4, 7000, 200*time.Millisecond, "r0", "r1", "r2", "r3")
		w.loseAdvice = true
		expectWait(w, 4)
		w.loseAdvice = false
		w.sched.AdviceFailed(w.lostAdvice[0], w.now)
		w.play(6*time.Second, 10)
		w.expectRunning("gang", 4)
	})
}

// TestTicketsInFullPool guards against lasting tasks that never start in a full pool: runners are reserved for them only
// with a ticket, and no ticket was asked for while short tasks were on the runner.
func TestTicketsInFullPool(t *testing.T) {
	expectStart := func(name string, step glade.Step) {
		t.Run(name, func(t *testing.T) {
			w := newAdvisedCrowd(t, 4, 4000, 400*time.Millisecond, "r0", "r1", "r2", "r3")
			w.play(2*time.Second, 50)
			w.sched.Submit("lasting", advised, batchOf(step), w.now)
			w.play(6*time.Second, 50)
			w.expectRunning("lasting", step.Count)
		})
	}
	expectStart("a task", glade.Step{Count: 1, Need: glade.Need{CPU: 14_000}, LongRunning: true})
	expectStart("tasks", glade.Step{Count: 4, Need: glade.Need{CPU: 14_000}, LongRunning: true})
	expectStart("a gang", lastingGang(4, 10_000))
}

// answerAdvice plays on while the advice service answers one request at a time, each after a delay. All runners get
// tickets that are valid for the given time.
func (w *crowd) answerAdvice(length, delay, valid time.Duration) {
	const step = 20 * time.Millisecond
	answerAt := w.now.Add(delay)
	for end := w.now.Add(length); w.now.Before(end); {
		w.play(step, 0)
		if len(w.lostAdvice) == 0 {
			answerAt = w.now.Add(delay)
			continue
		}
		if w.now.Before(answerAt) {
			continue
		}
		request := w.lostAdvice[0]
		w.lostAdvice, answerAt = w.lostAdvice[1:], w.now.Add(delay)
		tickets := make(map[glade.RunnerID]string)
		for _, id := range request.Runners {
			tickets[id] = "t"
		}
		w.sched.Advised(request, tickets, valid, w.now)
	}
}

// TestTicketsBesideHopelessGangs guards against gangs without room which ask for tickets again and again, as these
// expire, and leave no request to others.
func TestTicketsBesideHopelessGangs(t *testing.T) {
	w := newAdvisedCrowd(t, 40, 1000, 200*time.Millisecond)
	w.loseAdvice = true
	for _, id := range []glade.BatchID{"gang", "gang2", "gang3"} {
		w.sched.Submit(id, advised, batchOf(lastingGang(50, 10_000)), w.now)
	}
	const delay, valid = 300 * time.Millisecond, time.Second
	w.answerAdvice(3*time.Second, delay, valid)
	for i := range 10 {
		id := glade.BatchID(fmt.Sprintf("short%d", i))
		w.sched.Submit(id, advised, batchOf(glade.Step{Count: 1, Need: core, Estimate: 200}), w.now)
		w.answerAdvice(3*delay, delay, valid)
		w.c.Assert(w.done >= i, qt.IsTrue, qt.Commentf("%d of %d short batches are done", w.done, i+1))
	}
	w.sched.Submit("task", advised, batchOf(glade.Step{Count: 1, Need: core, LongRunning: true}), w.now)
	w.answerAdvice(6*time.Second, delay, valid)
	w.expectRunning("task", 1)
	w.expectRunning("gang", 0)
}
