package sched

import (
	"time"

	glade "indigoglade"
)

// planWait returns the best wait for one of several racks, of the given length at most, and
// what it was decided from.
func (s *Scheduler) planWait(st *step, racks []glade.Rack, usable []*runner, longest time.Duration, now time.Time) (glade.Rack, waitPlan, waitCase) {
	var rack glade.Rack
	var plan waitPlan
	var inputs waitCase
	rule := st.rule
	known := s.timesOf(st)
	if known == nil || rule.LongRunning || rule.Fills || rule.Estimate <= 0 || rule.Need.CPU <= 0 {
		return rack, plan, inputs
	}
	next := s.rank(st, now)
	if next.class != classStarted && next.class != classNotStarted {
		return rack, plan, inputs
	}
	farther := (s.config.RemoteFactor - 1) * float64(declaredTime(rule))
	distance := time.Duration(farther * known.Mean())
	limit, isLate := waitLimit(next.key, distance, time.Duration(farther*known.Quantile(0.5)), time.Duration(farther*known.Quantile(cautiousShare)))
	limit = min(limit, longest)
	if limit <= 0 {
		return rack, plan, inputs
	}
	for _, candidate := range racks {
		if s.waits.examined >= maxExamined {
			break
		}
		c, ok := s.waitCase(st, candidate, usable, now)
		if !ok {
			continue
		}
		c.distance, c.limit = distance, limit
		if isLate {
			c.inTime = known.EndsWithin(time.Duration(farther), 0, next.key)
		}
		c.chances = s.chances(st, candidate, limit, c.places, usable, now)
		if p := s.waits.decide(c); p.length > 0 && (plan.length == 0 || p.gain > plan.gain) {
			rack, plan, inputs = candidate, p, c
		}
	}
	return rack, plan, inputs
}

// waitCase returns what decides about a wait for a rack, apart from distance, limit and
// runners. It returns false if the rack has no usable runner, or if as much waits for it as
// may.
func (s *Scheduler) waitCase(st *step, rack glade.Rack, usable []*runner, now time.Time) (waitCase, bool) {
	capacity := rackCapacity(usable, []glade.Rack{rack})
	tasks := 1
	if st.rule.Gang {
		tasks = len(st.tasks)
	}
	need, ahead := st.rule.Need.CPU, s.waits.ahead[rack]
	if capacity <= 0 || (ahead > 0 && float64(ahead+tasks*need) > s.waits.waitingShare*float64(capacity)) {
		return waitCase{}, false
	}
	claimed, own := 0.0, 0.0
	if s.ready[st] {
		own = float64(st.pending*need) / float64(max(s.pool(), 1))
	}
	if l, ok := s.waits.loads[rack]; ok {
		load := l.now(now)
		if at, ok := s.waits.counted[st]; ok && st.rule.Rack == rack {
			counted := rackLoad{load: s.rackWork(st) / float64(rackLoadWindow), at: at}
			load -= counted.now(now)
		}
		claimed = claimedShare(max(load, 0)/float64(need), capacity/need)
	}
	return waitCase{
		places: tasks + (ahead+need-1)/need, claimed: claimed, shortage: max(s.waits.shortage-own, 0),
		reach: s.waits.reachNow(reachKey{rack: rack, gang: st.rule.Gang}, now),
	}, true
}

// rackChances are the chances of a step in a rack, as of one placement pass. The tasks of
// a step share them.
type rackChances struct {
	step   *step
	rack   glade.Rack
	limit  time.Duration
	places int
	passAt time.Time
	values [waitSteps][]float64
}

// chances returns the probabilities of places for a step to be free in a rack, of as many as
// are asked for at least.
func (s *Scheduler) chances(st *step, rack glade.Rack, limit time.Duration, places int, usable []*runner, now time.Time) [waitSteps][]float64 {
	last := &s.waits.last
	if last.step == st && last.rack == rack && last.limit == limit && last.places >= places && last.passAt.Equal(now) {
		return last.values
	}
	places += len(st.tasks) // for those that follow
	var runners []freeing
	for _, r := range usable {
		if r.info.Rack != rack || !s.allows(r, st, now) {
			continue
		}
		runs := make([]endingRun, 0, len(r.runs))
		for n := range r.runs {
			if !n.step.rule.LongRunning {
				runs = append(runs, s.endingRun(n, now))
			}
		}
		s.waits.examined += len(runs)
		runners = append(runners, newFreeing(runs, r.info.Capacity.Minus(r.used), allocation(st.rule), min(places, s.mostOn(r, st)), limit))
	}
	*last = rackChances{step: st, rack: rack, limit: limit, places: places, passAt: now, values: chancesWithin(runners, limit)}
	return last.values
}

func (s *Scheduler) endingRun(n *run, now time.Time) endingRun {
	need, rule := allocation(n.step.rule), n.step.rule
	if n.phase == stopping {
		return endingRun{need: need, stopTime: max(s.config.StopTimeout, time.Millisecond)}
	}
	if rule.Estimate <= 0 {
		return endingRun{need: need}
	}
	return newEndingRun(need, s.timesOf(n.step), time.Duration(float64(declaredTime(rule))*s.distanceFactor(n)), now.Sub(n.startedAt))
}

// rackCapacity returns the capacity of the usable runners of racks for tasks that end, in
// millicores.
func rackCapacity(usable []*runner, racks []glade.Rack) int {
	sum := 0
	for _, r := range usable {
		for _, rack := range racks {
			if r.info.Rack == rack {
				sum += max(r.info.Capacity.CPU-r.longRunningCPU, 0)
			}
		}
	}
	return sum
}
