package sched

import (
	"slices"
	"time"

	"indigoglade/times"
)

// Limits of speculative execution.
const (
	// speculationRatio is the ratio of a run's age to its corrected estimate from
	// which the task is slow.
	speculationRatio = 1.6
	// minSpeculationAge is the least age of a slow run: a shorter task ends before a
	// second run of it would.
	minSpeculationAge = 600 * time.Millisecond
)

// speculate starts second runs of slow tasks whose step allows it, in capacity
// that nothing else waits for. The first run to be done counts.
func (s *Scheduler) speculate(usable []*runner, now time.Time) []Start {
	if s.isBehind(now) {
		return nil
	}
	var starts []Start
	spare := -1
	for st := range s.ready {
		if !s.pace.isOpen() {
			break
		}
		if !st.rule.AllowsCopies || st.rule.Gang || st.rule.LongRunning || s.blocked[st.occurrence.batch.tenant] {
			continue
		}
		for i := range st.tasks {
			t := &st.tasks[i]
			if t.done || len(t.runs) != 1 || len(t.crashes) > 0 || t.runs[0].isYoung(now) || !s.isSlow(t.runs[0], now) || !s.mayStart(st, 1) {
				continue
			}
			if spare < 0 {
				spare = s.findSpareCapacity(now)
			}
			if spare < st.rule.Need.CPU {
				return starts
			}
			first := t.runs[0].runner
			known, _ := s.ofKnownKind(st, usable, now)
			others := slices.DeleteFunc(slices.Clone(known), func(r *runner) bool { return r == first })
			if r := s.chooseRunner(st, t, others, now); r != nil && s.copyPays(t.runs[0], r, now) {
				spare -= st.rule.Need.CPU
				s.addEvent("copy", "batch", st.occurrence.batch.id, "step", st.index, "task", i, "from", first.info.ID, "to", r.info.ID)
				starts = append(starts, s.startRun(st, i, t.lastNumber+1, r, now))
			}
		}
	}
	return starts
}

// isBehind reports whether this leader reads answers or sends starts late. A run that
// looks slow to it may have ended long ago, and a second one would come too late.
func (s *Scheduler) isBehind(now time.Time) bool {
	return s.pace.rate < s.pace.limit || now.Sub(s.delayedAt) <= punctualTime
}

// isSlow reports whether a run takes so long that a second one pays. With enough
// observations of its image or queue, what a second run saves and costs decides.
func (s *Scheduler) isSlow(n *run, now time.Time) bool {
	age := now.Sub(n.startedAt)
	if n.phase != running || age <= minSpeculationAge {
		return false
	}
	if s.ownTimes(n.step) != nil {
		return s.copyPays(n, nil, now)
	}
	estimate := time.Duration(float64(n.step.rule.Estimate)*s.estimates.factor(n.step.occurrence.batch.queue)) * time.Millisecond
	return age > time.Duration(speculationRatio*float64(estimate))
}

// ownTimes returns the distribution of the run times of a step's image or queue, nil if it
// is not known.
func (s *Scheduler) ownTimes(st *step) *times.Distribution {
	if st.rule.Estimate <= 0 {
		return nil
	}
	return s.times.Own(st.occurrence.batch.queue, st.rule.Image)
}

// copyPays reports whether a second run on a runner, or near the data if that is nil, is
// expected to save more time than it takes until one of both ends. A run of which too little
// is known counts as one for which it does.
func (s *Scheduler) copyPays(n *run, to *runner, now time.Time) bool {
	known := s.ownTimes(n.step)
	if known == nil {
		return true
	}
	declared := declaredTime(n.step.rule)
	first, again := time.Duration(float64(declared)*s.distanceFactor(n)), declared
	if to != nil {
		again = time.Duration(float64(declared) * s.distanceFactor(&run{step: n.step, runner: to}))
	}
	saved, spent := known.Second(first, now.Sub(n.startedAt), again)
	return saved > spent
}
