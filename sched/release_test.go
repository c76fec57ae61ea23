package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// A leader of a busy service ends some hundred batches a second, whose state callers
// may ask for during minutes.
func TestEndedBatch(t *testing.T) {
	t.Run("keeps its state without its tasks", func(t *testing.T) {
		now := time.Unix(1_000_000, 0)
		s := New(Config{Service: "s", Retention: time.Minute}, now)
		s.SetRules(glade.Rules{Queues: []glade.QueueRule{{Queue: "q", Service: "s"}}})
		write := func() { s.FinishWrite(s.BeginWrite(), true, now) }
		work := glade.Batch{Spec: "text", Steps: []glade.Step{{Count: 100}}}
		qt.Assert(t, s.Submit("a", "q", work, now).Accepted, qt.IsTrue)
		write()
		s.Cancel("a", now)
		write()
		s.Step(now.Add(time.Second))
		qt.Assert(t, s.batches["a"].occurrences, qt.HasLen, 1)
		s.Step(now.Add(taskRetention + time.Second))
		qt.Assert(t, s.batches["a"].occurrences, qt.HasLen, 0)
		state, known := s.State("a")
		qt.Assert(t, known, qt.IsTrue)
		qt.Assert(t, state, qt.Equals, glade.BatchCancelled)
		qt.Assert(t, s.Submit("a", "q", work, now).Accepted, qt.IsTrue)
	})
}
