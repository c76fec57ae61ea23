package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestReturnOfRunnerThatCountedAsLost guards against a batch that is shown as failed, although none of its tasks crashes a
// runner: one that was only cut off through a takeover, and not listed meanwhile, counts as a loss that no leader saw.
func TestReturnOfRunnerThatCountedAsLost(t *testing.T) {
	r := newHarness(qt.New(t), 2, twoCores)
	r.submit("a", batchOf(glade.Step{Count: 4, Need: core, Estimate: 60_000}))
	r.advance(time.Second)
	both := r.infos
	r.runners["r1"].unresponsive = true
	r.infos = both[:1]
	r.reload(2)
	r.advance(10 * time.Second)
	r.sched.SetRunners(r.infos, r.now)
	r.advance(time.Second)
	r.c.Assert(r.registered.Runners, qt.DeepEquals, []glade.RunnerID{"r0"})
	r.runners["r1"].unresponsive = false
	r.infos = both
	r.sched.SetRunners(r.infos, r.now)
	r.advance(2 * time.Second)
	r.c.Assert(r.registered.Runners, qt.DeepEquals, []glade.RunnerID{"r0", "r1"})
	r.c.Assert(r.registered.Lost, qt.HasLen, 0)
}
