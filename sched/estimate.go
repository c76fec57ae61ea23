package sched

import (
	"time"

	glade "indigoglade"
)

// estimates corrects the run times that callers declare by those seen in each queue.
type estimates struct {
	queues map[glade.Queue]*workTotals
}

// workTotals are the work that the ended runs of a queue were declared to be and what
// they took, in millicores times milliseconds. Each run multiplies the totals of the
// earlier ones by 1-runWeight.
type workTotals struct{ declared, actual float64 }

const (
	runWeight = 0.01
	// assumedRuns is how many runs, as large as the first one and as declared, are
	// assumed before it: the first batches of a queue would decide alone otherwise.
	assumedRuns     = 10
	maxRunTimeRatio = 5 // a higher ratio of run time to estimate counts as this one
)

func (e *estimates) init() { e.queues = make(map[glade.Queue]*workTotals) }

// observe adds a run that is done. Runs that resumed from a checkpoint have done only a
// part of their work and are left out.
func (e *estimates) observe(n *run, now time.Time) {
	rule := n.step.rule
	if rule.Estimate <= 0 || rule.LongRunning || n.checkpoint != "" {
		return
	}
	queue := n.step.occurrence.batch.queue
	declared := float64(rule.Estimate) * float64(rule.Need.CPU)
	took := min(float64(now.Sub(n.startedAt).Milliseconds()), maxRunTimeRatio*float64(rule.Estimate))
	t, ok := e.queues[queue]
	if !ok {
		t = &workTotals{declared: assumedRuns * declared, actual: assumedRuns * declared}
		e.queues[queue] = t
	}
	t.declared += declared - runWeight*t.declared
	t.actual += took*float64(rule.Need.CPU) - runWeight*t.actual
}

// factor returns the ratio of actual to declared work in a queue. It is the ratio of the
// sums: the mean of the ratios of all runs would be too high by far, since a run time that
// was declared too short raises it more than one declared too long lowers it.
func (e *estimates) factor(queue glade.Queue) float64 {
	t, ok := e.queues[queue]
	if !ok || t.declared == 0 {
		return 1
	}
	return t.actual / t.declared
}
