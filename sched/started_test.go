package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestStartedUnderEarlierLeader guards against a batch that counts as waiting, and is shown as queued, for as long
// as it runs: an earlier leader started it and stored nothing about it since then.
func TestStartedUnderEarlierLeader(t *testing.T) {
	expectStarted := func(name string, step glade.Step) {
		t.Run(name, func(t *testing.T) {
			r := newHarness(qt.New(t), 2, twoCores)
			r.advance(time.Second)
			r.submit("a", batchOf(step))
			r.submit("waits", batchOf(glade.Step{Count: 1, Need: glade.Need{CPU: 100_000}, Estimate: 500}))
			r.advance(500 * time.Millisecond)
			r.expectRunning("a", step.Count)
			clear(r.progressRows)
			r.reload(2)
			r.advance(2 * time.Second)
			r.expectRunning("a", step.Count)
			r.expectState("a", glade.BatchRunning)
			r.c.Assert(r.sched.Waiting(queue, ""), qt.Equals, 1)
		})
	}
	expectStarted("a task that lasts", glade.Step{Count: 1, Need: core, LongRunning: true})
	expectStarted("a task that ends", glade.Step{Count: 1, Need: core, Estimate: 30_000})
	expectStarted("a gang", glade.Step{Count: 2, Need: core, Estimate: 30_000, Gang: true})
}
