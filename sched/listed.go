package sched

import (
	"slices"

	glade "indigoglade"
)

// recordCompleteness records whether an answer listed all runs that have ended on a runner.
func (s *Scheduler) recordCompleteness(r *runner, listed int, first, incomplete bool) {
	if r.isIncomplete != incomplete {
		s.needsPlacement = true
		s.addEvent("ends", "runner", r.info.ID, "listed", listed, "incomplete", incomplete)
	}
	r.isIncomplete, r.hidesEnds = incomplete, incomplete && (first || r.hidesEnds)
}

// hidesAnyEnds reports whether an end that an earlier leader has not seen may be missing from
// the list of a runner. The ends stay there until those before them are acknowledged.
func (s *Scheduler) hidesAnyEnds() bool {
	return slices.ContainsFunc(s.ordered, func(r *runner) bool { return r.hidesEnds })
}

// isHeard reports whether a runner counts as capacity: any writer of the platform's list may
// leave an entry that names no runner. One that an earlier leader has used is a runner.
func (s *Scheduler) isHeard(r *runner) bool {
	return r.contacted || r.missed <= maxUnheard || s.registered[r.info.ID]
}

// lasting returns what long-running tasks reserve.
func (r *runner) lasting() glade.Need {
	var sum glade.Need
	for n := range r.runs {
		if n.step.rule.LongRunning {
			sum = sum.Plus(allocation(n.step.rule))
		}
	}
	return sum
}
