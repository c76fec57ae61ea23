package sched

import (
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// health tracks the recent failures of a runner.
type health struct {
	// consecutiveFailures counts failed runs without a success in between. Further
	// failures of the same batch in a row and those of long-running tasks are not
	// counted.
	consecutiveFailures int
	// lastFailed is the batch of the last failure that was counted.
	lastFailed glade.BatchID
	// quarantinedUntil is until when the runner gets no new work.
	quarantinedUntil time.Time
	// quarantines counts quarantines without a success in between, up to
	// maxQuarantineDoublings.
	quarantines int
}

// Limits of quarantine, which keeps new work off a runner on which tasks fail.
const (
	// quarantineFailures is the number of consecutive failures, of different
	// batches, that put a runner in quarantine: two can be due to batches that
	// always fail.
	quarantineFailures = 3
	minQuarantine      = 2 * time.Second
	maxQuarantine      = 16 * time.Second
	// unansweredBackoff keeps new work off a runner that refused a start, other than
	// for its ticket, or left one unanswered.
	unansweredBackoff = 500 * time.Millisecond
)

func wasNotCarriedOut(err error) bool { return errors.Is(err, glade.ErrNotExecuted) }

func (r *runner) backOff(now time.Time) { r.health.extendQuarantine(now.Add(unansweredBackoff)) }

// extendQuarantine keeps new work off the runner until a time at least.
func (h *health) extendQuarantine(until time.Time) {
	if until.After(h.quarantinedUntil) {
		h.quarantinedUntil = until
	}
}

// recordOutcome updates the health of a run's runner and, for a done run, the
// estimates of its queue.
func (s *Scheduler) recordOutcome(n *run, how glade.EndReason, now time.Time) {
	h := &n.runner.health
	switch how {
	case glade.EndDone:
		h.consecutiveFailures, h.quarantines = 0, 0
		s.estimates.observe(n, now)
		s.observeTime(n, now)
	case glade.EndFailed:
		if n.step.rule.LongRunning || h.lastFailed == n.step.occurrence.batch.id {
			return
		}
		h.lastFailed = n.step.occurrence.batch.id
		h.consecutiveFailures++
		if h.consecutiveFailures < quarantineFailures || s.manyQuarantined(now) {
			return
		}
		pause := min(minQuarantine<<h.quarantines, maxQuarantine)
		h.extendQuarantine(now.Add(pause))
		h.quarantines = min(h.quarantines+1, maxQuarantineDoublings)
		h.consecutiveFailures = quarantineFailures - 1 // the next failure is enough for another quarantine
		s.addEvent("sick", "runner", n.runner.info.ID, "pause", pause.Milliseconds())
	}
}

const maxQuarantineDoublings = 3

// manyQuarantined reports whether at least a third of the runners are kept off
// new work. The tasks are then the likely cause, not the runners.
func (s *Scheduler) manyQuarantined(now time.Time) bool {
	quarantined := 0
	for _, r := range s.runners {
		if now.Before(r.health.quarantinedUntil) {
			quarantined++
		}
	}
	return quarantined*3 >= len(s.runners)
}
