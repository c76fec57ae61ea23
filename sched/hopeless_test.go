package sched_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// returnRunner brings a runner back under its id.
func (w *crowd) returnRunner(id glade.RunnerID) {
	w.runners[id].unresponsive = false
	w.runners[id].incarnation++
}

// expectOneRunEach checks that no task runs twice.
func (w *crowd) expectOneRunEach() {
	w.c.Helper()
	runs := make(map[glade.TaskID]int)
	for _, f := range w.runners {
		for _, active := range f.running {
			runs[active.Task]++
			w.c.Assert(runs[active.Task], qt.Equals, 1, qt.Commentf("%v", active.Task))
		}
	}
}

// TestHopelessGangAfterTakeover guards against a new leader that keeps runners for a gang without room, or doesn't keep
// them for one that has room once short tasks have ended.
func TestHopelessGangAfterTakeover(t *testing.T) {
	const runners = 8
	t.Run("without hope", func(t *testing.T) {
		w := newCrowd(t, runners, 7000, 200*time.Millisecond)
		w.submit("gang", batchOf(lastingGang(runners+1, 10_000)))
		w.play(time.Second, 10)
		for epoch := range int64(2) {
			w.resume(2 + epoch)
			w.play(time.Second, 10)
			w.expectRunning("gang", 0)
			w.expectFlow()
		}
		w.addRunner("r8")
		w.play(6*time.Second, 10)
		w.expectRunning("gang", runners+1)
	})
	t.Run("that has lost a runner", func(t *testing.T) {
		for _, after := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			w := newCrowd(t, runners+1, 100, 200*time.Millisecond)
			w.submit("gang", batchOf(lastingGang(runners+1, 10_000)))
			w.advance(500 * time.Millisecond)
			w.expectRunning("gang", runners+1)
			w.loseRunner("r0", 10)
			w.play(after, 10)
			w.resume(2)
			w.play(12*time.Second, 10) // a lost run counts as such once its lease is over
			w.expectRunning("gang", 0)
			w.expectFlow()
			w.returnRunner("r0")
			w.play(6*time.Second, 10)
			w.expectRunning("gang", runners+1)
			w.expectOneRunEach()
		}
	})
	t.Run("with hope", func(t *testing.T) {
		for _, after := range []time.Duration{0, 100 * time.Millisecond, time.Second} {
			w := newCrowd(t, 4, 4000, 400*time.Millisecond)
			w.play(2*time.Second, 50)
			w.submit("gang", batchOf(lastingGang(4, 10_000)))
			w.play(after, 50)
			w.advance(20 * time.Millisecond) // the batch is stored
			w.resume(2)
			w.play(6*time.Second, 50)
			w.expectRunning("gang", 4)
			w.expectOneRunEach()
		}
	})
}

// addRunner adds a runner.
func (w *crowd) addRunner(id glade.RunnerID) {
	w.infos = append(slices.Clone(w.infos), glade.RunnerInfo{ID: id, Address: "a", Service: service, Capacity: runnerSize, Rack: "9"})
	w.runners[id] = &fakeRunner{incarnation: 1, startedAt: w.now}
	w.sched.SetRunners(w.infos, w.now)
}

// TestHopelessGangBesideLostOrders guards against a gang that keeps runners because of orders to its members that have no
// answer, or are carried out late.
func TestHopelessGangBesideLostOrders(t *testing.T) {
	shape := func(name string, trouble func(w *crowd)) {
		t.Run(name, func(t *testing.T) {
			w := newCrowd(t, 9, 100, 200*time.Millisecond)
			w.submit("gang", batchOf(lastingGang(9, 10_000)))
			trouble(w)
			w.runners["r0"].unresponsive, w.runners["r0"].running = true, nil
			w.play(2*time.Second, 10)
			w.sched.RunnersGone([]glade.RunnerID{"r0"}, w.now, w.now)
			w.play(12*time.Second, 10) // leases of starts without an answer are over
			w.loseStops = false
			w.play(2*time.Second, 10)
			w.expectRunning("gang", 0)
			w.expectFlow()
			w.returnRunner("r0")
			w.play(8*time.Second, 10)
			w.expectRunning("gang", 9)
			w.expectOneRunEach()
		})
	}
	shape("starts that are lost", func(w *crowd) {
		w.loseStarts = 4
		w.play(500*time.Millisecond, 0)
		w.lostOrders = nil
	})
	shape("starts that are carried out late", func(w *crowd) {
		w.loseStarts = 4
		w.play(500*time.Millisecond, 0)
		w.carryOutLate()
		w.play(500*time.Millisecond, 0)
	})
	shape("answers to starts that are lost", func(w *crowd) {
		w.delayAnswers = true
		w.play(200*time.Millisecond, 0)
		w.delayAnswers = false
		for _, o := range w.delayed {
			w.sched.Started(o, glade.RunAnswer{}, errNoAnswer, w.now)
		}
	})
	shape("stops that are lost", func(w *crowd) {
		w.play(500*time.Millisecond, 0)
		w.loseStops = true
	})
	shape("stops whose answers are lost", func(w *crowd) {
		w.play(500*time.Millisecond, 0)
		w.delayStops = true
	})
}

// TestHopelessGangWhileStoreIsDown guards against a gang whose members can't start before the store is back, and which
// keeps runners from stored short tasks meanwhile.
func TestHopelessGangWhileStoreIsDown(t *testing.T) {
	w := newCrowd(t, 4, 7000, 200*time.Millisecond)
	w.submit("gang", batchOf(lastingGang(3, 10_000)))
	w.advance(500 * time.Millisecond)
	w.expectRunning("gang", 3)
	w.submit("short0", batchOf(glade.Step{Count: 2000, Need: glade.Need{CPU: 7000}, Estimate: 200}))
	w.batches++
	w.play(time.Second, 0)
	var on glade.RunnerID
	for id, f := range w.runners {
		if slices.ContainsFunc(f.running, func(a glade.ActiveRun) bool { return a.Task.Batch == "gang" }) {
			on = id
		}
	}
	w.storeDown = true
	w.loseRunner(on, 0)
	w.play(3*time.Second, 0)
	before := w.done
	w.play(2*time.Second, 0)
	// Three runners have room for two tasks of 0.2 s each.
	w.c.Assert(w.done-before >= 30, qt.IsTrue, qt.Commentf("%d tasks are done", w.done-before))
	w.expectRunning("gang", 0)
	w.storeDown = false
	w.play(6*time.Second, 0)
	w.expectRunning("gang", 3)
	w.expectOneRunEach()
}
