package sched

import (
	"iter"
	"slices"
	"time"
)

// ranking keeps the order of placement of many ready steps over several passes. To rank 100,000 steps
// takes a slow host longer than a start may be old when it is sent, and each pass starts only some.
type ranking struct {
	list []rank
	// urgent is the number of ranks at the head that each pass visits: long-running steps, which may
	// reserve runners, and suspect tasks.
	urgent int
	// next is where the next pass goes on.
	next int
	// usedAt is when the first pass used the list; zero before.
	usedAt time.Time
	// late holds the steps that have got pending tasks since the list was made.
	late map[*step]bool
}

const (
	// maxFreshRanks is the number of ready steps up to which each pass ranks them anew.
	maxFreshRanks = 8192
	// rankingTTL is how long a kept order is used.
	rankingTTL = time.Second
)

// prepareRanking finds the order of placement for a pass. It returns false if that took too long for
// starts of the same pass; the next one has the order.
func (s *Scheduler) prepareRanking(now time.Time) bool {
	r := &s.ranking
	if len(s.ready) <= maxFreshRanks {
		s.rankAll(now)
		return true
	}
	if r.usedAt.IsZero() && r.list != nil {
		r.usedAt = now
	}
	if r.list == nil || now.Sub(r.usedAt) >= rankingTTL {
		s.rankAll(now)
		return false
	}
	if r.next >= len(r.list) {
		r.next = r.urgent
	}
	return true
}

// rankAll ranks all ready steps.
func (s *Scheduler) rankAll(now time.Time) {
	s.ranking = ranking{list: s.ranked(now)}
	r := &s.ranking
	if len(s.ready) > maxFreshRanks {
		r.late = make(map[*step]bool)
	}
	s.stats.Ranked += int64(len(r.list))
	for r.urgent < len(r.list) && r.list[r.urgent].class <= classTrial {
		r.urgent++
	}
	r.next = r.urgent
}

// endPass forgets an order that is not kept.
func (s *Scheduler) endPass() {
	if s.ranking.late == nil {
		s.ranking = ranking{}
	}
}

// noteLate notes that a step has got a pending task.
func (s *Scheduler) noteLate(st *step) {
	if s.ranking.late != nil {
		s.ranking.late[st] = true
	}
}

// nextRanks returns the ranks that a pass visits, in the order of placement: those that are urgent, and
// the others from where the last pass has stopped. Those that are late come in between.
func (s *Scheduler) nextRanks(now time.Time) iter.Seq[rank] {
	r := &s.ranking
	late := s.lateRanks(now)
	return func(yield func(rank) bool) {
		visit := func(next rank) bool {
			for len(late) > 0 && compareRanks(late[0], next) < 0 {
				first := late[0]
				late = late[1:]
				if !yield(first) {
					return false
				}
			}
			return r.late[next.step] || !s.ready[next.step] || next.step.pending == 0 || yield(next)
		}
		for _, next := range r.list[:r.urgent] {
			if !visit(next) {
				return
			}
		}
		for ; r.next < len(r.list); r.next++ {
			if !visit(r.list[r.next]) {
				return
			}
		}
		for _, next := range late {
			if !yield(next) {
				return
			}
		}
	}
}

// lateRanks returns the ranks of late steps, in order.
func (s *Scheduler) lateRanks(now time.Time) []rank {
	var list []rank
	for st := range s.ranking.late {
		if !s.ready[st] || st.pending == 0 {
			delete(s.ranking.late, st)
			continue
		}
		list = append(list, s.startableRank(st, now))
	}
	slices.SortFunc(list, compareRanks)
	return list
}
