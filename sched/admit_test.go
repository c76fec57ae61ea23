package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// fill submits work that keeps the pool busy for a number of seconds.
func (r *harness) fill(seconds int) {
	capacity := 0
	for _, info := range r.infos {
		capacity += info.Capacity.CPU
	}
	for range seconds * capacity / 1000 {
		r.filled++
		r.submit(glade.BatchID(fmt.Sprintf("fill%d", r.filled)), oneTask(1000))
	}
}

// newFullHarness returns a harness whose pool has a backlog up to the limit of
// admission.
func newFullHarness(t *testing.T) *harness {
	t.Helper()
	r := newHarness(qt.New(t), 2, twoCores)
	r.advance(time.Second)
	r.fill(20)
	return r
}

func TestAdmit(t *testing.T) {
	short := oneTask(100)
	t.Run("refuses a batch that can't be served in time, with a retry time", func(t *testing.T) {
		r := newFullHarness(t)
		v := r.submit("late", oneTask(1000))
		r.c.Assert(v.Accepted, qt.IsFalse)
		r.c.Assert(v.Reason, qt.Equals, "load")
		r.c.Assert(v.After >= time.Second && v.After <= 20*time.Second, qt.IsTrue)
		r.advance(time.Second)
		r.c.Assert(r.running("late"), qt.Equals, 0)
		_, known := r.sched.State("late")
		r.c.Assert(known, qt.IsFalse)
	})
	t.Run("accepts a refused batch that is submitted again when there is room", func(t *testing.T) {
		r := newFullHarness(t)
		v := r.submit("again", oneTask(1000))
		r.c.Assert(v.Accepted, qt.IsFalse)
		for range int(v.After/time.Second) + 1 {
			r.advance(time.Second)
			for i := range 400 {
				r.endAll(glade.BatchID(fmt.Sprintf("fill%d", i)), 0, glade.EndDone)
			}
		}
		r.c.Assert(r.submit("again", oneTask(1000)).Accepted, qt.IsTrue)
	})
	t.Run("counts what other pools can lend", func(t *testing.T) {
		r := newFullHarness(t)
		r.c.Assert(r.submit("b", oneTask(1000)).Accepted, qt.IsFalse)
		r.sched.Lendable(40_000, r.now)
		r.c.Assert(r.submit("c", oneTask(1000)).Accepted, qt.IsTrue)
	})
	t.Run("accepts a batch that goes before a backlog with more slack", func(t *testing.T) {
		r := newHarness(qt.New(t), 2, twoCores)
		r.advance(time.Second)
		for i := range 12 {
			r.submit(glade.BatchID(fmt.Sprint(i)), batchOf(glade.Step{Count: 4, Need: core, Estimate: 4000}))
		}
		r.c.Assert(r.submit("short", short).Accepted, qt.IsTrue)
	})
}

func TestOrder(t *testing.T) {
	t.Run("a batch that can meet its objective goes before a late one", func(t *testing.T) {
		r := newIdleHarness(t)
		r.submit("busy", batchOf(glade.Step{Count: 2, Need: core, Estimate: 4000}))
		r.advance(100 * time.Millisecond)
		r.submit("late", batchOf(glade.Step{Count: 2, Need: core, Estimate: 300}))
		r.advance(2 * time.Second)
		r.submit("fresh", batchOf(glade.Step{Count: 2, Need: core, Estimate: 1000}))
		r.advance(40 * time.Millisecond)
		r.endAll("busy", 0, glade.EndDone)
		r.advance(200 * time.Millisecond)
		r.c.Assert(r.running("fresh"), qt.Equals, 2)
		r.c.Assert(r.running("late"), qt.Equals, 0)
	})
	t.Run("a fifth of the capacity is for late batches that must start now to earn anything", func(t *testing.T) {
		r := newHarness(qt.New(t), 5, twoCores)
		r.advance(time.Second)
		r.submit("busy", batchOf(glade.Step{Count: 10, Need: core, Estimate: 6000}))
		r.advance(100 * time.Millisecond)
		for i := range 6 {
			// The objective is 1.1 s; the batch earns nothing after 3.3 s.
			r.submit(glade.BatchID(fmt.Sprint("late", i)), oneTask(300))
		}
		r.advance(2500 * time.Millisecond)
		r.submit("fresh", batchOf(glade.Step{Count: 20, Need: core, Estimate: 1000}))
		r.advance(40 * time.Millisecond)
		r.endAll("busy", 0, glade.EndDone)
		r.advance(200 * time.Millisecond)
		late := 0
		for i := range 6 {
			late += r.running(glade.BatchID(fmt.Sprint("late", i)))
		}
		r.c.Assert(late, qt.Equals, 2)
		r.c.Assert(r.running("fresh"), qt.Equals, 8)
	})
}

func TestLoad(t *testing.T) {
	// Hosts on which no task can be started stay idle in the pool, and others lack them.
	t.Run("offered work is bounded by what the leader can start", func(t *testing.T) {
		r := newHarness(qt.New(t), 4, twoCores)
		r.sched.SetStartRate(10_000)
		r.advance(time.Second)
		for i := range 200 {
			r.submit(glade.BatchID(fmt.Sprint(i)), batchOf(glade.Step{Count: 4, Need: core, Estimate: 400}))
			r.advance(20 * time.Millisecond)
		}
		// 25 starts of 400 bytes and a little a second, 0.4 s on one core each.
		offered := r.sched.Demand(r.now).Offered
		r.c.Assert(offered > 0 && offered <= 25*400, qt.IsTrue, qt.Commentf("%d millicores", offered))
	})
	expectLoad := func(name string, late bool) {
		t.Run(name, func(t *testing.T) {
			r := newHarness(qt.New(t), 1, twoCores)
			r.advance(time.Second)
			r.submit("a", batchOf(glade.Step{Count: 5, Need: core, Estimate: 300}))
			r.advance(100 * time.Millisecond)
			if late {
				r.advance(2 * time.Second)
			}
			r.endAll("a", 0, glade.EndDone) // two tasks
			r.advance(100 * time.Millisecond)
			load := r.sched.Demand(r.now)
			r.c.Assert(load.Demand+load.Late, qt.Equals, 3*core.CPU)
			if late {
				// Two tasks run; the third waits and can't meet its objective.
				r.c.Assert(load.Late, qt.Equals, core.CPU)
			}
		})
	}
	expectLoad("done tasks add nothing to the load", false)
	expectLoad("done tasks add nothing to the load when the others are late", true)
	t.Run("a large batch that can wait raises the offered load little", func(t *testing.T) {
		r := newHarness(qt.New(t), 4, twoCores)
		r.advance(time.Second)
		// One core on average: 8 s of work every 8 s, with an objective of 8.5 s.
		most := 0
		for i := range 4 {
			r.submit(glade.BatchID(fmt.Sprint(i)), batchOf(glade.Step{Count: 2, Need: core, Estimate: 4000}))
			for range 40 {
				r.advance(200 * time.Millisecond)
				r.endAll(glade.BatchID(fmt.Sprint(i)), 0, glade.EndDone)
				most = max(most, r.sched.Demand(r.now).Offered)
			}
		}
		// Each batch runs on two cores at most.
		r.c.Assert(most <= 5*core.CPU, qt.IsTrue, qt.Commentf("%d", most))
	})
	t.Run("a rejected batch is counted once", func(t *testing.T) {
		r := newHarness(qt.New(t), 4, twoCores)
		r.advance(time.Second)
		work := batchOf(glade.Step{Count: 2, Need: core, Estimate: 400})
		r.sched.RecordRefused("a", queue, work, r.now)
		offered := r.sched.Demand(r.now).Offered
		r.c.Assert(offered > 0, qt.IsTrue)
		r.sched.RecordRefused("a", queue, work, r.now)
		r.submit("a", work)
		r.c.Assert(r.sched.Demand(r.now).Offered, qt.Equals, offered)
	})
	t.Run("a rise of short work is seen at once", func(t *testing.T) {
		r := newHarness(qt.New(t), 4, twoCores)
		r.advance(time.Second)
		// Five cores on average: 0.1 s of work every 20 ms.
		for i := range 35 {
			r.submit(glade.BatchID(fmt.Sprint(i)), oneTask(100))
			r.advance(20 * time.Millisecond)
		}
		r.c.Assert(r.sched.Demand(r.now).Offered > 3*core.CPU, qt.IsTrue)
	})
}
