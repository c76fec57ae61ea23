package sched_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/sched"
)

// TestHeldWorks guards against batches that no leader's memory holds: each fits into a row, and long-running ones are
// never refused for lack of capacity. Each process that takes the service over is killed in turn.
func TestHeldWorks(t *testing.T) {
	// heldBound is a share of the smallest host's memory, 184 MB, of which a host may lead five services.
	const heldBound = 24 << 20
	const size = 56_000
	r := newHarness(qt.New(t), 1, twoCores)
	r.advance(time.Second)
	next := 0
	submit := func(size int) (glade.BatchID, bool) {
		work := batchOf(glade.Step{Count: 1, Need: core, Estimate: 500, LongRunning: true, Image: strings.Repeat("i", size)})
		next++
		id := glade.BatchID(fmt.Sprint(next))
		admission := r.submit(id, work)
		if !admission.Accepted {
			r.c.Assert(admission.Reason, qt.Equals, "size")
			r.c.Assert(admission.After > 0, qt.IsTrue)
			e := r.sched.Explain(id, queue, work, r.now)
			r.c.Assert(e.Reason, qt.Equals, "size")
		}
		return id, admission.Accepted
	}
	var accepted []glade.BatchID
	for range 2 * heldBound / size {
		if id, ok := submit(size); ok {
			accepted = append(accepted, id)
		}
	}
	r.c.Assert(len(accepted)*size <= heldBound, qt.IsTrue, qt.Commentf("%d batches of %d bytes are held", len(accepted), size))
	r.c.Assert(len(accepted)*size > heldBound*9/10, qt.IsTrue, qt.Commentf("%d batches", len(accepted)))
	expectRoom := func(name string, want bool) {
		t.Run(name, func(t *testing.T) {
			id, ok := submit(size)
			qt.Assert(t, ok, qt.Equals, want)
			if ok { // as before
				qt.Assert(t, r.sched.Withdraw(id), qt.IsTrue)
			}
		})
	}
	expectRoom("is there for none", false)
	r.advance(2 * time.Second)
	r.reload(2)
	expectRoom("is there for none at the next leader", false)
	r.advance(2 * time.Second)
	r.sched.Cancel(accepted[0], r.now)
	r.advance(time.Second)
	expectRoom("is there for none while the tasks of an ended batch are kept", false)
	r.advance(20 * time.Second)
	expectRoom("is there once they are released", true)
	expectRoom("is there again after a withdrawal", true)
	for _, id := range accepted[1:] {
		r.sched.Cancel(id, r.now)
	}
	r.advance(90 * time.Second)
	t.Run("nothing is held", func(t *testing.T) { qt.Assert(t, r.sched.Stats().HeldBytes, qt.Equals, int64(0)) })
}

// TestHeldBatches guards against batches of one task whose works take little and that take a kilobyte each themselves.
func TestHeldBatches(t *testing.T) {
	const bound = 30_000 // half of what the tasks of a service may take, at 1.3 KB each
	r := newHarness(qt.New(t), 1, twoCores)
	r.advance(time.Second)
	accepted := 0
	for i := range 2 * bound {
		if r.submit(glade.BatchID(fmt.Sprint(i)), batchOf(glade.Step{Count: 1, Need: core, LongRunning: true})).Accepted {
			accepted++
		}
	}
	qt.Assert(t, accepted <= bound, qt.IsTrue, qt.Commentf("%d batches", accepted))
	qt.Assert(t, accepted > bound/2, qt.IsTrue, qt.Commentf("%d batches", accepted))
}

// TestHeldBytesSetting guards against a setting for the memory of accepted batches that has no effect.
func TestHeldBytesSetting(t *testing.T) {
	config := testConfig(1)
	config.MaxHeldBytes = 1 << 20
	now := time.Unix(1_000_000, 0)
	s := sched.New(config, now)
	s.SetRules(glade.Rules{Version: 1, Queues: []glade.QueueRule{{Queue: queue, Service: service}}})
	accepted := 0
	for i := range 2000 {
		batch := batchOf(glade.Step{Count: 1, Need: core, Estimate: 500, LongRunning: true})
		if s.Submit(glade.BatchID(fmt.Sprint(i)), queue, batch, now).Accepted {
			accepted++
		}
	}
	qt.Assert(t, accepted > 500 && accepted < 1024, qt.IsTrue, qt.Commentf("%d batches of 1 KB and more in 1 MB", accepted))
}

// TestCancelledIDs guards against callers who cancel IDs that no batch has: each is kept like an ended batch, and each
// leader of the service reads all of them.
func TestCancelledIDs(t *testing.T) {
	const ids, bound = 60_000, 30_000 // half of what the tasks of a service may take, at 0.9 KB each
	r := newHarness(qt.New(t), 1, twoCores)
	r.advance(time.Second)
	r.submit("a", oneTask(60_000))
	cancelled := 0
	for i := range ids {
		if id := glade.BatchID(fmt.Sprint(i)); r.sched.MayCancel(id) {
			r.sched.Cancel(id, r.now)
			cancelled++
		}
	}
	qt.Assert(t, cancelled <= bound, qt.IsTrue, qt.Commentf("%d IDs", cancelled))
	qt.Assert(t, cancelled > bound/2, qt.IsTrue, qt.Commentf("%d IDs", cancelled))
	t.Run("a batch that is known can be cancelled", func(t *testing.T) { qt.Assert(t, r.sched.MayCancel("a"), qt.IsTrue) })
	t.Run("one that is cancelled can be so again", func(t *testing.T) { qt.Assert(t, r.sched.MayCancel("0"), qt.IsTrue) })
	t.Run("batches are accepted", func(t *testing.T) {
		for i := range bound / 2 {
			qt.Assert(t, r.submit(glade.BatchID(fmt.Sprint("b", i)), batchOf(glade.Step{Count: 1, Need: core, LongRunning: true})).Accepted, qt.IsTrue)
		}
	})
}

// TestExplainOfManyTasks guards against an explanation that expands more tasks than a leader holds.
func TestExplainOfManyTasks(t *testing.T) {
	r := newHarness(qt.New(t), 1, twoCores)
	r.advance(time.Second)
	work := batchOf(glade.Step{Count: 1_000_000, Need: core, Estimate: 500})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	e := r.sched.Explain("a", queue, work, r.now)
	runtime.ReadMemStats(&after)
	qt.Assert(t, e.Accepted, qt.IsFalse)
	qt.Assert(t, e.Reason, qt.Equals, "size")
	qt.Assert(t, e.Steps, qt.HasLen, 0)
	bytes := after.TotalAlloc - before.TotalAlloc
	qt.Assert(t, bytes < 1<<20, qt.IsTrue, qt.Commentf("%d bytes", bytes))
}
