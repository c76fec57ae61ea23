package sched

import (
	"time"

	"indigoglade/effect"
)

// A start that got no answer is sent again to the same incarnation: a runner accepts a run that is there
// already, and refuses one that has ended there, so that a repetition can only end the doubt. Each is
// decided anew, as the run may be unneeded by now.

// repeatStart queues the repetition of a start without an answer. It returns false if there is none.
func (s *Scheduler) repeatStart(n *run, now time.Time) bool {
	if n.repeats >= s.config.StartRepeats || !s.mayRepeat(n, now) {
		return false
	}
	n.repeats++
	s.repeats = append(s.repeats, n)
	return true
}

// mayRepeat reports whether the start of a run may be sent again. A runner that doesn't answer may have
// crashed, and a trial must not start on the incarnation after that.
func (s *Scheduler) mayRepeat(n *run, now time.Time) bool {
	r := n.runner
	return n.phase == starting && r.runs[n] && n.start.State() == effect.Unknown && !n.isUnneeded() && !s.trials[n] &&
		r.listed && !r.info.Draining && r.evacuateAskedAt.IsZero() && r.incarnation == n.incarnation && r.isResponsive(now) &&
		n.leaseEnd > r.clockNow(now) && s.grantLease(r, now) > 0 && !s.pace.isCongested(now)
}

// repeatedStarts returns the starts that are sent again.
func (s *Scheduler) repeatedStarts(now time.Time) []Start {
	var starts []Start
	for _, n := range s.repeats {
		switch {
		case n.phase != starting || !n.runner.runs[n] || n.orderInFlight: // listed or given up meanwhile
		case !s.mayRepeat(n, now):
			s.markUnconfirmed(n)
		default:
			n.sendAt, n.orderInFlight = now, true
			s.stats.Repeated++
			s.pace.take(startBytes(&n.step.occurrence.batch.work))
			starts = append(starts, Start{run: n})
		}
	}
	s.repeats = s.repeats[:0]
	return starts
}

// markUnconfirmed makes a stop due for a run whose start got no answer.
func (s *Scheduler) markUnconfirmed(n *run) {
	if n.phase == starting {
		n.phase = unconfirmed
	}
	s.touched[n.runner] = true
}
