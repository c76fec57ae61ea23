package sched

import (
	"time"

	glade "indigoglade"
)

// Load is the capacity that a service needs and has.
type Load struct {
	// Demand is the CPU, in millicores, of tasks that end: of those that run, and of
	// waiting ones that can meet their objective.
	Demand int `json:"demand"`
	// Late is the CPU of waiting tasks that can't meet their objective, in
	// millicores.
	Late int `json:"late"`
	// Lasting is the CPU of long-running tasks, in millicores.
	Lasting int `json:"lasting"`
	// Room is the CPU of the runners that are not draining, in millicores.
	Room int `json:"room"`
	// Memory is what all of these tasks need, in megabytes.
	Memory int `json:"memory"`
	// Idle counts long-running tasks for which there is no room.
	Idle int `json:"idle"`
	// Offered is the load of the arriving work, in millicores.
	Offered int `json:"offered"`
	// Rise is the increase of the offered load per second, in millicores.
	Rise int `json:"rise"`
	// Hosts is the number of runners that the spread of long-running tasks requires.
	Hosts   int          `json:"hosts"`
	Runners []RunnerLoad `json:"runners"`
	// Silent lists unresponsive runners that may run tasks.
	Silent []glade.RunnerID `json:"silent,omitempty"`
}

// RunnerLoad counts the runs on one runner.
type RunnerLoad struct {
	ID glade.RunnerID `json:"id"`
	// Runs counts all runs.
	Runs int `json:"runs"`
	// Lasting counts the runs of long-running tasks.
	Lasting int `json:"lasting"`
	// Held means that the runner answers heartbeats.
	Held bool `json:"held"`
	// Closing means that the runner is under evacuation.
	Closing bool `json:"closing"`
}

// Times of an evacuation.
const (
	// evacuationTTL is how long an evacuation continues after it was last asked for:
	// the process that asked may be gone.
	closeHold = 1500 * time.Millisecond
	// placementTime bounds how long a long-running task waits for a runner if there
	// is room for it.
	idleTime = 400 * time.Millisecond
	// shortTaskGrace is how long short tasks may continue on a runner under
	// evacuation.
	finishTime = 4 * time.Second
)

// Demand returns the current load of the service.
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

// Close asks for the evacuation of runners. It must be repeated until they are
// empty, since a request expires.
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

// endEvacuations makes runners usable again when nobody asks for their evacuation
// any more.
func (s *Sched) reopen(now time.Time) {
	for id, r := range s.runners {
		if !r.closing.IsZero() && now.Sub(r.closing) > closeHold {
			r.closing, r.closed = time.Time{}, time.Time{}
			s.moved = true
			s.event("reopen", "runner", id)
		}
	}
}

// evacuateRun stops a run on a runner under evacuation: a long-running task as
// soon as enough others of its step are serving, a short one when it takes too
// long, or when it can better resume elsewhere from its checkpoint. Members of a
// gang are left to end.
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

// Costs of moving a task that saves checkpoints.
const (
	// stopTime is about how long a stop takes: the order, and the report of the end.
	stopTime = 250 * time.Millisecond
	// minMoveRatio is the least ratio of a task's remaining time to the time of a
	// stop and a restore for which the task is moved.
	movePays = 2
)

// isWorthMoving reports whether a short task should be stopped and resumed
// elsewhere rather than waited for. Its host then becomes free for another pool
// seconds earlier. A shrinking pool evacuates one host after another, and a task is
// moved off only the first of them.
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

// findSpareCapacity returns the CPU of usable runners, in millicores, that is
// needed neither by runs, nor by pending tasks, nor by tasks that are being
// stopped.
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

// servingPercent is the progress of a long-running task that serves its users.
const atWork = 100

// isServing reports whether a long-running task is known to serve its users.
func isAtWork(n *run, now time.Time) bool {
	return n.phase == running && n.percent >= atWork && n.runner.isHeard(now)
}

// mayStop reports whether a long-running task may be stopped: fewer others of its
// step are away than its users tolerate.
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
		limit-- // the leader's view lags by a heartbeat: one more may be away
	}
	return away < limit
}

// minWithoutReserve is the largest limit of tasks away that allows no reserve for
// a further one that the leader has not noticed yet.
const fewMissed = 2

// hasRoomFor reports whether another runner can take the task now.
func (s *Sched) hasRoomFor(n *run, now time.Time) bool {
	return s.choose(n.step, n.task(), s.usable(now), now) != nil
}
