package sched

import (
	"time"

	glade "indigoglade"
)

// Start is an order to start a run.
type Start struct{ run *run }

// Stop is an order to stop a run.
type Stop struct{ run *run }

// Pace is an order to limit the speed of a run to a percentage.
type Pace struct {
	run     *run
	percent int
}

// Hold is an order to send a heartbeat to a runner: it renews the runner's leases
// and asks which runs are active and which have ended.
type Hold struct {
	To    glade.RunnerInfo
	Order glade.HoldOrder
}

// Orders are what the caller must carry out. The answer to each of them must be
// passed back to the method for its kind.
type Orders struct {
	Starts []Start
	Stops  []Stop
	Paces  []Pace
	Holds  []Hold
	Asks   []Ask
	// Next is when the next decisions are due at the latest.
	Next time.Time
}

// To returns the runner that is to start the run.
func (o Start) To() glade.RunnerInfo { return o.run.runner.info }

// Order returns the request to the runner, with the leader's fencing token.
func (o Start) Order(s *Sched) glade.RunOrder {
	n := o.run
	return glade.RunOrder{
		Task: n.id(), Run: n.number, Spec: n.step.round.batch.work.Spec, Until: n.until,
		Fence: s.config.Epoch, Saved: n.saved, Ticket: n.step.ticketFor(n.runner.info.ID),
	}
}

// To returns the runner that is to stop the run.
func (o Stop) To() glade.RunnerInfo { return o.run.runner.info }

// Task returns the task and the number of the run to stop.
func (o Stop) Task() (glade.TaskID, int64) { return o.run.id(), o.run.number }

// To returns the runner that is to throttle the run.
func (o Pace) To() glade.RunnerInfo { return o.run.runner.info }

// Task returns the task, the run number and the speed in percent.
func (o Pace) Task() (glade.TaskID, int64, int) { return o.run.id(), o.run.number, o.percent }

// Periods, timeouts and limits of a tick.
const (
	// tickPeriod is the longest time between two ticks. Leases, due times and
	// backoffs are checked that often.
	stepPeriod = 100 * time.Millisecond
	// stopRetry is how long after an unanswered stop the next one is sent.
	stopAgain = 300 * time.Millisecond
	// stopRepeat is how long after an answered stop a run that has not ended is
	// stopped again.
	stillThere = time.Second
	// unwrittenEndsPause is the pause between heartbeats while end reports wait for
	// their rows to be written.
	unwrittenLook = 400 * time.Millisecond
	// idleRunnerWait is the least long poll of a heartbeat to a runner without runs.
	idleLook = 2 * time.Second
	// maxHeartbeats bounds the heartbeats that one tick sends.
	startHolds = 128
)

// Step makes the decisions that are due now and returns the orders for them.
func (s *Sched) Step(now time.Time) Orders {
	orders := Orders{Next: now.Add(stepPeriod)}
	s.lapse(now)
	s.reopen(now)
	for b := range s.live {
		if b.work.Times > 0 {
			s.begin(b, now)
		}
	}
	s.enlist()
	s.markUnwanted(now)
	orders.Stops = s.stops(now)
	// Runners can also become usable without a recorded change, for example when a
	// backoff ends.
	if s.moved || now.Sub(s.placedAt) >= stepPeriod {
		s.moved, s.placedAt = false, now
		orders.Asks = s.asks(now)
		orders.Starts = s.place(now)
		for _, o := range orders.Starts {
			o.run.calling = true
		}
	}
	orders.Paces = s.paces(now)
	orders.Holds = s.holds(now)
	return orders
}

// markUnwanted marks the runs that are to be stopped: those of ended batches, done
// tasks and partial gangs, those whose start got no answer, stuck runs, and those
// that must leave a draining runner or one under evacuation.
func (s *Sched) markUnwanted(now time.Time) {
	s.slackKnown = false
	s.breakGangs(now)
	for _, r := range s.runners {
		for n := range r.runs {
			b := n.step.round.batch
			over := b.state.Over() || n.task().done
			if n.phase == unsure || (over && n.phase == running) || (over && n.phase == starting && !n.calling) {
				n.phase = stopping
				n.settled = time.Time{}
			}
			if s.isStuck(n, now) {
				s.event("stuck", "runner", r.info.ID, "batch", b.id, "step", n.step.index, "task", n.index, "percent", n.percent)
				n.phase = stopping
				n.settled = time.Time{}
				r.health.sick = now.Add(firstSick)
			}
			if r.info.Draining && n.phase == running && n.step.rule.Lasting && !n.step.rule.Gang {
				n.phase = stopping
				n.settled = time.Time{}
			}
			if !r.closing.IsZero() {
				s.evacuate(r, n, now)
			}
		}
	}
}

// A run is stuck when it has made no progress for both of these times.
const (
	stuckTime  = 2500 * time.Millisecond
	stuckRatio = 0.6 // share of the run's estimate
)

func (s *Sched) isStuck(n *run, now time.Time) bool {
	if n.phase != running || n.step.rule.Lasting || n.step.rule.Gang {
		return false
	}
	still := now.Sub(n.moved)
	return still > stuckTime && float64(still.Milliseconds()) > stuckRatio*float64(n.step.rule.Estimate) &&
		n.runner.isHeard(now) && n.moved.Before(n.runner.heard)
}

// stops returns the stop orders that are due.
func (s *Sched) stops(now time.Time) []Stop {
	var stops []Stop
	for _, r := range s.runners {
		for n := range r.runs {
			if n.phase != stopping || n.calling || now.Sub(n.paced) < stopAgain {
				continue
			}
			if !n.settled.IsZero() && now.Sub(n.settled) < stillThere {
				continue
			}
			n.paced = now
			n.calling = true
			stops = append(stops, Stop{run: n})
		}
	}
	return stops
}

// heartbeats returns the heartbeats that are due.
func (s *Sched) holds(now time.Time) []Hold {
	var holds []Hold
	for _, r := range s.runners {
		if r.holding || r.info.Address == "" || now.Before(r.next) || len(holds) == startHolds {
			continue
		}
		if !r.listed && len(r.runs) == 0 && r.held {
			continue
		}
		order := glade.HoldOrder{Fence: s.config.Epoch}
		if r.missed == 0 && !r.doubtful {
			order.Seen = r.seen
		}
		if r.held {
			// An unanswered heartbeat may still have renewed the lease. Heartbeats to
			// an unresponsive runner therefore do not renew it; otherwise the runs
			// there could never be given up.
			if r.missed == 0 {
				order.Until = s.lease(r, now)
			}
			order.Wait = s.config.Look
			if len(r.runs) == 0 {
				order.Wait = max(idleLook, s.config.Look)
			}
		}
		if len(r.unwritten) > 0 {
			if r.seen == r.told && now.Sub(r.heard) < unwrittenLook {
				continue
			}
			order.Wait = 0
		}
		r.holding = true
		if by := now.Add(order.Wait + heardSlack); by.After(r.answerBy) {
			r.answerBy = by
		}
		r.told = order.Seen
		r.until = max(r.until, order.Until)
		holds = append(holds, Hold{To: r.info, Order: order})
	}
	return holds
}
