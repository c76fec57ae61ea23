package sched

import (
	"time"

	glade "indigoglade"
)

// Start is an order to start a run.
type Start struct{ run *run }

// Stop is an order to stop a run.
type Stop struct{ run *run }

// Pace is an order to let a run work at a share.
type Pace struct {
	run     *run
	percent int
}

// Hold is an order to hold a runner.
type Hold struct {
	To    glade.RunnerInfo
	Order glade.HoldOrder
}

// Orders are what Step wants done. Each is answered by Started, Stopped, Paced
// or Held.
type Orders struct {
	Starts []Start
	Stops  []Stop
	Paces  []Pace
	Holds  []Hold
	Asks   []Ask
	// Next is when Step is to be called again at the latest.
	Next time.Time
}

// To returns the runner of a start.
func (o Start) To() glade.RunnerInfo { return o.run.runner.info }

// Order returns the order as the runner gets it.
func (o Start) Order(s *Sched) glade.RunOrder {
	n := o.run
	return glade.RunOrder{
		Task: n.id(), Run: n.number, Spec: n.step.round.batch.work.Spec, Until: n.until,
		Fence: s.config.Epoch, Saved: n.saved, Ticket: n.step.ticketFor(n.runner.info.ID),
	}
}

// To returns the runner of a stop.
func (o Stop) To() glade.RunnerInfo { return o.run.runner.info }

// Task returns the task and run to stop.
func (o Stop) Task() (glade.TaskID, int64) { return o.run.id(), o.run.number }

// To returns the runner of a pace.
func (o Pace) To() glade.RunnerInfo { return o.run.runner.info }

// Task returns the task, run and share to pace.
func (o Pace) Task() (glade.TaskID, int64, int) { return o.run.id(), o.run.number, o.percent }

// Times of a step.
const (
	// stepPeriod is the longest time between two steps: leases, due times and
	// pauses are looked at so often.
	stepPeriod = 100 * time.Millisecond
	// stopAgain is when an unanswered stop is repeated.
	stopAgain = 300 * time.Millisecond
	// stillThere is how long after an answered stop a listed run is stopped again.
	stillThere = time.Second
	// unwrittenLook is the pause between holds while ends wait to be written.
	unwrittenLook = 400 * time.Millisecond
	// idleLook is how long a hold of a runner without runs may wait.
	idleLook = 2 * time.Second
	// startHolds bounds the holds that one step gives.
	startHolds = 128
)

// Step returns what is to be done now.
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
	// Time alone also makes room: a runner's pause ends, or its answer comes.
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

// markUnwanted marks runs that are to be stopped: of batches that are over, of
// tasks that are done, and orders that got no answer.
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

// Bounds of a run that stands still.
const (
	stuckTime  = 2500 * time.Millisecond // no progress for so long, and
	stuckRatio = 0.6                     // for this share of its estimate
)

func (s *Sched) isStuck(n *run, now time.Time) bool {
	if n.phase != running || n.step.rule.Lasting || n.step.rule.Gang {
		return false
	}
	still := now.Sub(n.moved)
	return still > stuckTime && float64(still.Milliseconds()) > stuckRatio*float64(n.step.rule.Estimate) &&
		n.runner.isHeard(now) && n.moved.Before(n.runner.heard)
}

// stops returns the stops that are due.
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

// holds returns the holds that are due.
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
			// A hold without an answer may still have renewed the lease, so that one
			// to a silent runner must not: its runs could never be given up.
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
