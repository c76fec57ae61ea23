package sched_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestRejectedStop guards against a task that runs twice: its start got no answer, its runner
// rejects the stop, and the task starts elsewhere before the first start is carried out late.
func TestRejectedStop(t *testing.T) {
	newLost := func(t *testing.T) *harness {
		r := newHarness(qt.New(t), 3, twoCores)
		r.advance(time.Second)
		r.loseStarts, r.rejectStops = 1, true
		r.submit("a", oneTask(5000))
		r.advance(2 * time.Second)
		r.c.Assert(r.lostOrders, qt.HasLen, 1)
		return r
	}
	t.Run("starts the task nowhere else while the first start may be carried out", func(t *testing.T) {
		r := newLost(t)
		r.c.Assert(r.running("a"), qt.Equals, 0)
		r.carryOutLate()
		r.advance(500 * time.Millisecond)
		r.c.Assert(r.running("a"), qt.Equals, 1)
	})
	t.Run("starts it elsewhere when the lease of that start has ended", func(t *testing.T) {
		r := newLost(t)
		r.advance(3 * time.Second)
		r.carryOutLate()
		r.advance(100 * time.Millisecond)
		r.c.Assert(r.running("a"), qt.Equals, 1)
	})
	t.Run("starts it elsewhere once a stop was carried out", func(t *testing.T) {
		r := newLost(t)
		r.rejectStops = false
		r.advance(time.Second)
		r.c.Assert(r.running("a"), qt.Equals, 1)
	})
	t.Run("stops again until the run has ended", func(t *testing.T) {
		r := newLost(t)
		r.carryOutLate()
		r.sched.Cancel("a", r.now)
		r.advance(time.Second)
		r.c.Assert(r.running("a"), qt.Equals, 1)
		r.rejectStops = false
		r.advance(time.Second)
		r.c.Assert(r.running("a"), qt.Equals, 0)
		r.expectState("a", glade.BatchCancelled)
	})
}

// TestStopBeforeRestart guards against a task that runs twice: its start got no answer, its runner carries the stop out
// and restarts under its id, and the new incarnation, which knows of no stop, carries the start out late.
func TestStopBeforeRestart(t *testing.T) {
	r := newHarness(qt.New(t), 2, twoCores)
	r.advance(time.Second)
	r.loseStarts = 1
	r.submit("a", oneTask(5000))
	for len(r.orderLog) == 0 {
		r.advance(20 * time.Millisecond)
	}
	r.c.Assert(r.orderLog[0], qt.Contains, "stop a.0.0")
	r.rejectStops = true
	for _, f := range r.runners {
		f.incarnation++
	}
	r.advance(time.Second)
	r.c.Assert(r.running("a"), qt.Equals, 0)
	r.rejectStops = false
	r.advance(time.Second)
	r.c.Assert(r.running("a"), qt.Equals, 1)
}

// TestInheritedRunsBesideNewerLeader guards against a task that starts again after its end was acknowledged: a leader has not
// reached the runner of an inherited run, is cut off from the store, and a newer leader reaches that runner.
func TestInheritedRunsBesideNewerLeader(t *testing.T) {
	r := newHarness(qt.New(t), 2, twoCores)
	r.submit("a", oneTask(20_000))
	r.advance(time.Second)
	r.runners[r.runnerOf("a")].unresponsive = true
	r.reload(2)
	r.advance(5 * time.Second)
	r.storeDown = true
	r.advance(4 * time.Second)
	r.c.Assert(r.startOrders, qt.HasLen, 1)
	r.storeDown = false
	r.advance(500 * time.Millisecond)
	r.c.Assert(r.startOrders, qt.HasLen, 2)
}

// TestStopAnsweredAfterRestart guards against a task that runs twice: the answer of the earlier incarnation to a stop
// arrives when the next one is known, which may still carry the start out.
func TestStopAnsweredAfterRestart(t *testing.T) {
	r := newHarness(qt.New(t), 2, twoCores)
	r.advance(time.Second)
	r.loseStarts, r.delayStops = 1, true
	r.submit("a", oneTask(5000))
	for len(r.delayedStops) == 0 {
		r.advance(20 * time.Millisecond)
	}
	for _, f := range r.runners {
		f.incarnation++
	}
	r.advance(200 * time.Millisecond)
	r.rejectStops = true
	r.sched.Stopped(r.delayedStops[0], glade.RunAnswer{}, nil, r.now)
	r.advance(time.Second)
	r.c.Assert(r.running("a"), qt.Equals, 0)
	r.rejectStops, r.delayStops = false, false
	r.advance(time.Second)
	r.c.Assert(r.running("a"), qt.Equals, 1)
}

// TestRestartAfterGivenUpStart guards against a task that runs twice: a start without an answer is given up, its task
// starts elsewhere, and then the runner restarts under its id and may carry the start out late.
func TestRestartAfterGivenUpStart(t *testing.T) {
	restart := func(r *harness, id glade.RunnerID) {
		r.runners[id].incarnation++
		r.runners[id].startedAt, r.runners[id].running, r.runners[id].unresponsive = r.now, nil, false
		r.orderLog = nil
		r.advance(time.Second)
	}
	t.Run("after a stop", func(t *testing.T) {
		r := newHarness(qt.New(t), 2, twoCores)
		r.advance(time.Second)
		r.loseStarts = 1
		r.submit("a", oneTask(60000))
		r.advance(time.Second)
		r.c.Assert(r.running("a"), qt.Equals, 1)
		id := r.lostOrders[0].to
		restart(r, id)
		r.c.Assert(r.orderLog, qt.DeepEquals, []string{"stop a.0.0 on " + string(id)})
		r.c.Assert(r.running("a"), qt.Equals, 1)
	})
	t.Run("after its leases, while it was out of the list", func(t *testing.T) {
		r := newHarness(qt.New(t), 2, twoCores)
		r.advance(time.Second)
		r.loseStarts, r.rejectStops = 1, true
		r.submit("a", oneTask(60000))
		r.advance(100 * time.Millisecond)
		id := r.lostOrders[0].to
		r.runners[id].unresponsive, r.rejectStops = true, false
		listed := r.infos
		r.infos = slices.DeleteFunc(slices.Clone(listed), func(info glade.RunnerInfo) bool { return info.ID == id })
		r.sched.SetRunners(r.infos, r.now)
		r.advance(7 * time.Second)
		r.c.Assert(r.running("a"), qt.Equals, 1)
		r.sched.SetRunners(r.infos, r.now)
		r.sched.SetRunners(listed, r.now)
		restart(r, id)
		r.c.Assert(r.orderLog, qt.DeepEquals, []string{"stop a.0.0 on " + string(id)})
	})
	t.Run("long ago", func(t *testing.T) {
		r := newHarness(qt.New(t), 2, twoCores)
		r.advance(time.Second)
		r.loseStarts = 1
		r.submit("a", oneTask(60000))
		r.advance(16 * time.Second)
		restart(r, r.lostOrders[0].to)
		r.c.Assert(r.orderLog, qt.HasLen, 0)
	})
}

// TestRestartedRunnerOfAnotherKind guards against a task on a runner without the label that it asks for: the
// runner has restarted under its id as another kind, and the platform's list still has the earlier labels.
func TestRestartedRunnerOfAnotherKind(t *testing.T) {
	r := newHarness(qt.New(t), 1, twoCores)
	runner, info := r.runners["r0"], &r.infos[0]
	info.Labels, info.Born = []string{"gpu"}, runner.incarnation
	r.sched.SetRunners(r.infos, r.now)
	r.advance(time.Second)
	runner.incarnation++
	r.advance(time.Second)
	r.submit("any", oneTask(5000))
	r.submit("labelled", batchOf(glade.Step{Count: 1, Need: core, Estimate: 5000, Label: "gpu"}))
	r.advance(time.Second)
	r.c.Assert(r.running("any"), qt.Equals, 1)
	r.c.Assert(r.running("labelled"), qt.Equals, 0)
	info.Born = runner.incarnation
	r.sched.SetRunners(r.infos, r.now)
	r.advance(500 * time.Millisecond)
	r.c.Assert(r.running("labelled"), qt.Equals, 1)
}

// newHeldHeartbeats returns a harness of runners with the label "gpu" that hold a heartbeat for 2 s.
func newHeldHeartbeats(t *testing.T, runners int) *harness {
	r := newHarness(qt.New(t), runners, twoCores)
	for i := range r.infos {
		r.infos[i].Labels, r.infos[i].Born = []string{"gpu"}, 1
	}
	r.sched.SetRunners(r.infos, r.now)
	r.advance(time.Second)
	r.longPoll = 2 * time.Second
	r.advance(200 * time.Millisecond)
	r.orderTimeout = 500 * time.Millisecond
	return r
}

// restartSilently restarts a runner that leaves the heartbeat unanswered which it holds.
func (r *harness) restartSilently(id glade.RunnerID) {
	for i := range r.heartbeats {
		r.heartbeats[i].lost = r.heartbeats[i].lost || r.heartbeats[i].heartbeat.To.ID == id
	}
	r.runners[id].incarnation++
}

// TestSilentRestart guards against a task on a runner without the label that it asks for: the runner has restarted as
// another kind, and the heartbeat that it held as the earlier one has not failed yet.
func TestSilentRestart(t *testing.T) {
	expectNotStarted := func(name string, step glade.Step) {
		t.Run(name, func(t *testing.T) {
			r := newHeldHeartbeats(t, 1)
			r.restartSilently("r0")
			r.submit("labelled", batchOf(step))
			r.advance(time.Second)
			r.c.Assert(r.running("labelled"), qt.Equals, 0)
		})
	}
	expectNotStarted("a task", glade.Step{Count: 1, Need: core, Estimate: 5000, Label: "gpu"})
	expectNotStarted("a gang", glade.Step{Count: 2, Need: core, Estimate: 5000, Label: "gpu", Gang: true})
	expectNotStarted("a long-running task", glade.Step{Count: 1, Need: core, LongRunning: true, Label: "gpu"})
	other := map[glade.RunnerID]glade.RunnerID{"r0": "r1", "r1": "r0"}
	t.Run("a copy", func(t *testing.T) {
		r := newHeldHeartbeats(t, 2)
		r.submit("labelled", batchOf(glade.Step{Count: 1, Need: core, Estimate: 500, Label: "gpu", AllowsCopies: true}))
		r.advance(100 * time.Millisecond)
		r.restartSilently(other[r.runnerOf("labelled")])
		r.advance(1200 * time.Millisecond)
		r.c.Assert(r.running("labelled"), qt.Equals, 1)
	})
	t.Run("a trial", func(t *testing.T) {
		r := newHeldHeartbeats(t, 2)
		r.isCrashing = func(glade.TaskID) bool { return len(r.crashes) == 0 }
		r.submit("labelled", batchOf(glade.Step{Count: 1, Need: core, Estimate: 5000, Label: "gpu"}))
		r.advance(100 * time.Millisecond)
		crashed := r.crashes[0].runner
		r.infos = slices.DeleteFunc(r.infos, func(info glade.RunnerInfo) bool { return info.ID == crashed })
		r.sched.SetRunners(r.infos, r.now)
		r.advance(time.Second)
		r.restartSilently(other[crashed])
		r.sched.RunnersGone([]glade.RunnerID{crashed}, r.now, r.now)
		r.advance(500 * time.Millisecond)
		r.c.Assert(r.running("labelled"), qt.Equals, 0)
	})
}

// TestKindCheck guards against a task that asks for a label and waits for the end of a heartbeat that a runner holds, or
// for a runner that is silent, and against checks for tasks that ask for none.
func TestKindCheck(t *testing.T) {
	expectChecks := func(name string, label string, loseFirst bool, within time.Duration, checks int) {
		t.Run(name, func(t *testing.T) {
			r := newHeldHeartbeats(t, 2)
			r.lose = func() bool {
				lost := loseFirst
				loseFirst = false
				return lost
			}
			held := r.attempts + len(r.heartbeats)
			r.submit("a", batchOf(glade.Step{Count: 1, Need: core, Estimate: 5000, Label: label}))
			r.advance(within)
			r.c.Assert(r.running("a"), qt.Equals, 1)
			r.c.Assert(r.attempts+len(r.heartbeats)-held, qt.Equals, checks)
		})
	}
	expectChecks("of two runners", "gpu", false, 60*time.Millisecond, 2)
	expectChecks("beside a silent runner", "gpu", true, 160*time.Millisecond, 3) // one is renewed
	expectChecks("without a label", "", false, 40*time.Millisecond, 0)
}
