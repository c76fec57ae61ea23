package sched

import (
	"cmp"
	"slices"
	"time"

	glade "indigoglade"
)

// criticalPath returns the estimated run time of the longest chain of dependent
// steps: of those that are not done, or of all steps if whole is set.
func (s *Scheduler) criticalPath(o *occurrence, whole bool) time.Duration {
	if o.path < 0 {
		o.path = o.longestChain(true)
	}
	path := o.path
	if !whole {
		if o.pathLeft < 0 {
			o.pathLeft = o.longestChain(false)
		}
		path = o.pathLeft
	}
	return time.Duration(path * s.estimates.factor(o.batch.queue) * float64(time.Millisecond))
}

// longestChain returns the longest chain of the estimates of dependent steps in
// milliseconds: of those that are not done, or of all steps if whole is set.
func (o *occurrence) longestChain(whole bool) float64 {
	return longestChain(o.batch.work.Steps, func(i int) bool { return whole || o.steps[i].left > 0 })
}

// longestChain returns the longest chain of the estimates of dependent steps in
// milliseconds, with those steps that count.
func longestChain(steps []glade.Step, counts func(i int) bool) float64 {
	ends := make([]float64, len(steps))
	longest := 0.0
	for i := range steps {
		for _, j := range steps[i].After {
			if j < i {
				ends[i] = max(ends[i], ends[j])
			}
		}
		if counts(i) {
			ends[i] += float64(steps[i].Estimate)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// objective returns the target time from the submission of a batch to its end.
func (s *Scheduler) objective(b *batch) time.Duration {
	if len(b.occurrences) == 0 {
		return 0
	}
	return objectiveOf(b.rule, s.criticalPath(b.occurrences[0], true))
}

// objectiveOf returns the target time of a batch whose longest chain takes path.
func objectiveOf(rule glade.QueueRule, path time.Duration) time.Duration {
	return time.Duration(float64(path)*rule.Stretch) + rule.Slack
}

// lateFactor is the multiple of the objective after which a batch earns nothing.
const lateFactor = 3

// rank is the placement priority of a step: a lower class goes first, then a
// lower key.
type rank struct {
	step  *step
	class int
	// crashes is set for classTrial only: the tasks with the fewest crashes are the least
	// likely to crash the next runner.
	crashes int
	key     time.Duration
	age     time.Duration // set for classNotStarted only
	// startable is the number of pending tasks that the limit of the tenant lets start.
	startable int
	// beyond means that the tenant has its share of the pool already.
	beyond bool
}

// Priority classes of steps, the highest first:
//
//   - long-running steps, whose users are without service until they restart
//   - suspect tasks: each trial clears its batch or ends it
//   - steps of batches that have started and can meet their objective, so that the
//     work done for them is not lost
//   - some late steps that must start now, or their batches will earn nothing
//   - steps of batches that have not started and can meet their objective
//   - those of tenants that have their share of a pool that is short
//   - late steps
//   - steps of batches that will earn nothing
//   - steps that wait for their tenant's limit
const (
	classLongRunning = iota
	classTrial
	classStarted
	classLastChance
	classNotStarted
	classBeyond
	classLate
	classWorthless
	classLimited
)

// overloadBacklog is the work of batches that have not started, in time of the
// whole pool, above which the newest of them go first. In the order of slack, each
// batch of too long a queue would start just when its slack is used up, and all of
// them would be late.
const overloadBacklog = 350 * time.Millisecond

// Limits of late work that goes before work that can be in time. Without any, the
// newest batches of a long overload go first for so long that the oldest end too
// late to earn anything. With too much, all batches of an overload are late.
const (
	lastChanceWindow = time.Second // before the latest useful start
	lastChanceShare  = 0.2         // of the pool's capacity
)

// ranked returns the ready steps with pending tasks, in the order of placement.
func (s *Scheduler) ranked(now time.Time) []rank {
	list := make([]rank, 0, len(s.ready))
	for st := range s.ready {
		if st.pending == 0 {
			continue
		}
		next := s.rank(st, now)
		if s.isOnTrial(st.occurrence.batch) && next.class != classLongRunning {
			if suspects := st.pendingSuspects(); len(suspects) > 0 {
				next.class, next.crashes = classTrial, st.tasks[st.mostSuspect(suspects)[0]].crashCount()
			}
		}
		next.startable = st.pending
		list = append(list, next)
	}
	s.updateShares(now)
	if slices.ContainsFunc(s.tenantsByName, (*tenant).isBounded) {
		slices.SortFunc(list, compareRanks)
		s.limitRanks(list)
		list = byClass(list)
	}
	waiting := 0.0
	for _, next := range list {
		if st := next.step; next.class == classNotStarted {
			left := st.left - st.pending + next.startable
			waiting += float64(left*st.rule.Need.CPU) * float64(st.rule.Estimate) * s.estimates.factor(st.occurrence.batch.queue)
		}
	}
	pool := s.pool()
	if pool > 0 && waiting/float64(pool) > float64(overloadBacklog.Milliseconds()) {
		for i := range list {
			if list[i].class == classNotStarted || list[i].class == classBeyond {
				list[i].key = list[i].age
			}
		}
	}
	slices.SortFunc(list, compareRanks)
	if s.promoteLate(list, pool) {
		slices.SortFunc(list, compareRanks)
	}
	return list
}

// byClass orders ranks by class and keeps their order within each: a list in which only
// classes have changed need not be sorted again.
func byClass(list []rank) []rank {
	ordered := make([]rank, 0, len(list))
	for class := range classLimited + 1 {
		for i := range list {
			if list[i].class == class {
				ordered = append(ordered, list[i])
			}
		}
	}
	return ordered
}

func compareRanks(a, b rank) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.crashes, b.crashes), cmp.Compare(a.key, b.key),
		cmp.Compare(a.step.occurrence.batch.id, b.step.occurrence.batch.id), cmp.Compare(a.step.index, b.step.index))
}

// promoteLate puts late steps whose latest useful start is near before steps that
// have not started, within lastChanceShare of the pool. It reports whether it has
// promoted any.
func (s *Scheduler) promoteLate(list []rank, pool int) bool {
	spare := int(lastChanceShare*float64(pool)) - s.lastChanceUsage()
	promoted := false
	for i := range list {
		next := &list[i]
		b := next.step.occurrence.batch
		need := next.needCPU()
		if next.class != classLate || next.beyond || next.key > lastChanceWindow || (!b.lastChance && need > spare) {
			continue
		}
		if !b.lastChance {
			b.lastChance = true
			s.addEvent("last chance", "batch", b.id, "queue", b.queue, "within", next.key.Milliseconds(), "room", spare)
		}
		spare -= need
		next.class = classLastChance
		promoted = true
	}
	return promoted
}

// lastChanceUsage returns the CPU of the runs of promoted batches, in millicores.
func (s *Scheduler) lastChanceUsage() int {
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

func (s *Scheduler) rank(st *step, now time.Time) rank {
	b := st.occurrence.batch
	if st.rule.LongRunning {
		return rank{step: st, class: classLongRunning, key: time.Duration(b.rule.Priority)}
	}
	start := st.occurrence.askedAt()
	objective := s.objective(b)
	slack := start.Add(objective).Sub(now) - s.criticalPath(st.occurrence, false)
	switch {
	case slack >= 0 && b.started:
		return rank{step: st, class: classStarted, key: slack}
	case slack >= 0:
		return rank{step: st, class: classNotStarted, key: slack, age: now.Sub(start)}
	case slack >= -objective*(lateFactor-1):
		// Every late batch earns the same until lateFactor is reached: the one that
		// is closest to that goes first.
		return rank{step: st, class: classLate, key: slack + objective*(lateFactor-1)}
	}
	return rank{step: st, class: classWorthless, key: -slack}
}
