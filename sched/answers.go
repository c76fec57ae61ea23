package sched

import (
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/effect"
)

// maxStartWait is how long a start may wait until it is sent. The decision for it, and
// the lease that it carries, are then too old.
const maxStartWait = 400 * time.Millisecond

// MaySend reports whether a start that has waited to be sent is still wanted. If it is
// not, or its runner is too full for it by now, the start must not be sent: a run without an
// earlier attempt is dropped, and the task can be placed anew.
func (s *Scheduler) MaySend(o Start, now time.Time) bool {
	n := o.run
	if !n.runner.runs[n] {
		n.orderInFlight = false
		s.excludeStart(n)
		return false
	}
	// Its runner may have listed the run that was given up for this one.
	isAlone := len(n.task().runs) == 1 || n.step.rule.AllowsCopies
	if n.phase == starting && isAlone && !n.isUnneeded() && now.Sub(n.sendAt) <= maxStartWait {
		why := ""
		if n.start.State() == effect.None { // a repetition is for a run that may be there already
			why = n.whyOverfull()
		}
		if why == "" {
			return true
		}
		s.addEvent("overfull", "runner", n.runner.info.ID, "batch", n.step.occurrence.batch.id, "step", n.step.index, "task", n.index,
			"run", n.number, "used", n.runner.used.CPU, "room", n.runner.info.Capacity.CPU, "beside", n.runner.runsOf(n.step)-1, "why", why)
	}
	n.orderInFlight = false
	s.excludeStart(n)
	switch n.start.State() {
	case effect.None:
		s.removeRun(n, now)
	case effect.Unknown: // an earlier attempt may be carried out
		s.markUnconfirmed(n)
	case effect.Done: // the runner has listed the run since
	}
	return false
}

// Started processes the answer to a start. It returns false if the runner has
// seen a newer leader. The answer for a run that was given up meanwhile only shows
// whether the runner may have restarted. An attempt that was refused or not carried out
// ends a run only if no other attempt may have started it.
func (s *Scheduler) Started(o Start, answer glade.RunAnswer, err error, now time.Time) bool {
	n, refused := o.run, answer.Refused
	n.orderInFlight = false
	result, why := resultOf(answer, err), string(refused)
	if err != nil {
		why = err.Error()
	}
	if result == effect.Applied && n.repeats > 0 && n.incarnation != n.runner.incarnation {
		result, why = effect.Lost, "restarted" // an earlier attempt may still reach the present incarnation
	}
	listedAt, isListed := n.start.DoneAt()
	n.start.Record(result, now)
	if result == effect.Rejected {
		s.excludeStart(n)
	}
	s.checkRestart(n, answer, err, now)
	if !wasNotCarriedOut(err) {
		s.pace.observe(now.Sub(n.sendAt), now)
	}
	if !n.runner.runs[n] {
		return err != nil || refused != glade.RefusedFence
	}
	switch {
	case result == effect.Applied:
		if n.repeats > 0 && (!isListed || n.sendAt.Before(listedAt)) {
			n.startedAt = n.sendAt // a crash from now on may be due to it
		}
		s.confirmStart(n, now)
	case err != nil && !wasNotCarriedOut(err):
		s.addRunEvent("unanswered", n, "born", n.runner.incarnation, "used", n.runner.used.CPU, "room", n.runner.info.Capacity.CPU,
			"unknown", n.runner.unknownStarts(), "listed", isListed, "error", why)
		s.noteSilence(n.runner, now)
		if !isListed && !s.repeatStart(n, now) {
			s.markUnconfirmed(n)
		}
		s.touched[n.runner] = true
		if !n.runner.lastAnswerAt.After(n.startedAt) {
			n.runner.backOff(now)
		}
	case n.start.State() != effect.None:
		s.addRunEvent("unrepeated", n, "why", why, "listed", isListed)
		if err != nil {
			n.runner.backOff(now)
		}
		if !isListed && (err == nil || !s.repeatStart(n, now)) {
			s.markUnconfirmed(n)
		}
	case err != nil:
		s.addRunEvent("unstarted", n, "error", why)
		n.runner.backOff(now)
		s.removeRun(n, now)
	default:
		s.addRunEvent("refused", n, "why", why, "used", n.runner.used.CPU, "room", n.runner.info.Capacity.CPU)
		if refused == glade.RefusedTicket {
			delete(n.step.tickets, n.runner.info.ID)
		} else {
			n.runner.backOff(now)
		}
		s.removeRun(n, now)
	}
	return err != nil || refused != glade.RefusedFence
}

// excludeStart records that an attempt of a start was not sent or not carried out. If it was the only one, the run was
// never on its runner: a crash of the runner had another cause, and a later incarnation can't carry the start out.
func (s *Scheduler) excludeStart(n *run) {
	if n.repeats > 0 || n.start.State() == effect.Done {
		return
	}
	n.start.Exclude()
	n.runner.doubtful = slices.DeleteFunc(n.runner.doubtful, func(other *run) bool { return other == n })
	s.dropCrash(n.step, n.task(), n.number)
}

// confirmStart notes that a runner has accepted the start of a run.
func (s *Scheduler) confirmStart(n *run, now time.Time) {
	if n.phase == starting {
		n.phase = running
	}
	if n.repeats > 0 {
		s.stats.RepeatsAccepted++
	}
	n.started = true
	n.runner.noteAlive(n.startedAt)
	b := n.step.occurrence.batch
	if n.isUnneeded() {
		s.touched[n.runner] = true
	}
	s.stats.Started++
	if b.tenant != nil {
		b.tenant.stats.Started++
	}
	s.markStarted(b, now)
}

// resultOf returns the result of an order.
func resultOf(answer glade.RunAnswer, err error) effect.Result {
	switch {
	case err == nil && answer.Refused == glade.RunAccepted:
		return effect.Applied
	case err == nil || wasNotCarriedOut(err):
		return effect.Rejected
	}
	return effect.Lost
}

// clockSlackMillis allows for rounding of a runner's clock.
const clockSlackMillis = 20

// checkRestart notes that a runner may have restarted: a start got no answer, or
// the answer carries a clock that has gone back. The next heartbeat must then
// acknowledge no end reports, because a restarted runner numbers them anew. It takes leases on
// the earlier clock for the longest that it grants.
func (s *Scheduler) checkRestart(n *run, answer glade.RunAnswer, err error, now time.Time) {
	r := n.runner
	if err != nil {
		r.maybeRestarted, r.failedAt = true, now
		return
	}
	if answer.Clock > 0 && !n.startedAt.Before(r.clockAt) {
		least := float64(r.clock) + float64(n.startedAt.Sub(r.clockAt).Milliseconds())/clockDriftFactor - clockSlackMillis
		if float64(answer.Clock) < least {
			r.maybeRestarted, r.failedAt = true, now
			r.leaseEnd = max(r.leaseEnd, r.clockNow(now)+s.config.MaxLease.Milliseconds())
		}
	}
}

// Stopped processes the answer to a stop. It returns false if the runner has
// seen a newer leader. A runner that rejects a stop has done nothing: it may still
// carry out a start that got no answer.
func (s *Scheduler) Stopped(o Stop, answer glade.RunAnswer, err error, now time.Time) bool {
	n := o.run
	n.orderInFlight = false
	result, why := resultOf(answer, err), string(answer.Refused)
	if result == effect.Applied && o.incarnation != n.runner.incarnation {
		result, why = effect.Lost, "restarted" // the present incarnation may still start the run
	}
	n.stop.Record(result, now)
	if err == nil && answer.Refused == glade.RefusedFence {
		return false
	}
	if n.stop.State() == effect.Done && n.phase == running && n.runner.runs[n] { // kept while the stop was in flight
		s.markStopping(n, "stopped", now)
	}
	if n.stop.State() != effect.Done {
		if err != nil {
			why = err.Error()
		}
		s.addRunEvent("unstopped", n, "error", why)
	}
	return true
}
