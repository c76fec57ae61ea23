package sched_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/sched"
)

// rowBytes is the largest value of a row that the store takes.
const rowBytes = 64 << 10

// TestProgressRowSize guards against a progress row that the store rejects, and with it all other
// writes of the service: the tasks of a large batch save checkpoints, and fail.
func TestProgressRowSize(t *testing.T) {
	r := newHarness(qt.New(t), 40, glade.Need{CPU: 100000, Memory: 100000})
	r.advance(time.Second)
	r.submit("a", batchOf(glade.Step{Count: 4000, Need: core, Estimate: 60000, SavesCheckpoints: true}))
	r.advance(3 * time.Second)
	r.c.Assert(r.running("a"), qt.Equals, 4000)
	for _, f := range r.runners {
		for i := range f.running {
			f.running[i].Checkpoint = "00000bb87a21d94b" + strings.Repeat("x", 48)
		}
		for i, active := range append([]glade.ActiveRun(nil), f.running...) {
			if i%2 == 0 {
				f.end(active.Task, active.Run, glade.EndFailed)
			}
		}
	}
	r.advance(2 * time.Second)
	row := sched.Encode(r.progressRows["a"])
	r.c.Assert(len(row) <= rowBytes, qt.IsTrue, qt.Commentf("%d bytes", len(row)))
	r.c.Assert(len(row) > rowBytes/4, qt.IsTrue, qt.Commentf("%d bytes", len(row)))
	r.reload(2)
	r.advance(2 * time.Second)
	r.expectState("a", glade.BatchRunning)
}

// endSome ends the runs for which how returns a reason.
func (f *fakeRunner) endSome(how func(i int, active glade.ActiveRun) glade.EndReason) {
	var left []glade.ActiveRun
	for i, active := range f.running {
		reason := how(i, active)
		if reason == "" {
			left = append(left, active)
			continue
		}
		f.endCount++
		f.unackedEnds = append(f.unackedEnds, glade.EndedRun{Seq: f.endCount, Task: active.Task, Run: active.Run, Reason: reason})
	}
	f.running = left
}

// expectRowFits plays a batch until all of its tasks run, ends them all but the last step's, and checks
// the size of its progress row and that no task that is done starts again under the next leader.
func expectRowFits(t *testing.T, name string, work glade.Batch) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		r := newHarness(qt.New(t), 4, glade.Need{CPU: 100_000_000, Memory: 100_000_000})
		r.advance(time.Second)
		work.FirstDue, work.Interval = r.now.Add(-time.Hour).UnixMilli(), 1
		r.submit("a", work)
		r.advance(2 * time.Second)
		r.c.Assert(r.running("a"), qt.Equals, sched.Summarize(work).Tasks)
		done := make(map[glade.TaskID]bool)
		for _, f := range r.runners {
			f.endSome(func(_ int, active glade.ActiveRun) glade.EndReason {
				if active.Task.Step == len(work.Steps)-1 {
					return glade.EndFailed
				}
				done[active.Task] = true
				return glade.EndDone
			})
		}
		r.advance(2 * time.Second)
		for _, f := range r.runners {
			for i := range f.running {
				f.running[i].Checkpoint = "00000bb87a21d94b" + strings.Repeat("x", 48)
			}
		}
		r.advance(2 * time.Second)
		row := sched.Encode(r.progressRows["a"])
		r.c.Assert(len(row) <= rowBytes, qt.IsTrue, qt.Commentf("%d bytes", len(row)))
		r.startOrders = nil
		r.reload(2)
		r.advance(2 * time.Second)
		r.expectState("a", glade.BatchRunning)
		for _, order := range r.startOrders {
			r.c.Assert(done[order.Task], qt.IsFalse, qt.Commentf("%v starts again", order.Task))
		}
	})
}

// TestProgressRowSizeOfOccurrences guards against a progress row that the store rejects: it grows with
// the steps of all occurrences that are under way.
func TestProgressRowSizeOfOccurrences(t *testing.T) {
	steps := func(times, steps, count int) glade.Batch {
		work := glade.Batch{Spec: "x", Times: times}
		for range steps {
			work.Steps = append(work.Steps, glade.Step{Count: count, Need: core, Estimate: 60_000, SavesCheckpoints: true})
		}
		return work
	}
	expectRowFits(t, "many steps", steps(250, 64, 1))
	expectRowFits(t, "many occurrences", steps(1024, 16, 1))
	expectRowFits(t, "steps of several tasks", steps(1024, 2, 8))
	expectRowFits(t, "few occurrences", steps(2, 3, 4))
	expectRowFits(t, "many tasks", steps(4, 2, 2048))
}

// TestLiveTasks guards against batches that no leader's memory holds: each process that takes the
// service over is killed in turn.
func TestLiveTasks(t *testing.T) {
	const times = 365
	yearly := func(r *harness) glade.Batch {
		work := batchOf(glade.Step{Count: 24, Need: core, Estimate: 500})
		work.Times, work.FirstDue, work.Interval = times, r.now.Add(time.Hour).UnixMilli(), int64(24*time.Hour/time.Millisecond)
		return work
	}
	r := newHarness(qt.New(t), 1, twoCores)
	r.advance(time.Second)
	accepted := 0
	for i := range 100 {
		admission := r.submit(glade.BatchID(fmt.Sprint(i)), yearly(r))
		if !admission.Accepted {
			r.c.Assert(admission.Reason, qt.Equals, "size")
			r.c.Assert(admission.After > 0, qt.IsTrue)
			continue
		}
		accepted++
	}
	r.c.Assert(accepted, qt.Equals, 100_000/(24*times))
	r.advance(time.Second)
	expectFull := func(want bool) {
		r.c.Helper()
		r.c.Assert(r.submit(glade.BatchID(r.now.String()), yearly(r)).Accepted, qt.Equals, !want)
		r.c.Assert(r.submit("small"+glade.BatchID(r.now.String()), oneTask(500)).Accepted, qt.IsTrue)
	}
	expectFull(true)
	r.advance(time.Second)
	r.reload(2)
	expectFull(true)
	r.sched.Cancel("0", r.now)
	r.advance(time.Second)
	expectFull(false)
}
