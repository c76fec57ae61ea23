package sched

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

func TestQuarantine(t *testing.T) {
	t.Run("does not end earlier when a shorter one is added", func(t *testing.T) {
		now := time.Unix(1_000_000, 0)
		r := &runner{}
		r.health.extendQuarantine(now.Add(maxQuarantine))
		r.backOff(now)
		r.health.extendQuarantine(now.Add(minQuarantine))
		qt.Assert(t, r.health.quarantinedUntil, qt.Equals, now.Add(maxQuarantine))
	})
	t.Run("is not shortened by a stuck run", func(t *testing.T) {
		now := time.Unix(1_000_000, 0)
		s := New(Config{Service: "s"}, now)
		b := newBatch("a", "q", glade.Batch{Steps: []glade.Step{{Count: 1, Estimate: 100}}}, now)
		r := s.runner("r")
		r.answerDue, r.lastAnswerAt = now.Add(time.Second), now
		r.health.extendQuarantine(now.Add(maxQuarantine))
		n := &run{step: b.occurrences[0].steps[0], runner: r, phase: running, progressedAt: now.Add(-time.Minute)}
		r.add(n)
		s.markUnwanted(r, now)
		qt.Assert(t, n.phase, qt.Equals, stopping)
		qt.Assert(t, r.health.quarantinedUntil, qt.Equals, now.Add(maxQuarantine))
	})
}
