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

// newClosedHarness returns a harness whose queue is closed, because a batch of it was
// refused, and that batch.
func newClosedHarness(t *testing.T) (*harness, glade.Batch) {
	t.Helper()
	r := newHarness(qt.New(t), 1, twoCores)
	r.sched.SetStartRate(1000)
	r.advance(time.Second)
	work := batchOf(glade.Step{Count: 4, Need: core, Estimate: 400})
	work.Spec = strings.Repeat("x", 1000)
	for i := range 5 {
		r.submit(glade.BatchID(fmt.Sprint("first", i)), work)
	}
	r.c.Assert(r.submit("refused", work).Accepted, qt.IsFalse)
	return r, work
}

// TestOffer guards against an overload in which each batch must be sent before it can be
// refused, and against an offer that is refused although its batch is known.
func TestOffer(t *testing.T) {
	expectUndecided := func(t *testing.T, r *harness, queue glade.Queue) {
		t.Helper()
		_, decided := r.sched.Offer("new", queue, r.now)
		qt.Assert(t, decided, qt.IsFalse)
	}
	t.Run("is refused while its queue is closed, with the time to come back", func(t *testing.T) {
		r, _ := newClosedHarness(t)
		admission, decided := r.sched.Offer("new", queue, r.now)
		qt.Assert(t, decided, qt.IsTrue)
		qt.Assert(t, admission, qt.Equals, sched.Admission{Reason: "link", After: admission.After})
		qt.Assert(t, admission.After > 0, qt.IsTrue)
	})
	t.Run("is accepted if the batch is known", func(t *testing.T) {
		r, _ := newClosedHarness(t)
		admission, decided := r.sched.Offer("first0", queue, r.now)
		qt.Assert(t, decided, qt.IsTrue)
		qt.Assert(t, admission.Accepted, qt.IsTrue)
	})
	t.Run("needs the batch when the queue is open again", func(t *testing.T) {
		r, _ := newClosedHarness(t)
		r.now = r.now.Add(time.Second)
		expectUndecided(t, r, queue)
	})
	t.Run("needs the batch if no batch of its queue was refused", func(t *testing.T) {
		r, _ := newClosedHarness(t)
		expectUndecided(t, r, "other")
	})
	t.Run("counts as offered load, once", func(t *testing.T) {
		r, work := newClosedHarness(t)
		r.sched.SetStartRate(1e6) // which bounds the load that is asked for
		before := r.sched.Demand(r.now).Offered
		r.sched.Offer("new", queue, r.now)
		once := r.sched.Demand(r.now).Offered
		qt.Assert(t, once > before, qt.IsTrue, qt.Commentf("%d, %d", before, once))
		r.sched.Offer("new", queue, r.now)
		r.submit("new", work)
		qt.Assert(t, r.sched.Demand(r.now).Offered, qt.Equals, once)
	})
}
