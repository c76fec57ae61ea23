package sched

import (
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/effect"
)

// goneAfter is how long a runner must have been unresponsive before the inventory
// was read: the inventory lags.
const goneAfter = 700 * time.Millisecond

// RunnersGone reports that the hosts of runners had other runners when the inventory
// was read, at asOf, so that these runners have ended. It gives up the runs of those that
// were unresponsive by then and deregisters them, whatever is left of their leases.
func (s *Scheduler) RunnersGone(ids []glade.RunnerID, asOf, now time.Time) {
	for _, id := range ids {
		r, ok := s.runners[id]
		if !ok || (r.contacted && (r.missed == 0 || asOf.Sub(r.lastAnswerAt) < goneAfter)) {
			continue
		}
		if !r.contacted && asOf.Sub(s.leaderSince) < goneAfter {
			continue
		}
		s.recordCrash(r, "gone", true, now)
		for n := range r.runs {
			// A newer leader may have seen the end of the run before the runner was gone.
			n.task().lostAt = now
		}
		unknown := r.unknownStarts()
		dropped, inFlight := s.giveUpRuns(r, now)
		s.giveUpEnds(r)
		if len(dropped) > 0 || s.mayHaveUnknownRuns(id, now) {
			s.addEvent("gone", "runner", id, "runs", len(dropped), "inFlight", inFlight, "unknown", unknown, "born", r.incarnation,
				"heard", sinceMillis(now, r.lastAnswerAt), "lease", s.leaseLeft(r, now), "list", sinceMillis(now, asOf))
			s.noteGivenUp(r, "gone", dropped, now)
			s.needsPlacement = true
		}
		s.deregister(id)
	}
}

// downTTL is how long a report counts that the host of a runner is not up. The fleet leader repeats it.
const downTTL = 2 * time.Second

// RunnersDown reports that the platform believes that runners are down. That does not end their leases: it only tells a
// crash from a connection that is cut, once the leases are over.
func (s *Scheduler) RunnersDown(ids []glade.RunnerID, now time.Time) {
	for _, id := range ids {
		if r, ok := s.runners[id]; ok {
			r.downAt = now
		}
	}
}

// giveUpMissing gives up the runs that the runner should list and does not. While ends are missing
// from its list, a run that is not listed may have ended as done.
func (s *Scheduler) giveUpMissing(r *runner, sent time.Time, answer glade.HeartbeatAnswer, now time.Time) {
	listed := make(map[*run]bool, len(answer.Running))
	for _, active := range answer.Running {
		if n := s.findRun(r, active.Task, active.Run); n != nil {
			listed[n] = true
		}
	}
	for n := range r.runs {
		if listed[n] || (n.orderInFlight && n.phase == starting) {
			continue
		}
		n.noteAbsent(now)
		if answer.Incomplete {
			continue
		}
		why := n.whyOver(sent, answer.Clock)
		if why == "" {
			continue
		}
		s.stats.Lost++
		s.addEvent("lost", "runner", r.info.ID, "batch", n.step.occurrence.batch.id, "step", n.step.index,
			"task", n.index, "run", n.number, "phase", int(n.phase), "why", why, "born", r.incarnation)
		n.task().lostAt = now
		s.removeRun(n, now)
	}
}

// whyOver returns why a run that its runner does not list has ended and can't start any
// more; empty if it may. The list was asked for at the given time, and answered at a time on
// the runner's clock.
func (n *run) whyOver(asked time.Time, clock int64) string {
	switch {
	case n.start.IsDoneBefore(asked):
		return "started before"
	case n.stop.IsDoneBefore(asked):
		return "stopped before"
	case n.start.State() == effect.Unknown && n.leaseEnd > 0 && clock > n.leaseEnd:
		return "lease over" // its start is refused from then on
	}
	return ""
}

// unknownStarts returns the number of runs on a runner whose start may still be carried out.
func (r *runner) unknownStarts() int {
	count := 0
	for n := range r.runs {
		if n.start.State() == effect.Unknown {
			count++
		}
	}
	return count
}

// startIncarnation resets the numbering of end reports for a runner that has
// restarted or answers for the first time. Runs that it does not list are found
// by giveUpMissing.
func (s *Scheduler) startIncarnation(r *runner, answer glade.HeartbeatAnswer, now time.Time) {
	first := r.incarnation == 0
	r.restartedAt = now
	if !first {
		s.addEvent("reborn", "runner", r.info.ID, "runs", len(r.runs), "born", answer.Born)
		s.recordCrash(r, "reborn", true, now)
	}
	s.takeBackLoss(r.info.ID, answer.Born)
	s.compareIncarnation(r, answer.Born)
	r.incarnation = answer.Born
	r.processed, r.written, r.acked, r.mostAcked, r.unwrittenEnds = 0, 0, 0, 0, nil
	r.isIncomplete, r.hidesEnds = false, false // the ends of before are lost
	for n := range r.runs {
		if n.doubtStart(now) {
			n.phase = unconfirmed
		}
		if n.start.State() == effect.Unknown {
			n.stop, n.evacuated = effect.Effect{}, false // what the earlier incarnation has stopped, this one may still start
		}
	}
	s.stopDoubtful(r, now)
	if !first || r.unknownStarts() > 0 {
		r.lateLeasesUntil = now.Add(orderLateness)
	}
	// A restarted runner's clock starts anew, so that a late start with a lease on
	// the earlier clock gets the longest lease that a runner grants. At first
	// contact, only leases of earlier leaders count, which may have known an earlier
	// incarnation.
	length := s.config.MaxLease
	if first && !s.mayHaveRestarted(r.info.ID, answer) {
		length = s.config.LeaseTime
	} else {
		s.noteReborn(r, now)
	}
	r.leaseEnd = answer.Clock + length.Milliseconds()
	r.health = health{}
}

// mayHaveRestarted reports whether a runner that answers for the first time has restarted under its id, so lately that a
// lease on the clock of before may count there.
func (s *Scheduler) mayHaveRestarted(id glade.RunnerID, answer glade.HeartbeatAnswer) bool {
	if answer.Clock > (s.config.MaxLease + orderLateness).Milliseconds() {
		return false
	}
	return s.registered[id] && (s.losses.loaded[id] != bornTag(answer.Born) || s.inherited.reborn[id])
}

// doubtStart records that another attempt of a start that was carried out may reach the next incarnation
// of the runner: one of them got no answer. It returns false if there was none.
func (n *run) doubtStart(now time.Time) bool {
	if n.repeats == 0 || n.start.State() != effect.Done {
		return false
	}
	n.start = effect.Effect{}
	n.start.Record(effect.Lost, now)
	return true
}

// orderLateness is how late a runner may carry an order out. The pages give no bound.
const orderLateness = taskRetention

// noteDoubtful remembers a run that was given up without an answer to its start.
func (r *runner) noteDoubtful(n *run, now time.Time) {
	r.dropOldDoubtful(now)
	r.doubtful = append(r.doubtful, n)
}

func (r *runner) dropOldDoubtful(now time.Time) {
	r.doubtful = slices.DeleteFunc(r.doubtful, func(n *run) bool { return now.Sub(n.startedAt) > orderLateness })
}

// stopDoubtful takes back the runs that were given up on the earlier incarnation of a restarted
// runner without an answer to their start. The present one accepts such a start whatever its
// lease was, until it is told to stop the run.
func (s *Scheduler) stopDoubtful(r *runner, now time.Time) {
	r.dropOldDoubtful(now)
	for _, n := range r.doubtful {
		b, t := n.step.occurrence.batch, n.task()
		if s.batches[b.id] != b {
			continue
		}
		n.doubtStart(now)
		n.unconfirmed = len(t.runs) == 0 // a run beside another one is stopped also if it is listed
		if len(t.runs) == 0 && !t.done {
			n.step.pending--
		}
		n.stop, n.crashed, n.orderInFlight, n.evacuated = effect.Effect{}, true, false, false
		t.runs = append(t.runs, n)
		s.attach(n)
		b.runs[n] = true
		s.markStopping(n, "restarted", now)
	}
	r.doubtful = nil
}

// giveUpRuns detaches every run from a runner that can carry out no order any more, and returns
// them and the number of orders in flight for them. These may take their whole timeout, and
// the next one may follow at once, so that no run waits for the answer.
func (s *Scheduler) giveUpRuns(r *runner, now time.Time) (dropped []*run, inFlight int) {
	for n := range r.runs {
		if n.orderInFlight {
			inFlight++
		}
		if n.orderInFlight && n.phase == starting {
			n.start.Record(effect.Lost, now) // a later incarnation may carry it out
		}
		dropped = append(dropped, n)
		s.removeRun(n, now)
	}
	return dropped, inFlight
}

// giveUpEnds stops waiting for the ends that a runner did not list. Work that an earlier leader has
// accepted would otherwise wait as long as the platform lists the runner.
func (s *Scheduler) giveUpEnds(r *runner) {
	if r.hidesEnds {
		r.hidesEnds, s.needsPlacement = false, true
		s.addEvent("unlisted", "runner", r.info.ID, "born", r.incarnation)
	}
}

// lapse gives up the runs on runners whose leases have ended. A newer leader may
// have renewed those leases, so that a renewal of the leader row after their end
// is needed first. A run may also have ended before its lease, and its runner may have
// said so in an answer that this leader has not read yet: so the runner is asked
// again after the end of the leases, unless there is no address to ask.
func (s *Scheduler) lapse(now time.Time) {
	for _, r := range s.runners {
		if len(r.runs) == 0 && !r.hidesEnds || !r.leasesExpired(now) || (!r.isSilentAfterLease(now) && r.info.Address != "") || !s.confirmedSince(r.lapse()) {
			continue
		}
		s.giveUpEnds(r)
		if len(r.runs) == 0 {
			continue
		}
		// If the runner was only cut off, the entries are dropped when it answers.
		s.recordCrash(r, "lapsed", !r.downAt.IsZero() && now.Sub(r.downAt) <= downTTL, now)
		unknown := r.unknownStarts()
		dropped, inFlight := s.giveUpRuns(r, now)
		s.stats.Lapsed += int64(len(dropped))
		s.noteGivenUp(r, "lapsed", dropped, now)
		s.addEvent("lapsed", "runner", r.info.ID, "runs", len(dropped), "inFlight", inFlight, "unknown", unknown, "born", r.incarnation,
			"heard", sinceMillis(now, r.lastAnswerAt), "over", sinceMillis(now, r.lapse()), "renewed", sinceMillis(now, s.renewedAt))
	}
}
