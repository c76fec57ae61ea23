package sched

import (
	"slices"
	"time"

	glade "indigoglade"
)

// Start is an order to start a run.
type Start struct{ run *run }

// Stop is an order to stop a run, sent to an incarnation of its runner.
type Stop struct {
	run         *run
	incarnation int64
}

// Throttle is an order to limit the speed of a run to a percentage.
type Throttle struct {
	run     *run
	percent int
}

// Heartbeat is an order to send a heartbeat to a runner: it renews the runner's
// leases and asks which runs are active and which have ended.
type Heartbeat struct {
	To    glade.RunnerInfo
	Order glade.HeartbeatOrder
}

// Orders are what the caller must carry out. The answer to each of them must be
// passed back to the method for its kind.
type Orders struct {
	Starts         []Start
	Stops          []Stop
	Throttles      []Throttle
	Heartbeats     []Heartbeat
	AdviceRequests []AdviceRequest
	// Next is when the next decisions are due at the latest.
	Next time.Time
}

// To returns the runner that is to start the run.
func (o Start) To() glade.RunnerInfo { return o.run.runner.info }

// Order returns the request to the runner, with the leader's fencing token.
func (o Start) Order(s *Scheduler) glade.StartOrder {
	n := o.run
	return glade.StartOrder{
		Task: n.id(), Run: n.number, Spec: n.step.occurrence.batch.work.Spec, LeaseUntil: n.leaseEnd,
		Fence: s.config.Epoch, Checkpoint: n.checkpoint, Ticket: n.step.ticketToken(n.runner.info.ID),
	}
}

// To returns the runner that is to stop the run.
func (o Stop) To() glade.RunnerInfo { return o.run.runner.info }

// Task returns the task and the number of the run to stop.
func (o Stop) Task() (glade.TaskID, int64) { return o.run.id(), o.run.number }

// To returns the runner that is to throttle the run.
func (o Throttle) To() glade.RunnerInfo { return o.run.runner.info }

// Task returns the task, the run number and the speed in percent.
func (o Throttle) Task() (glade.TaskID, int64, int) { return o.run.id(), o.run.number, o.percent }

// Periods, timeouts and limits of a tick.
const (
	// tickPeriod is the longest time between two calls of the scheduler (ticks).
	// Leases, due times and backoffs are checked that often.
	tickPeriod = 100 * time.Millisecond
	// maxStepDelay is the time between two ticks above which this leader lacks processor
	// time: answers are read late. After punctualTime without such a tick it counts as
	// punctual again; a heartbeat without a wait takes less.
	maxStepDelay = 4 * tickPeriod
	punctualTime = 800 * time.Millisecond
	// stopRetry is how long after an unanswered stop the next one is sent.
	stopRetry = 300 * time.Millisecond
	// stopRepeat is how long after an answered stop a run that has not ended is
	// stopped again.
	stopRepeat = time.Second
	// unwrittenEndsPause is the pause between heartbeats to a runner while rows that
	// its end reports have changed are not written yet.
	unwrittenEndsPause = 400 * time.Millisecond
	// idleRunnerWait is how long a runner without runs may delay the answer to a
	// heartbeat, unless Config.HeartbeatWait is longer.
	idleRunnerWait = 2 * time.Second
	// maxHeartbeats bounds the heartbeats that one tick sends.
	maxHeartbeats = 128
)

// Step runs one tick: it makes the decisions that are due now and returns the
// orders for them.
func (s *Scheduler) Step(now time.Time) Orders {
	orders := Orders{Next: now.Add(tickPeriod)}
	if !s.steppedAt.IsZero() && now.Sub(s.steppedAt) > maxStepDelay {
		s.delayedAt = now
	}
	s.steppedAt = now
	s.usableKnown, s.spareKnown = false, false
	s.pace.refill(now)
	s.countUnseen(now)
	s.logInherited(now)
	s.endEvacuations(now)
	if now.Sub(s.reviewedAt) >= tickPeriod {
		s.reviewedAt = now
		s.reviewAll(now)
		orders.Throttles = s.throttles(now)
	}
	if len(s.writes.rejects.aside) > 0 {
		s.reviewRejects(now)
	}
	if s.hasGangs {
		s.stopPartialGangs(now)
	}
	for r := range s.touched {
		s.updateRegistry(r)
		s.markUnwanted(r, now)
	}
	clear(s.touched)
	for r := range s.evacuating {
		s.markUnwanted(r, now)
	}
	orders.Starts = s.repeatedStarts(now)
	orders.Stops = s.stops(now)
	// Runners can also become usable without a recorded change, for example when a
	// backoff ends.
	if s.pace.isOpen() && (s.needsPlacement || now.Sub(s.placedAt) >= tickPeriod) {
		s.needsPlacement, s.placedAt = false, now
		orders.AdviceRequests = s.adviceRequests(now)
		orders.Starts = append(orders.Starts, s.place(now)...)
		for _, o := range orders.Starts {
			o.run.orderInFlight = true
		}
	}
	s.logTrialWait(now)
	orders.Heartbeats = slices.Concat(s.heartbeats(now), s.probes(now), s.kindChecks)
	s.kindChecks = nil
	if wait := s.pace.opensIn(); wait > 0 && now.Add(wait).Before(orders.Next) {
		orders.Next = now.Add(wait)
		s.needsPlacement = true
		s.logPace(now)
	}
	return orders
}

// reviewAll makes the decisions that depend on time alone, and looks at every runner.
func (s *Scheduler) reviewAll(now time.Time) {
	s.lapse(now)
	s.forgetReborn(now)
	s.releaseTasks(now)
	s.reviewWaits(now)
	for b := range s.live {
		if b.work.Times > 0 {
			s.startDue(b, now)
		}
	}
	for _, r := range s.ordered {
		s.touched[r] = true
		if r.isOverdue(now) {
			s.overdue[r] = true
		}
	}
	if len(s.tenants) > 0 {
		s.logLimits(now)
	}
}

// markStopping marks a run that is to be stopped, for a reason that the log shows.
func (s *Scheduler) markStopping(n *run, why string, now time.Time) {
	if n.step.rule.LongRunning && n.phase != stopping {
		s.addEvent("stopping", "runner", n.runner.info.ID, "batch", n.step.occurrence.batch.id, "step", n.step.index, "task", n.index,
			"run", n.number, "why", why, "started", n.started, "percent", n.percent, "heard", sinceMillis(now, n.runner.lastAnswerAt),
			"away", n.step.othersAway(n, now), "mayMiss", n.step.rule.MayMiss)
	}
	n.phase = stopping
	s.stopping[n] = true
}

// markUnwanted marks the runs of a runner that are to be stopped: those of ended
// batches and done tasks, those whose start got no answer, stuck runs, and those that
// must leave a draining runner or one under evacuation.
func (s *Scheduler) markUnwanted(r *runner, now time.Time) {
	for n := range r.runs {
		b, unneeded := n.step.occurrence.batch, n.isUnneeded()
		switch {
		case n.phase == unconfirmed:
			n.unconfirmed = true
			s.markStopping(n, "unconfirmed", now)
		case unneeded && (n.phase == running || n.phase == starting && !n.orderInFlight):
			s.markStopping(n, "unneeded", now)
		}
		if s.isStuck(n, now) {
			s.addEvent("stuck", "runner", r.info.ID, "batch", b.id, "step", n.step.index, "task", n.index, "percent", n.percent)
			s.markStopping(n, "stuck", now)
			s.usableKnown = false
			r.health.extendQuarantine(now.Add(minQuarantine))
		}
		if r.info.Draining && n.phase == running && n.step.rule.LongRunning && !n.step.rule.Gang {
			s.markStopping(n, "draining", now)
		}
		if !r.evacuateAskedAt.IsZero() {
			s.evacuateRun(r, n, now)
		}
	}
}

// A run is stuck when it has made no progress for both of these times.
const (
	stuckTimeout = 2500 * time.Millisecond
	stuckRatio   = 0.6 // share of the run's estimate
)

func (s *Scheduler) isStuck(n *run, now time.Time) bool {
	if n.phase != running || n.step.rule.LongRunning || n.step.rule.Gang {
		return false
	}
	stalled := now.Sub(n.progressedAt)
	return stalled > stuckTimeout && float64(stalled.Milliseconds()) > stuckRatio*float64(n.step.rule.Estimate) &&
		n.runner.isResponsive(now) && n.progressedAt.Before(n.runner.lastAnswerAt)
}

// stops returns the stop orders that are due.
func (s *Scheduler) stops(now time.Time) []Stop {
	var stops []Stop
	for n := range s.stopping {
		if n.orderInFlight || now.Sub(n.lastOrderAt) < stopRetry {
			continue
		}
		if at, ok := n.stop.DoneAt(); ok && now.Sub(at) < stopRepeat || n.awaitsList(now) {
			continue
		}
		n.lastOrderAt = now
		n.orderInFlight = true
		stops = append(stops, Stop{run: n, incarnation: n.runner.incarnation})
	}
	return stops
}

// Waits of heartbeats while answers get lost.
const (
	// lossyPeriod is how long after a lost answer further losses are expected.
	lossyPeriod = 5 * time.Second
	lossyWait   = 250 * time.Millisecond
)

// heartbeatWait returns how long a runner may delay its answer to a heartbeat. A runner with
// a trial is to answer as soon as the trial can be over. While
// answers of runners get lost, those with short tasks wait less: until the timeout of a
// lost one, this leader does not learn which tasks have ended there. An overloaded leader
// loses answers for lack of time, and more heartbeats would take more of it.
func (s *Scheduler) heartbeatWait(r *runner, now time.Time) time.Duration {
	switch {
	case len(r.runs) == 0:
		return max(idleRunnerWait, s.config.HeartbeatWait)
	case s.hasTrial(r):
		return min(crashWindow, s.config.HeartbeatWait)
	case now.Sub(s.answerLostAt) < lossyPeriod && r.hasShortRuns() && !s.pace.isOverloaded(now):
		return min(lossyWait, s.config.HeartbeatWait)
	}
	return s.config.HeartbeatWait
}

// heartbeats returns the heartbeats that are due.
func (s *Scheduler) heartbeats(now time.Time) []Heartbeat {
	var heartbeats []Heartbeat
	for r := range s.idleBeat {
		if r.info.Address == "" || now.Before(r.nextHeartbeat) || len(heartbeats) == maxHeartbeats {
			continue
		}
		if !r.listed && len(r.runs) == 0 && r.contacted {
			r.isUnasked, r.answerDue = true, time.Time{}
			continue
		}
		order := glade.HeartbeatOrder{Fence: s.config.Epoch}
		if r.missed == 0 && !r.maybeRestarted {
			order.AckedSeq = r.written
		}
		if r.contacted {
			// An unanswered heartbeat may still have renewed the lease. Heartbeats to
			// an unresponsive runner therefore do not renew it; otherwise the runs
			// there could never be given up.
			if r.missed == 0 {
				order.LeaseUntil = s.grantLease(r, now)
			}
			if r.missed == 0 {
				order.Wait = s.heartbeatWait(r, now)
			}
		}
		if r.isUnasked {
			order.Wait = 0
		}
		if len(r.unwrittenEnds) > 0 {
			if r.written == r.acked && now.Sub(r.lastAnswerAt) < unwrittenEndsPause {
				continue
			}
			order.Wait = 0
		}
		r.heartbeatInFlight, r.heartbeatSentAt, r.heartbeatWait = true, now, order.Wait
		delete(s.idleBeat, r)
		if due := now.Add(order.Wait + heartbeatSlack); due.After(r.answerDue) && !r.isUnasked {
			r.answerDue = due
		}
		r.acked, r.mostAcked = order.AckedSeq, max(r.mostAcked, order.AckedSeq)
		r.leaseEnd = max(r.leaseEnd, order.LeaseUntil)
		heartbeats = append(heartbeats, Heartbeat{To: r.info, Order: order})
	}
	return heartbeats
}
