package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// loseUnseen crashes a runner other than one under each of several leaders in turn, before the leader can record it.
func (r *harness) loseUnseen(epoch, leaders int64, other glade.RunnerID) {
	for i := range leaders {
		for _, info := range r.infos {
			if info.ID != other && !r.runners[info.ID].unresponsive {
				r.crash(info.ID, glade.TaskID{})
				break
			}
		}
		r.reload(epoch + i)
		r.wait()
	}
}

// TestUnseenLossesOfOthers guards against a batch that is given up although its tasks crash nothing: losses of runners
// that no leader saw count for each batch that was submitted before, wherever its tasks were.
func TestUnseenLossesOfOthers(t *testing.T) {
	const batch = "a"
	crashTwice := func(r *harness) {
		for range 2 {
			r.wait()
			r.expectState(batch, glade.BatchRunning)
			r.crash(r.runnerOf(batch), glade.TaskID{})
			r.awaitCrash()
		}
		r.wait()
		r.expectState(batch, glade.BatchRunning)
	}
	t.Run("while its task runs elsewhere", func(t *testing.T) {
		r := newLateCrasher(t)
		r.wait()
		used := r.runnerOf(batch)
		r.loseUnseen(2, 3, used)
		r.c.Assert(r.runnerOf(batch), qt.Equals, used)
		crashTwice(r)
	})
	t.Run("before its step is ready", func(t *testing.T) {
		r := newHarness(qt.New(t), 8, twoCores)
		r.longPoll, r.answerEnds = time.Second, true
		r.advance(time.Second)
		r.submit(batch, batchOf(glade.Step{Count: 1, Need: core, Estimate: 60_000}, glade.Step{Count: 1, Need: core, Estimate: 60_000, After: []int{0}}))
		r.wait()
		used := r.runnerOf(batch)
		r.loseUnseen(2, 3, used)
		r.endAll(batch, 0, glade.EndDone)
		crashTwice(r)
	})
}
