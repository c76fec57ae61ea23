package sched

import (
	"time"

	glade "indigoglade"
)

// Load is what a service asks of its hosts.
type Load struct {
	// Demand is the room that tasks which end have taken, or wait for and can be
	// in time; Late is that of tasks which wait and can't; Lasting that of tasks
	// which last; and Room what the runners have, all in thousandths of a core.
	Demand  int `json:"demand"`
	Late    int `json:"late"`
	Lasting int `json:"lasting"`
	Room    int `json:"room"`
	// Memory is what all of these tasks take, in megabytes.
	Memory int `json:"memory"`
	// Idle counts lasting tasks that find no place.
	Idle int `json:"idle"`
	// Offered is the room that the arriving work asks for, and Rise by how much
	// that rises in a second.
	Offered int `json:"offered"`
	Rise    int `json:"rise"`
	// Hosts is the number of runners that lasting tasks need to be apart.
	Hosts   int          `json:"hosts"`
	Runners []RunnerLoad `json:"runners"`
	// Silent names runners that do not answer and may run tasks.
	Silent []glade.RunnerID `json:"silent,omitempty"`
}

// RunnerLoad is what runs on one runner.
type RunnerLoad struct {
	ID glade.RunnerID `json:"id"`
	// Runs counts all runs, Lasting those that last.
	Runs    int `json:"runs"`
	Lasting int `json:"lasting"`
	// Held means that the lead is in touch with it.
	Held    bool `json:"held"`
	Closing bool `json:"closing"`
}

// Times of closing a runner.
const (
	// closeHold is how long a runner stays closed after it was last asked for:
	// who asked may be gone.
	closeHold = 1500 * time.Millisecond
	// idleTime is how long a lasting task is placed at the latest when there is
	// room for it.
	idleTime = 400 * time.Millisecond
	// finishTime is how long short tasks of a closing runner may go on.
	finishTime = 4 * time.Second
)

// Demand returns the load of the service.
func (s *Sched) Demand(now time.Time) Load {
	var load Load
	load.Offered, load.Rise = s.offered(now)
	for st := range s.open {
		load.Memory += st.left * st.rule.Need.Memory
		if !st.rule.Lasting {
			load.Demand += (st.left - st.idle) * st.rule.Need.CPU
			if s.rank(st, now).class < classLate {
				load.Demand += st.idle * st.rule.Need.CPU
			} else {
				load.Late += st.idle * st.rule.Need.CPU
			}
			continue
		}
		load.Lasting += st.left * charged(st.rule).CPU
		if now.Sub(st.lastEnd) > idleTime && now.Sub(st.round.batch.at) > idleTime {
			load.Idle += st.idle
		}
		if st.rule.Spread > 0 {
			load.Hosts = max(load.Hosts, (st.left+st.rule.Spread-1)/st.rule.Spread)
		}
	}
	for id, r := range s.runners {
		if s.isBlind(id, now) || (r.missed > 0 && len(r.runs) > 0) {
			load.Silent = append(load.Silent, id)
		}
		if !r.listed {
			continue
		}
		own := RunnerLoad{ID: id, Runs: len(r.runs), Held: r.held && r.missed == 0, Closing: !r.closing.IsZero()}
		for n := range r.runs {
			if n.step.rule.Lasting {
				own.Lasting++
			}
		}
		if !r.info.Draining {
			load.Room += r.info.Room.CPU
		}
		load.Runners = append(load.Runners, own)
	}
	return load
}

// Close asks for runners to be emptied. It must be repeated until they are.
func (s *Sched) Close(ids []glade.RunnerID, now time.Time) {
	for _, id := range ids {
		r, ok := s.runners[id]
		if !ok {
			continue
		}
		if r.closing.IsZero() {
			r.closed = now
			s.event("close", "runner", id, "runs", len(r.runs))
		}
		r.closing = now
	}
}

// reopen takes runners back whose closing is not asked for any more.
func (s *Sched) reopen(now time.Time) {
	for id, r := range s.runners {
		if !r.closing.IsZero() && now.Sub(r.closing) > closeHold {
			r.closing, r.closed = time.Time{}, time.Time{}
			s.moved = true
			s.event("reopen", "runner", id)
		}
	}
}

// evacuate stops what runs on a closing runner: lasting tasks as soon as enough
// others of their step are at work, short ones when they take too long, or when
// they go on elsewhere from where they were stopped.
func (s *Sched) evacuate(r *runner, n *run, now time.Time) {
	if n.phase != running || n.step.rule.Gang {
		return
	}
	switch {
	case n.step.rule.Lasting:
		if !s.mayMiss(n, now) || !s.hasRoomFor(n, now) {
			return
		}
	case now.Sub(r.closed) >= finishTime:
	case s.paysToMove(n, now):
		s.slackRoom -= n.step.rule.Need.CPU
		n.task().evicted = true
	default:
		return
	}
	n.phase = stopping
	n.settled = time.Time{}
}

// Bounds of stopping a task that saves its work.
const (
	// stopTime is about how long a stop takes: the order, and the end in the list.
	stopTime = 250 * time.Millisecond
	// movePays times what a stop and a restore take is what a task must still have
	// to do for a stop to pay.
	movePays = 2
)

// paysToMove tells whether a short task is better stopped than waited for. Its
// host is then free for another pool seconds earlier. A shrinking pool closes
// one host after the other; a task leaves only the first.
func (s *Sched) paysToMove(n *run, now time.Time) bool {
	if !n.step.rule.Saves || n.task().evicted {
		return false
	}
	if !s.slackKnown {
		s.slackRoom, s.slackKnown = s.findSlackRoom(now), true
	}
	if s.slackRoom < n.step.rule.Need.CPU || !s.hasRoomFor(n, now) {
		return false
	}
	whole := time.Duration(float64(n.step.rule.Estimate)*s.learnt.of(n.step.round.batch.queue)) * time.Millisecond
	return whole-now.Sub(n.sent) >= movePays*(stopTime+s.config.Restore)
}

// findSlackRoom returns the room of usable runners that neither runs, nor waiting
// tasks, nor tasks on their way from closing runners need.
func (s *Sched) findSlackRoom(now time.Time) int {
	room := 0
	for _, r := range s.runners {
		if s.isUsable(r, now) {
			room += r.info.Room.CPU - r.used.CPU
		}
		for n := range r.runs {
			if n.phase == stopping {
				room -= n.step.rule.Need.CPU
			}
		}
	}
	for st := range s.open {
		room -= st.idle * charged(st.rule).CPU
	}
	return room
}

// atWork is the progress of a lasting task that is at work, in percent.
const atWork = 100

// isAtWork tells whether a lasting task is seen at work.
func isAtWork(n *run, now time.Time) bool {
	return n.phase == running && n.percent >= atWork && n.runner.isHeard(now)
}

// mayMiss tells whether a lasting task may be stopped: fewer others of its step
// are away than its users can miss.
func (s *Sched) mayMiss(n *run, now time.Time) bool {
	away := 0
	for i := range n.step.tasks {
		t := &n.step.tasks[i]
		if i == n.index {
			continue
		}
		if len(t.runs) == 0 || !isAtWork(t.runs[0], now) {
			away++
		}
	}
	limit := max(n.step.rule.MayMiss, 1)
	if limit > fewMissed {
		limit-- // what is seen lags by a hold: one more may be away
	}
	return away < limit
}

// fewMissed is the number of tasks that may be missed up to which there is no
// room for one that is away unseen.
const fewMissed = 2

// hasRoomFor tells whether another runner can take a task now.
func (s *Sched) hasRoomFor(n *run, now time.Time) bool {
	return s.choose(n.step, n.task(), s.usable(now), now) != nil
}
