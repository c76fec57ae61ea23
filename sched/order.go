package sched

import (
	"cmp"
	"slices"
	"time"
)

// chain returns the longest chain of work of the steps that are not done.
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

// objective is the time from the first send in which a batch should be done.
func (s *Sched) objective(b *batch) time.Duration {
	rule, ok := s.rules[b.queue]
	if !ok || len(b.rounds) == 0 {
		return 0
	}
	return time.Duration(float64(s.chain(b.rounds[0], true))*rule.Stretch) + rule.Slack
}

// lateFactor times the objective is when a batch earns nothing more.
const lateFactor = 3

// rank orders steps: a lower class first, then a lower key.
type rank struct {
	step  *step
	class int
	key   time.Duration
	age   time.Duration
}

// Classes of steps. What lasts is restarted first, because it is missed by its
// own users all the while; then what has begun and can be in time, so that the
// work done for it is not lost; then some of what is late and has to begin now,
// or it will have been in vain; then what can still begin in time; what can't
// waits for all of these.
const (
	classLasting = iota
	classBegun
	classLast
	classFresh
	classLate
	classHopeless
)

// overloadTime is the work that waits to begin, in time of the whole pool, from
// which the newest batches go first. In the order of slack each batch of a queue
// that is too long would begin when its slack is gone, and all would be late.
const overloadTime = 350 * time.Millisecond

// Bounds of late work that goes before work that can be in time. Without it, the
// newest batches of a long turn go first for so long that the oldest end when
// nobody wants them any more; with too much of it, all batches of an overload
// are late.
const (
	lastTime  = time.Second // before the last moment to begin
	lastShare = 0.2         // of the pool
)

// ranked returns the open steps with idle tasks in the order of placement.
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

// promote puts late steps whose last moment to begin is near before fresh ones,
// as far as their share of the pool goes.
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

// lastRoom returns the room that batches with a last chance have taken.
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
		// Each late batch earns the same, until it is too late for that: those that
		// are next to be go first.
		return rank{step: st, class: classLate, key: slack + objective*(lateFactor-1)}
	}
	return rank{step: st, class: classHopeless, key: -slack}
}
