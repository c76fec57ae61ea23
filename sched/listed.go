package sched

import (
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/effect"
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

// applyRunning updates the runs that a runner lists as active in its answer to a
// heartbeat that was sent at the given time, and adopts those that are not known.
func (s *Scheduler) applyRunning(r *runner, list []glade.ActiveRun, sent, now time.Time) {
	for _, active := range list {
		n := s.findRun(r, active.Task, active.Run)
		if n == nil {
			n = s.adopt(r, active, now)
		}
		if n == nil {
			continue
		}
		n.started = true
		n.start.Record(effect.Applied, now)
		if n.phase == starting || n.phase == unconfirmed {
			n.phase = running
			s.markStarted(n.step.occurrence.batch, now)
		}
		if n.phase == stopping && n.unconfirmed {
			s.keep(n, now)
		}
		if sent.Sub(n.doubtedAt) > s.longestStop(n) {
			n.doubtedAt = time.Time{}
		}
		if active.Percent != n.percent {
			n.percent, n.progressedAt = active.Percent, now
		}
		n.metric = active.Metric
		if active.Checkpoint != "" {
			n.checkpoint = active.Checkpoint
			n.task().checkpoint, n.step.checkpoint = active.Checkpoint, active.Checkpoint
		}
	}
}

// lateStop is how much later than it was sent a stop without an answer may still be carried out.
const lateStop = 4 * time.Second

// longestStop returns how long after doubtedAt a run that is still listed may be about to end. The
// runner has refused stops of an earlier leader since then, but not those of this one.
func (s *Scheduler) longestStop(n *run) time.Duration {
	longest := time.Duration(float64(s.config.StopTimeout)*clockDriftFactor) + leaseMargin
	if n.stop.State() == effect.Unknown {
		longest += lateStop
	}
	return longest
}

// keep goes on with a listed run that was to be stopped only because its start got no answer. A
// stop that may have been carried out can still end it.
func (s *Scheduler) keep(n *run, now time.Time) {
	if n.stop.State() == effect.Done || n.step.rule.Gang {
		return
	}
	n.phase, n.unconfirmed, n.progressedAt = running, false, now
	if n.absentAt.After(n.startedAt) {
		n.startedAt = n.absentAt // the start was carried out late
	}
	delete(s.stopping, n)
	if n.orderInFlight || n.stop.State() == effect.Unknown {
		n.doubtedAt = now
	}
	s.markStarted(n.step.occurrence.batch, now)
}

// noteAbsent records that a runner does not list a run, the start of which got no answer.
func (n *run) noteAbsent(now time.Time) {
	if (n.phase == unconfirmed || n.unconfirmed) && !n.orderInFlight {
		n.absentAt = now
	}
}

// absentTTL is how long a run counts as not started after its runner has not listed it. A
// long-running task is at work a short time after its start.
const absentTTL = 100 * time.Millisecond

// awaitsList reports whether a stop has to wait until the runner shows that the run has not
// started: a long-running task may be at work, although its start got no answer.
func (n *run) awaitsList(now time.Time) bool {
	return n.unconfirmed && n.step.rule.LongRunning && !n.step.rule.Gang && !n.isUnneeded() &&
		n.stop.State() != effect.Done && now.Sub(n.absentAt) > absentTTL
}

// MaySendStop reports whether a stop that has waited to be sent is still wanted. If it is not, it
// must not be sent.
func (s *Scheduler) MaySendStop(o Stop, now time.Time) bool {
	n := o.run
	if n.phase == stopping && n.runner.runs[n] && !n.awaitsList(now) && !s.cancelEvacuation(n, now) {
		return true
	}
	n.orderInFlight = false
	return false
}

// isUnneeded reports whether nobody needs the outcome of a run any more.
func (n *run) isUnneeded() bool { return n.step.occurrence.batch.state.IsFinal() || n.task().done }

// adopt takes over a run that an earlier leader started, or that this one has given up. A run that
// is not needed is stopped. adopt returns nil if the task is unknown.
func (s *Scheduler) adopt(r *runner, active glade.ActiveRun, now time.Time) *run {
	st, t := s.findTask(active.Task)
	if t == nil {
		s.addEvent("stray", "runner", r.info.ID, "batch", active.Task.Batch, "run", active.Run)
		return nil
	}
	n := &run{
		step: st, index: active.Task.Index, number: active.Run, runner: r, phase: running,
		startedAt: now, progressedAt: now, doubtedAt: now, speedPercent: fullSpeedPercent, leaseEnd: r.leaseEnd,
	}
	if len(t.runs) == 0 && !t.done {
		st.pending--
	}
	unwanted := t.done || len(t.runs) > 0 || st.occurrence.batch.state.IsFinal()
	if active.Run > s.runNumber(0) {
		s.addEvent("relisted", "runner", r.info.ID, "batch", active.Task.Batch, "step", active.Task.Step, "task", active.Task.Index,
			"run", active.Run, "born", r.incarnation, "beside", len(t.runs), "ofStep", r.runsOf(st), "unneeded", unwanted)
	}
	t.runs = append(t.runs, n)
	t.lastNumber = max(t.lastNumber, active.Run-(s.config.Epoch-1)*runsPerEpoch)
	s.attach(n)
	st.occurrence.batch.runs[n] = true
	st.occurrence.batch.started = true // startedAt stays unknown
	s.resumeTrial(n)
	if unwanted {
		s.markStopping(n, "unneeded", now)
	}
	return n
}
