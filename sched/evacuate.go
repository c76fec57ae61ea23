package sched

import (
	"time"

	glade "indigoglade"
	"indigoglade/effect"
)

// Load is the capacity that a service needs and has.
type Load struct {
	// Demand is the CPU, in millicores, of tasks that end: of those that run, and of
	// waiting ones that can meet their objective.
	Demand int `json:"demand"`
	// Late is the CPU of waiting tasks that can't meet their objective, in
	// millicores.
	Late int `json:"late"`
	// LongRunning is the CPU of long-running tasks, in millicores.
	LongRunning int `json:"lasting"`
	// Capacity is the CPU of the runners that are not draining, in millicores.
	Capacity int `json:"room"`
	// Shrunk is by how much runners are smaller than they were, in millicores.
	Shrunk int `json:"shrunk,omitempty"`
	// Memory is what the running and waiting tasks need, in megabytes.
	Memory int `json:"memory"`
	// Unplaced counts long-running tasks for which there is no room.
	Unplaced int `json:"idle"`
	// UnplacedCPU and UnplacedMemory are the parts of LongRunning and Memory that wait with them: a gang
	// waits as a whole.
	UnplacedCPU    int `json:"idlecpu,omitempty"`
	UnplacedMemory int `json:"idlememory,omitempty"`
	// Offered is the load of the arriving work, in millicores.
	Offered int `json:"offered"`
	// OfferedRise is the increase of the offered load per second, in millicores.
	OfferedRise int `json:"rise"`
	// MinRunners is the number of runners that the spread of long-running tasks requires.
	MinRunners int          `json:"hosts"`
	Runners    []RunnerLoad `json:"runners"`
	// Unresponsive lists unresponsive runners that may run tasks.
	Unresponsive []glade.RunnerID `json:"silent,omitempty"`
}

// RunnerLoad counts the runs on one runner.
type RunnerLoad struct {
	ID glade.RunnerID `json:"id"`
	// Runs counts all runs, and those that have ended as long as that is not written.
	Runs int `json:"runs"`
	// LongRunning counts the runs of long-running tasks.
	LongRunning int `json:"lasting"`
	// Responsive means that the runner answers heartbeats.
	Responsive bool `json:"held"`
	// Evacuating means that Evacuate was called for the runner a short time ago.
	Evacuating bool `json:"closing"`
}

// Times of an evacuation.
const (
	// evacuationTTL is how long an evacuation continues after it was last asked for:
	// the process that asked may be gone.
	evacuationTTL = 1500 * time.Millisecond
	// placementTime bounds how long a long-running task waits for a runner if there
	// is room for it.
	placementTime = 400 * time.Millisecond
	// shortTaskGrace is how long short tasks may continue on a runner under
	// evacuation.
	shortTaskGrace = 4 * time.Second
)

// Demand returns the capacity that the service needs and has now.
func (s *Scheduler) Demand(now time.Time) Load {
	var load Load
	load.Offered, load.OfferedRise = s.offered(now)
	if bound := s.pace.bound(load.Offered); bound < load.Offered {
		load.Offered, load.OfferedRise = bound, 0
	}
	waiting := 0
	rooms := newHeadrooms(true)
	for st := range s.ready {
		// Tasks that wait for their tenant's limit need no capacity.
		pending := rooms.take(st, st.pending)
		left := st.left - st.pending + pending
		load.Memory += left * st.rule.Need.Memory
		if !st.rule.LongRunning {
			load.Demand += (st.left - st.pending) * st.rule.Need.CPU
			if s.rank(st, now).class < classLate {
				waiting += pending * st.rule.Need.CPU
			} else {
				load.Late += pending * st.rule.Need.CPU
			}
			continue
		}
		load.LongRunning += left * allocation(st.rule).CPU
		if now.Sub(st.lastEnd) > placementTime && now.Sub(st.occurrence.batch.submittedAt) > placementTime {
			due := min(pending, st.duePending(now))
			n := s.unplaced(st, due, now)
			load.Unplaced += n
			if n > 0 {
				load.UnplacedCPU += due * allocation(st.rule).CPU
				load.UnplacedMemory += due * st.rule.Need.Memory
			}
			if n > 0 && st.rule.Gang {
				left -= due // its spread asks for hosts by Unplaced alone
			}
		}
		if st.rule.MaxPerRunner > 0 {
			load.MinRunners = max(load.MinRunners, (left+st.rule.MaxPerRunner-1)/st.rule.MaxPerRunner)
		}
	}
	load.Demand += s.pace.bound(waiting)
	load.Late = s.pace.bound(load.Late)
	for id, r := range s.runners {
		if s.mayHaveUnknownRuns(id, now) || (r.missed > 0 && len(r.runs) > 0) {
			load.Unresponsive = append(load.Unresponsive, id)
		}
		if !r.listed {
			continue
		}
		entry := RunnerLoad{ID: id, Runs: len(r.runs) + len(r.unwrittenEnds), Responsive: r.contacted && r.missed == 0, Evacuating: !r.evacuateAskedAt.IsZero()}
		for n := range r.runs {
			if n.step.rule.LongRunning {
				entry.LongRunning++
			}
		}
		if !r.info.Draining && s.isHeard(r) {
			load.Capacity += r.info.Capacity.CPU
			load.Shrunk += r.largestCPU - r.info.Capacity.CPU
		}
		load.Runners = append(load.Runners, entry)
	}
	return load
}

// unplaced returns how many of some pending tasks of a long-running step have no room. Of a gang, these
// are the members that would have none once short tasks have ended.
func (s *Scheduler) unplaced(st *step, pending int, now time.Time) int {
	if !st.rule.Gang {
		return pending
	}
	places := 0
	for _, r := range s.usable(now) {
		places += s.placesBesideLasting(r, st, now)
	}
	return min(pending, max(len(st.tasks)-places, 0))
}

// Evacuate asks for the evacuation of runners, that is, that they run nothing any
// more. It must be repeated until they are empty, since a request expires.
func (s *Scheduler) Evacuate(ids []glade.RunnerID, now time.Time) {
	for _, id := range ids {
		r, ok := s.runners[id]
		if !ok {
			continue
		}
		if r.evacuateAskedAt.IsZero() {
			r.evacuatingSince = now
			s.addEvent("close", "runner", id, "runs", len(r.runs))
		}
		r.evacuateAskedAt = now
		s.evacuating[r], s.touched[r] = true, true
	}
}

// endEvacuations makes runners usable again when nobody asks for their evacuation
// any more.
func (s *Scheduler) endEvacuations(now time.Time) {
	for r := range s.evacuating {
		if now.Sub(r.evacuateAskedAt) > evacuationTTL {
			r.evacuateAskedAt, r.evacuatingSince = time.Time{}, time.Time{}
			delete(s.evacuating, r)
			s.needsPlacement, s.touched[r] = true, true
			if r.missed == 0 {
				s.addEvent("reopen", "runner", r.info.ID)
			}
		}
	}
}

// evacuateRun stops a run on a runner under evacuation: a long-running task as
// soon as enough others of its step are serving, a short one when it takes too
// long, or when it can better resume elsewhere from its checkpoint. Members of a
// gang are left to end.
func (s *Scheduler) evacuateRun(r *runner, n *run, now time.Time) {
	if n.phase != running || n.step.rule.Gang {
		return
	}
	switch {
	case n.step.rule.LongRunning:
		if !s.mayStop(n, now) || !s.hasCapacityFor(n, now) {
			return
		}
	case now.Sub(r.evacuatingSince) >= shortTaskGrace:
	case s.isWorthMoving(n, now):
		s.spareCapacity -= n.step.rule.Need.CPU
		n.task().evicted = true
	default:
		return
	}
	n.evacuated = true
	s.markStopping(n, "evacuation", now)
}

// cancelEvacuation reports whether the stop of a long-running task that leaves its runner is not allowed any more, as other
// tasks of its step have gone away since it was decided. The run goes on then, unless a stop may be carried out already.
func (s *Scheduler) cancelEvacuation(n *run, now time.Time) bool {
	if !n.evacuated || !n.step.rule.LongRunning || n.isUnneeded() || n.stop.State() != effect.None {
		return false
	}
	if !n.runner.evacuateAskedAt.IsZero() && s.mayStop(n, now) {
		return false
	}
	n.phase, n.evacuated = running, false
	delete(s.stopping, n)
	s.addEvent("unevacuated", "runner", n.runner.info.ID, "batch", n.step.occurrence.batch.id, "step", n.step.index, "task", n.index,
		"run", n.number, "away", n.step.othersAway(n, now), "mayMiss", n.step.rule.MayMiss)
	return true
}

// Costs of moving a task that saves checkpoints.
const (
	// stopTime is about how long a stop takes: the order, and the report of the end.
	stopTime = 250 * time.Millisecond
	// minMoveRatio is the least ratio of a task's remaining time to the time of a
	// stop and a restore for which the task is moved.
	minMoveRatio = 2
)

// isWorthMoving reports whether a short task should be stopped and resumed
// elsewhere rather than waited for. Its host then becomes free for another pool
// seconds earlier. A shrinking pool evacuates one host after another, and a task is
// moved off only the first of them.
func (s *Scheduler) isWorthMoving(n *run, now time.Time) bool {
	if !n.step.rule.SavesCheckpoints || n.task().evicted {
		return false
	}
	if !s.spareKnown {
		s.spareCapacity, s.spareKnown = s.findSpareCapacity(now), true
	}
	if s.spareCapacity < n.step.rule.Need.CPU || !s.hasCapacityFor(n, now) {
		return false
	}
	estimate := time.Duration(float64(n.step.rule.Estimate)*s.estimates.factor(n.step.occurrence.batch.queue)) * time.Millisecond
	return estimate-now.Sub(n.startedAt) >= minMoveRatio*(stopTime+s.config.RestoreTime)
}

// findSpareCapacity returns the CPU of usable runners, in millicores, that is
// needed neither by runs, nor by pending tasks, nor by tasks that are being
// stopped.
func (s *Scheduler) findSpareCapacity(now time.Time) int {
	spare := 0
	for _, r := range s.runners {
		if s.isUsable(r, now) {
			spare += max(r.info.Capacity.CPU-r.used.CPU, 0)
		}
		for n := range r.runs {
			if n.phase == stopping {
				spare -= n.step.rule.Need.CPU
			}
		}
	}
	rooms := newHeadrooms(false)
	for st := range s.ready {
		spare -= rooms.take(st, st.pending) * allocation(st.rule).CPU
	}
	return spare
}

// servingPercent is the progress of a long-running task that serves its users.
const servingPercent = 100

// isServing reports whether a long-running task is known to serve its users. A run
// that a leader may have told to stop is listed as active until it has ended.
func isServing(n *run, now time.Time) bool {
	return n.phase == running && n.doubtedAt.IsZero() && n.percent >= servingPercent && n.runner.isResponsive(now)
}

// mayStop reports whether a long-running task may be stopped: fewer others of its
// step are away than its users tolerate.
func (s *Scheduler) mayStop(n *run, now time.Time) bool {
	limit := max(n.step.rule.MayMiss, 1)
	if limit > minWithoutReserve {
		limit-- // the leader's view lags by a heartbeat: one more may be away
	}
	return n.step.othersAway(n, now) < limit
}

// othersAway returns the number of tasks of a step, other than that of a run, that are not
// known to serve their users.
func (st *step) othersAway(n *run, now time.Time) int {
	away := 0
	for i := range st.tasks {
		t := &st.tasks[i]
		if i != n.index && (len(t.runs) == 0 || !isServing(t.runs[0], now)) {
			away++
		}
	}
	return away
}

// minWithoutReserve is the number of tasks that may be away up to which mayStop
// keeps no reserve for a further one whose absence the leader has not noticed yet:
// the limit is too low for a reserve.
const minWithoutReserve = 2

// hasCapacityFor reports whether another runner can take the task now, and the limit of its
// tenant lets it start again.
func (s *Scheduler) hasCapacityFor(n *run, now time.Time) bool {
	return n.step.occurrence.batch.tenant.isWithinShare() && s.chooseRunner(n.step, n.task(), s.usable(now), now) != nil
}
