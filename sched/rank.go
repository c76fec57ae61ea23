package sched

import (
	"cmp"
	"slices"
	"time"
)

// criticalPath returns the estimated run time of the longest chain of dependent
// steps: of those that are not done, or of all steps if whole is set.
func (s *Sched) chain(o *round, whole bool) time.Duration {
	ends := make([]time.Duration, len(o.steps))
	longest := time.Duration(0)
	factor := s.learnt.of(o.batch.queue)
	for i, st := range o.steps {
		start := time.Duration(0)
		for _, j := range st.rule.After {
			if j < i {
				start = max(start, ends[j])
			}
		}
		ends[i] = start
		if whole || st.left > 0 {
			ends[i] += time.Duration(float64(st.rule.Estimate)*factor) * time.Millisecond
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// objective returns the target time from the submission of a batch to its end.
func (s *Sched) objective(b *batch) time.Duration {
	rule, ok := s.rules[b.queue]
	if !ok || len(b.rounds) == 0 {
		return 0
	}
	return time.Duration(float64(s.chain(b.rounds[0], true))*rule.Stretch) + rule.Slack
}

// lateFactor is the multiple of the objective after which a batch earns nothing.
const lateFactor = 3

// rank is the placement priority of a step: a lower class goes first, then a
// lower key.
type rank struct {
	step  *step
	class int
	key   time.Duration
	age   time.Duration
}

// Priority classes of steps, the highest first:
//
//   - long-running steps, whose users are without service until they restart
//   - steps of batches that have started and can meet their objective, so that the
//     work done for them is not lost
//   - some late steps that must start now, or their batches will earn nothing
//   - steps of batches that have not started and can meet their objective
//   - late steps
//   - steps of batches that will earn nothing
const (
	classLasting = iota
	classBegun
	classLast
	classFresh
	classLate
	classHopeless
)

// overloadBacklog is the work of batches that have not started, in time of the
// whole pool, above which the newest of them go first. In the order of slack, each
// batch of too long a queue would start just when its slack is used up, and all of
// them would be late.
const overloadTime = 350 * time.Millisecond

// Limits of late work that goes before work that can be in time. Without any, the
// newest batches of a long overload go first for so long that the oldest end too
// late to earn anything. With too much, all batches of an overload are late.
const (
	lastTime  = time.Second // before the latest useful start
	lastShare = 0.2         // of the pool's capacity
)

// ranked returns the ready steps with pending tasks, in the order of placement.
func (s *Sched) ranked(now time.Time) []rank {
	list := make([]rank, 0, len(s.open))
	waits := 0.0
	for st := range s.open {
		if st.idle == 0 {
			continue
		}
		next := s.rank(st, now)
		list = append(list, next)
		if next.class == classFresh {
			waits += float64(st.left*st.rule.Need.CPU) * float64(st.rule.Estimate) * s.learnt.of(st.round.batch.queue)
		}
	}
	pool := s.pool()
	if pool > 0 && waits/float64(pool) > float64(overloadTime.Milliseconds()) {
		for i := range list {
			if list[i].class == classFresh {
				list[i].key = list[i].age
			}
		}
	}
	slices.SortFunc(list, compareRanks)
	if s.promote(list, pool) {
		slices.SortFunc(list, compareRanks)
	}
	return list
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.key, b.key),
		cmp.Compare(a.step.round.batch.id, b.step.round.batch.id), cmp.Compare(a.step.index, b.step.index))
}

// promoteLate puts late steps whose latest useful start is near before steps that
// have not started, within lastChanceShare of the pool. It reports whether it has
// promoted any.
func (s *Sched) promote(list []rank, pool int) bool {
	room := int(lastShare*float64(pool)) - s.lastRoom()
	promoted := false
	for i := range list {
		next := &list[i]
		b := next.step.round.batch
		asks := next.step.idle * next.step.rule.Need.CPU
		if next.class != classLate || next.key > lastTime || (!b.lastChance && asks > room) {
			continue
		}
		if !b.lastChance {
			b.lastChance = true
			s.event("last chance", "batch", b.id, "queue", b.queue, "within", next.key.Milliseconds(), "room", room)
		}
		room -= asks
		next.class = classLast
		promoted = true
	}
	return promoted
}

// lastChanceUsage returns the CPU of the runs of promoted batches, in millicores.
func (s *Sched) lastRoom() int {
	sum := 0
	for b := range s.live {
		if b.lastChance {
			for n := range b.runs {
				sum += n.step.rule.Need.CPU
			}
		}
	}
	return sum
}

func (s *Sched) rank(st *step, now time.Time) rank {
	b := st.round.batch
	if st.rule.Lasting {
		return rank{step: st, class: classLasting, key: time.Duration(s.rules[b.queue].Priority)}
	}
	from := b.at
	if !st.round.due.IsZero() {
		from = st.round.due
	}
	objective := s.objective(b)
	slack := from.Add(objective).Sub(now) - s.chain(st.round, false)
	switch {
	case slack >= 0 && b.begun:
		return rank{step: st, class: classBegun, key: slack}
	case slack >= 0:
		return rank{step: st, class: classFresh, key: slack, age: now.Sub(from)}
	case slack >= -objective*(lateFactor-1):
		// Every late batch earns the same until lateFactor is reached: the one that
		// is closest to that goes first.
		return rank{step: st, class: classLate, key: slack + objective*(lateFactor-1)}
	}
	return rank{step: st, class: classHopeless, key: -slack}
}
