package sched

import (
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// health tracks the recent failures of a runner.
type health struct {
	// consecutiveFailures counts failed runs without a success in between. Further
	// failures of the same batch in a row are not counted.
	failed int
	// lastFailed is the batch of the last failure that was counted.
	last glade.BatchID
	// quarantinedUntil is until when the runner gets no new work.
	sick time.Time
	// quarantines counts quarantines without a success in between, up to
	// maxQuarantineDoublings.
	trials int
}

// Limits of quarantine, which keeps new work off a runner on which tasks fail.
const (
	// quarantineFailures is the number of consecutive failures, of different
	// batches, that put a runner in quarantine: two can be due to batches that
	// always fail.
	sickFailures = 3
	firstSick    = 2 * time.Second
	maxSick      = 16 * time.Second
	// unansweredBackoff keeps new work off a runner that refused an order or left
	// one unanswered.
	unansweredPause = 500 * time.Millisecond
)

func isNotRun(err error) bool { return errors.Is(err, glade.ErrNotRun) }

func (r *runner) avoid(now time.Time) {
	if until := now.Add(unansweredPause); until.After(r.health.sick) {
		r.health.sick = until
	}
}

// recordOutcome updates the health of a run's runner and, for a done run, the
// estimates of its queue.
func (s *Sched) learn(n *run, how glade.RunHow, now time.Time) {
	h := &n.runner.health
	switch how {
	case glade.EndDone:
		h.failed, h.trials = 0, 0
		s.learnt.see(n, now)
	case glade.EndFailed:
		if n.step.rule.Lasting || h.last == n.step.round.batch.id {
			return
		}
		h.last = n.step.round.batch.id
		h.failed++
		if h.failed < sickFailures || s.mostSick(now) {
			return
		}
		pause := min(firstSick<<h.trials, maxSick)
		h.sick = now.Add(pause)
		h.trials = min(h.trials+1, maxTrials)
		h.failed = sickFailures - 1 // one more failure after the pause is enough
		s.event("sick", "runner", n.runner.info.ID, "pause", pause.Milliseconds())
	}
}

const maxTrials = 3

// manyQuarantined reports whether at least a third of the runners are kept off
// new work. The tasks are then the likely cause, not the runners.
func (s *Sched) mostSick(now time.Time) bool {
	sick := 0
	for _, r := range s.runners {
		if now.Before(r.health.sick) {
			sick++
		}
	}
	return sick*3 >= len(s.runners)
}

// estimates corrects the callers' estimates by the run times seen in each queue.
type learnt struct {
	factor map[glade.Queue]float64
}

func (l *learnt) init() { l.factor = make(map[glade.Queue]float64) }

const learnRate = 0.05 // weight of one run in the moving average

func (l *learnt) see(n *run, now time.Time) {
	if n.step.rule.Estimate <= 0 || n.step.rule.Lasting {
		return
	}
	queue := n.step.round.batch.queue
	ratio := float64(now.Sub(n.sent).Milliseconds()) / float64(n.step.rule.Estimate)
	ratio = min(ratio, maxRatio)
	l.factor[queue] = l.of(queue)*(1-learnRate) + ratio*learnRate
}

const maxRatio = 5 // bound on the ratio of run time to estimate of one run

func (l *learnt) of(queue glade.Queue) float64 {
	if f, ok := l.factor[queue]; ok {
		return f
	}
	return 1
}
