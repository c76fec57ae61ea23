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

// newBusyLinkHarness returns a harness whose leader refuses further batches like the returned
// one, because its link can't carry their starts in time.
func newBusyLinkHarness(t *testing.T) (*harness, glade.Batch) {
	t.Helper()
	r := newHarness(qt.New(t), 1, twoCores)
	r.sched.SetStartRate(1000)
	r.advance(time.Second)
	work := batchOf(glade.Step{Count: 4, Need: core, Estimate: 400})
	work.Spec = strings.Repeat("x", 1000)
	for i := range 5 {
		r.submit(glade.BatchID(fmt.Sprint("first", i)), work)
	}
	return r, work
}

// TestOffer guards against an overload in which each batch must be sent before it can be
// refused, and against an offer that is refused although its batch is known or has room.
func TestOffer(t *testing.T) {
	t.Run("is refused like its batch, with the time to come back", func(t *testing.T) {
		r, work := newBusyLinkHarness(t)
		admission, decided := r.sched.Offer("new", queue, sched.Summarize(work), r.now)
		qt.Assert(t, decided, qt.IsTrue)
		qt.Assert(t, admission.Reason, qt.Equals, "link")
		qt.Assert(t, admission.After > 0, qt.IsTrue)
		qt.Assert(t, r.submit("new", work), qt.Equals, admission)
	})
	t.Run("is accepted if the batch is known", func(t *testing.T) {
		r, work := newBusyLinkHarness(t)
		admission, decided := r.sched.Offer("first0", queue, sched.Summarize(work), r.now)
		qt.Assert(t, decided, qt.IsTrue)
		qt.Assert(t, admission.Accepted, qt.IsTrue)
	})
	expectSent := func(name string, work glade.Batch) {
		t.Run(name, func(t *testing.T) {
			r, _ := newBusyLinkHarness(t)
			_, decided := r.sched.Offer("new", queue, sched.Summarize(work), r.now)
			qt.Assert(t, decided, qt.IsFalse)
			qt.Assert(t, r.submit("new", work).Accepted, qt.IsTrue)
		})
	}
	expectSent("asks for a batch that has more time", batchOf(glade.Step{Count: 1, Need: core, Estimate: 60_000}))
	expectSent("asks for a long-running batch", batchOf(glade.Step{Count: 1, Need: core, LongRunning: true}))
	t.Run("keeps the room of a batch that was asked for, for a time", func(t *testing.T) {
		r := newHarness(qt.New(t), 1, twoCores)
		r.sched.SetStartRate(10_000)
		r.advance(time.Second)
		work := batchOf(glade.Step{Count: 4, Need: core, Estimate: 400})
		work.Spec = strings.Repeat("x", 1000)
		asked := 0
		for i := range 20 {
			if _, decided := r.sched.Offer(glade.BatchID(fmt.Sprint(i)), queue, sched.Summarize(work), r.now); !decided {
				asked++
			}
		}
		qt.Assert(t, asked > 0 && asked < 20, qt.IsTrue, qt.Commentf("%d of 20", asked))
		for i := range 20 {
			qt.Assert(t, r.submit(glade.BatchID(fmt.Sprint(i)), work).Accepted, qt.Equals, i < asked)
		}
		r.sched.Cancel("0", r.now)
		r.now = r.now.Add(time.Second)
		r.sched.Offer("late", queue, sched.Summarize(work), r.now)
		r.now = r.now.Add(600 * time.Millisecond)
		for i := range 20 {
			r.submit(glade.BatchID(fmt.Sprint("other", i)), work)
		}
		qt.Assert(t, r.submit("late", work).Accepted, qt.IsFalse)
	})
	t.Run("counts as offered load, once", func(t *testing.T) {
		r, work := newBusyLinkHarness(t)
		offered := func() int {
			r.sched.SetStartRate(1e6) // the load that is asked for is bounded by the rate
			defer r.sched.SetStartRate(1000)
			return r.sched.Demand(r.now).Offered
		}
		before := offered()
		r.sched.Offer("new", queue, sched.Summarize(work), r.now)
		once := offered()
		qt.Assert(t, once > before, qt.IsTrue, qt.Commentf("%d, %d", before, once))
		r.sched.Offer("new", queue, sched.Summarize(work), r.now)
		r.submit("new", work)
		qt.Assert(t, offered(), qt.Equals, once)
	})
}

// TestSummarize compares the summary of a batch with what the batch declares.
func TestSummarize(t *testing.T) {
	work := batchOf(
		glade.Step{Count: 2, Need: core, Estimate: 400},
		glade.Step{Count: 1, Need: core, Estimate: 300, After: []int{0}},
		glade.Step{Count: 1, Need: core, Estimate: 600},
	)
	work.Spec = "abc"
	summary := sched.Summarize(work)
	qt.Assert(t, summary.ChainMs, qt.Equals, 700.0)
	qt.Assert(t, summary.Work, qt.Equals, float64(core.CPU*(2*400+300+600)))
	qt.Assert(t, summary.StartBytes > 4*float64(len(work.Spec)), qt.IsTrue)
	qt.Assert(t, summary.HasNoObjective, qt.IsFalse)
}
