package sched

import (
	"slices"
	"time"

	glade "indigoglade"
)

// placeGang starts all tasks of a gang, or none if there is no room for all.
func (s *Scheduler) placeGang(st *step, usable []*runner, now time.Time) []Start {
	number, ok := s.nextGangRun(st, now)
	if !ok {
		return nil
	}
	if !s.mayStart(st, len(st.tasks)) {
		hasRoom := s.freePlaces(st, usable, now) >= len(st.tasks)
		s.noteLimited(st, hasRoom, now)
		s.blocked[st.occurrence.batch.tenant] = s.blocked[st.occurrence.batch.tenant] || hasRoom
		return nil
	}
	s.noteLimited(st, false, now)
	known, ok := s.ofKnownKind(st, usable, now)
	if !ok {
		return nil
	}
	candidates := s.gangCandidates(st, known)
	for k, group := range candidates {
		isSpread := k == len(candidates)-1
		if isSpread && s.gangWaits(st, usable, now) {
			return nil
		}
		if s.freePlaces(st, group, now) < len(st.tasks) {
			continue
		}
		var placed []*run
		for i := range st.tasks {
			r := s.chooseRunner(st, &st.tasks[i], group, now)
			if r == nil {
				break
			}
			n := s.assignRun(st, i, number, r, now)
			n.checkpoint = st.checkpoint
			placed = append(placed, n)
		}
		if len(placed) < len(st.tasks) {
			for _, n := range placed {
				s.removeRun(n, now)
			}
			continue
		}
		s.gangPlaced(st, !isSpread, now)
		starts := make([]Start, 0, len(placed))
		for _, n := range placed {
			s.pace.take(startBytes(&st.occurrence.batch.work))
			starts = append(starts, Start{run: n})
		}
		return starts
	}
	return nil
}

// nextGangRun returns the number of the next run of all tasks of a gang. It returns false if one of
// them must not start now.
func (s *Scheduler) nextGangRun(st *step, now time.Time) (number int64, ok bool) {
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || len(t.runs) > 0 || now.Before(t.restartAt) || (!t.lostAt.IsZero() && !s.confirmedSince(t.lostAt)) {
			return 0, false
		}
		number = max(number, t.lastNumber+1)
	}
	return number, true
}

func hasGang(work glade.Batch) bool {
	return slices.ContainsFunc(work.Steps, func(st glade.Step) bool { return st.Gang })
}

// gangCandidates returns the sets of runners to try for a gang, the best first:
// each rack by itself if the gang is slow across racks, then all runners.
func (s *Scheduler) gangCandidates(st *step, usable []*runner) [][]*runner {
	if !st.rule.OneRack {
		return [][]*runner{usable}
	}
	racks := make(map[glade.Rack][]*runner)
	var names []glade.Rack
	for _, r := range usable {
		if racks[r.info.Rack] == nil {
			names = append(names, r.info.Rack)
		}
		racks[r.info.Rack] = append(racks[r.info.Rack], r)
	}
	var candidates [][]*runner
	for _, name := range names {
		candidates = append(candidates, racks[name])
	}
	return append(candidates, usable)
}

// stopPartialGangs stops the remaining runs of a gang after a start was refused
// or a run ended: they would wait for the missing members in vain. A gang whose
// other runs may be on runners that have not answered yet is left alone.
func (s *Scheduler) stopPartialGangs(now time.Time) {
	for st := range s.ready {
		if !st.rule.Gang || st.pending == 0 || st.pending == len(st.tasks) || (st.occurrence.batch.inherited && (s.anyUnknownRuns(now) || s.hidesAnyEnds())) {
			continue
		}
		for i := range st.tasks {
			for _, n := range st.tasks[i].runs {
				if n.phase == running {
					s.markStopping(n, "partial", now)
				}
			}
		}
	}
}

// failures counts the failed runs of a task. A gang fails as a whole, so that
// failures of its tasks under one run number count once.
func (st *step) failures(index int) int {
	if !st.rule.Gang {
		return len(st.tasks[index].failed)
	}
	failed := make(map[int64]bool)
	for i := range st.tasks {
		for _, run := range st.tasks[i].failed {
			failed[run] = true
		}
	}
	return len(failed)
}
