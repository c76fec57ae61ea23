package sched

import (
	"time"

	glade "indigoglade"
)

// Started processes the answer to a start. It returns false if the runner has
// seen a newer leader.
func (s *Sched) Started(o Start, answer glade.RunAnswer, err error, now time.Time) bool {
	n, refused := o.run, answer.Refused
	n.calling = false
	n.runner.doubt(n, answer, err)
	if !n.runner.runs[n] {
		return true
	}
	switch {
	case err != nil && isNotRun(err):
		s.event("unstarted", "runner", n.runner.info.ID, "batch", n.step.round.batch.id, "error", err.Error())
		n.runner.avoid(now)
		s.unplace(n, now)
	case err != nil:
		s.event("unanswered", "runner", n.runner.info.ID, "batch", n.step.round.batch.id, "step", n.step.index,
			"task", n.index, "run", n.number, "error", err.Error())
		n.phase = unsure
		if !n.runner.heard.After(n.sent) {
			n.runner.avoid(now)
		}
	case refused == glade.RunAccepted:
		if n.phase == starting {
			n.phase = running
		}
		n.settled = now
		s.stats.Started++
		s.noteBegun(n.step.round.batch)
	default:
		s.event("refused", "runner", n.runner.info.ID, "batch", n.step.round.batch.id, "why", string(refused),
			"used", n.runner.used.CPU, "room", n.runner.info.Room.CPU)
		if refused == glade.RefusedTicket {
			delete(n.step.tickets, n.runner.info.ID)
		} else {
			n.runner.avoid(now)
		}
		s.unplace(n, now)
		return refused != glade.RefusedFence
	}
	return true
}

// clockSlackMillis allows for rounding of a runner's clock.
const clockSlack = 20

// checkRestart notes that a runner may have restarted: a start got no answer, or
// the answer carries a clock that has gone back. The next heartbeat must then
// acknowledge no end reports, because a restarted runner numbers them anew.
func (r *runner) doubt(n *run, answer glade.RunAnswer, err error) {
	if err != nil {
		r.doubtful = true
		return
	}
	if answer.Clock > 0 && !n.sent.Before(r.clockAt) {
		least := float64(r.clock) + float64(n.sent.Sub(r.clockAt).Milliseconds())/slowClock - clockSlack
		r.doubtful = r.doubtful || float64(answer.Clock) < least
	}
}

// Stopped processes the answer to a stop. It returns false if the runner has
// seen a newer leader.
func (s *Sched) Stopped(o Stop, answer glade.RunAnswer, err error, now time.Time) bool {
	o.run.calling = false
	if err != nil {
		s.event("unstopped", "runner", o.run.runner.info.ID, "batch", o.run.step.round.batch.id, "step", o.run.step.index,
			"task", o.run.index, "run", o.run.number, "error", err.Error())
		return true
	}
	if answer.Refused == glade.RefusedFence {
		return false
	}
	// The first answer counts: later ones must not postpone the heartbeat that
	// shows that the run has ended.
	if o.run.settled.IsZero() {
		o.run.settled = now
	}
	return true
}
