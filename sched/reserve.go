package sched

import (
	"cmp"
	"slices"
	"time"
)

// A long-running step that waits is in one of three states: there is room for it now; there will be
// once short tasks have ended; there will be none until something long-running ends, a runner comes
// or a limit changes. Only in the second are runners reserved, that is, kept from short tasks, which
// would otherwise take every gap in a full pool.

// maxLostWait is how long runners are reserved for a task whose lost run waits for a renewal of the
// leader row. Without one for so long, the store is down, and nobody knows when the task may start.
const maxLostWait = 2 * time.Second

// reservationTurn is how long runners are reserved, and then not, in turn, while less than half of
// the pool is in use: a short task on a reserved runner may run for minutes, and other steps would
// starve meanwhile. A step counts as starved after 3 s.
const reservationTurn = 2500 * time.Millisecond

// updateReserving finds whether runners are reserved in this placement pass. The turns are those of
// the pool: with turns of their own, several steps would reserve runners all the time.
func (s *Scheduler) updateReserving(usable []*runner, now time.Time) {
	used, capacity := 0, 0
	for _, r := range usable {
		used += r.used.CPU
		capacity += r.info.Capacity.CPU
	}
	switch {
	case 2*used >= capacity || !s.awaited:
		s.idleSince = time.Time{}
	case s.idleSince.IsZero():
		s.idleSince = now
	}
	s.reserving = s.idleSince.IsZero() || now.Sub(s.idleSince)/reservationTurn%2 == 0
	s.awaited = false
}

// reserve returns the usable runners without those that are awaited, if it is the turn in which they
// are reserved.
func (s *Scheduler) reserve(usable, awaited []*runner) []*runner {
	if !s.reserving || len(awaited) == 0 {
		return usable
	}
	return slices.DeleteFunc(slices.Clone(usable), func(r *runner) bool { return slices.Contains(awaited, r) })
}

// awaitedRunners returns the usable runners that pending tasks of a long-running step wait for. Steps
// are to be passed in the order of placement, each with the runners that those before leave: two gangs
// that have room only one after the other don't hold each other up.
func (s *Scheduler) awaitedRunners(st *step, rooms *headrooms, usable []*runner, now time.Time) []*runner {
	count := s.awaitingRoom(st, now)
	if st.rule.Gang {
		if count == 0 || !s.mayStart(st, len(st.tasks)) || rooms.take(st, len(st.tasks)) < len(st.tasks) {
			return nil
		}
		return s.gangRunners(st, usable, s.placesBesideLasting, now)
	}
	if count == 0 || !s.mayStart(st, 1) {
		return nil
	}
	return s.taskRunners(st, rooms.take(st, count), usable, now)
}

// awaitingRoom returns the number of pending tasks of a long-running step that wait for room alone. A
// gang waits as a whole, and not at all if a task of it is done.
func (s *Scheduler) awaitingRoom(st *step, now time.Time) int {
	count := 0
	for i := range st.tasks {
		t := &st.tasks[i]
		switch {
		case !t.done && len(t.runs) > 0: // members of a gang that has lost others are being stopped
		case !t.done && !now.Before(t.restartAt) && (t.lostAt.IsZero() || s.confirmedSince(t.lostAt) || now.Sub(t.lostAt) < maxLostWait):
			count++
		case st.rule.Gang:
			return 0
		}
	}
	return count
}

// taskRunners returns a runner for each of some tasks of a step that will have room once short tasks
// have ended: those with the least on them.
func (s *Scheduler) taskRunners(st *step, count int, usable []*runner, now time.Time) []*runner {
	var fitting []*runner
	for _, r := range usable {
		if s.allows(r, st, now) && allocation(st.rule).Fits(r.info.Capacity.Minus(r.lasting())) {
			fitting = append(fitting, r)
		}
	}
	if len(fitting) > count {
		sortByUtilization(fitting)
	}
	return fitting[:min(count, len(fitting))]
}

// gangRunners returns runners with places for a whole gang: those with the least on them, of one rack
// if the gang is slow across racks and one has room. It returns nil if all usable runners together
// have too few.
func (s *Scheduler) gangRunners(st *step, usable []*runner, placesOn func(*runner, *step, time.Time) int, now time.Time) []*runner {
	places := make(map[*runner]int)
	for _, r := range usable {
		if n := placesOn(r, st, now); n > 0 {
			places[r] = n
		}
	}
	for _, group := range s.gangCandidates(st, usable) {
		var fitting []*runner
		sum := 0
		for _, r := range group {
			if places[r] > 0 {
				fitting = append(fitting, r)
				sum += places[r]
			}
		}
		if sum < len(st.tasks) {
			continue
		}
		sortByUtilization(fitting)
		count, left := 0, len(st.tasks)
		for left > 0 {
			left -= places[fitting[count]]
			count++
		}
		return fitting[:count]
	}
	return nil
}

// placesBesideLasting returns how many members of a gang a runner can have at a time beside the
// long-running tasks of other steps.
func (s *Scheduler) placesBesideLasting(r *runner, st *step, now time.Time) int {
	if !s.mayUse(r, st, now) {
		return 0
	}
	free := r.info.Capacity
	for n := range r.runs {
		if n.step != st && n.step.rule.LongRunning {
			free = free.Minus(allocation(n.step.rule))
		}
	}
	most := len(st.tasks)
	if st.rule.MaxPerRunner > 0 {
		most = min(most, st.rule.MaxPerRunner)
	}
	need, places := allocation(st.rule), 0
	for places < most && need.Fits(free) {
		free = free.Minus(need)
		places++
	}
	return places
}

// willHaveRoom reports whether a task of a step, or all of a gang, has room once short tasks have ended.
func (s *Scheduler) willHaveRoom(st *step, usable []*runner, now time.Time) bool {
	if st.rule.Gang {
		return s.gangRunners(st, usable, s.placesBesideLasting, now) != nil
	}
	return len(s.taskRunners(st, 1, usable, now)) > 0
}

// hopelessLogPeriod is the least time between two reports of long-running steps that wait without hope.
const hopelessLogPeriod = 10 * time.Second

// logHopeless reports a long-running step that has no room until something long-running ends, a runner
// comes or a limit changes.
func (s *Scheduler) logHopeless(st *step, usable []*runner, now time.Time) {
	if now.Sub(s.hopelessLoggedAt) < hopelessLogPeriod || s.awaitingRoom(st, now) == 0 || s.willHaveRoom(st, usable, now) {
		return
	}
	s.hopelessLoggedAt = now
	places := 0
	for _, r := range usable {
		places += s.placesBesideLasting(r, st, now)
	}
	need := allocation(st.rule)
	s.addEvent("hopeless", "batch", st.occurrence.batch.id, "step", st.index, "gang", st.rule.Gang, "tasks", len(st.tasks), "pending", st.pending,
		"cpu", need.CPU, "memory", need.Memory, "label", st.rule.Label, "spread", st.rule.MaxPerRunner, "places", places, "runners", len(usable))
}

// hasRoom reports whether a task of a step fits on a runner now.
func hasRoom(r *runner, st *step) bool {
	return allocation(st.rule).Fits(r.info.Capacity.Minus(r.used))
}

// willHaveRoomOn reports whether a runner is reserved for a task of a long-running step, which fits
// there once short tasks have ended.
func (s *Scheduler) willHaveRoomOn(r *runner, st *step) bool {
	if !st.rule.LongRunning || !allocation(st.rule).Fits(r.info.Capacity.Minus(r.lasting())) {
		return false
	}
	s.awaited = true
	return s.reserving
}

// sortByUtilization orders runners by what is on them, the least first.
func sortByUtilization(runners []*runner) {
	slices.SortStableFunc(runners, func(a, b *runner) int { return cmp.Compare(a.utilization(), b.utilization()) })
}
