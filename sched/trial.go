package sched

import (
	"cmp"
	"slices"
	"time"
)

// A batch with a suspect task is on trial. Its tasks start alone, so that the crash of a
// runner tells which batch has brought it about: on a runner on which no run of another
// batch is young, which takes no other starts while the trial run is young, and on one
// runner at a time.

// Limits of trials.
const (
	// Trials occupy trialShare of the usable runners at a time, or idleTrialShare of those
	// that run nothing, whichever is more, and one at least.
	trialShare     = 0.2
	idleTrialShare = 0.5
	// A batch with nothing running for trialPatience may start a trial beyond that while less
	// than half of the pool is used, as long as trials occupy less than freeTrialShare of what
	// is free. Runners that have gone silent don't count then: a trial that crashes its runner
	// holds others up until that is noticed.
	trialPatience  = time.Second
	freeTrialShare = 0.5
	// trialSilence is how long a trial on a silent runner counts as one: as long as it takes
	// to learn that a crashed runner is gone.
	trialSilence = 2 * time.Second
	// maxTrialWriteWait is how long the start of a trial waits until its entry is stored.
	// While the store is down no other leader can take over, so that the entry in this
	// leader's memory counts.
	maxTrialWriteWait = time.Second
)

// hasTrial reports whether a trial is on a runner that has not been survived yet.
func (s *Scheduler) hasTrial(r *runner) bool {
	for n := range s.trials {
		if n.runner == r {
			return true
		}
	}
	return false
}

// isOnTrial reports whether tasks of a batch must start alone.
func (s *Scheduler) isOnTrial(b *batch) bool {
	if !s.suspects[b] {
		return false
	}
	if !b.state.IsFinal() {
		for _, o := range b.occurrences {
			for _, st := range o.steps {
				if slices.ContainsFunc(st.tasks, func(t task) bool { return t.isSuspect() }) {
					return true
				}
			}
		}
	}
	delete(s.suspects, b)
	return false
}

// trialRunners returns the runners that are occupied by trials, or kept free for the next
// ones, with the batches for which they are.
func (s *Scheduler) trialRunners(now time.Time) map[*runner]*batch {
	if len(s.suspects) == 0 {
		return nil
	}
	occupied := make(map[*runner]*batch)
	for n := range s.trials {
		if n.isTrialAt(now) && !n.runner.isLongSilent(now) {
			occupied[n.runner] = n.step.occurrence.batch
		}
	}
	for b := range s.suspects {
		if len(b.trialRunners) == 0 || !b.hasPendingSuspect() {
			continue
		}
		for _, r := range b.trialRunners {
			if occupied[r] == nil {
				occupied[r] = b
			}
		}
	}
	return occupied
}

// isLongSilent reports whether a runner has been silent for so long that it has hardly
// crashed.
func (r *runner) isLongSilent(now time.Time) bool {
	return !r.silentAt.IsZero() && now.Sub(r.silentAt) > trialSilence
}

// isTrialAt reports whether the trial of a run is not over, so that nothing else may start
// on its runner.
func (n *run) isTrialAt(now time.Time) bool { return n.untilEnd || n.isYoung(now) }

// isQuiet reports whether no run of other batches on a runner is young.
func (r *runner) isQuiet(b *batch, now time.Time) bool {
	for n := range r.runs {
		if n.step.occurrence.batch != b && n.isYoung(now) {
			return false
		}
	}
	return true
}

// without returns the runners that are not occupied by trials.
func without(runners []*runner, occupied map[*runner]*batch) []*runner {
	if len(occupied) == 0 {
		return runners
	}
	return slices.DeleteFunc(slices.Clone(runners), func(r *runner) bool { return occupied[r] != nil })
}

// placeOnTrial starts pending tasks of a step whose batch is on trial. Those that are not
// suspect wait until the suspect ones have survived.
func (s *Scheduler) placeOnTrial(st *step, usable []*runner, occupied map[*runner]*batch, now time.Time) []Start {
	b := st.occurrence.batch
	for n := range b.runs {
		if s.trials[n] && n.isTrialAt(now) {
			b.trialBlock = otherTrial
			return nil
		}
	}
	if !b.hasPendingSuspect() {
		return s.placeStep(st, without(usable, occupied), now)
	}
	indexes := st.pendingSuspects()
	for _, i := range indexes {
		if s.giveUpCrashLoop(st, i, now) { // earlier leaders have died before they could
			return nil
		}
	}
	if len(indexes) == 0 {
		return nil
	}
	if st.rule.Gang {
		return s.placeGangOnTrial(st, usable, occupied, now)
	}
	if !s.mayStart(st, 1) {
		b.trialRunners, b.trialBlock = nil, tenantLimit // a blocked trial keeps no runner free
		s.noteLimited(st, s.freePlaces(st, usable, now) > 0, now)
		return nil
	}
	s.noteLimited(st, false, now)
	r := s.chooseTrialRunner(st, usable, occupied, now)
	if r == nil {
		return nil
	}
	b.trialRunners, occupied[r] = []*runner{r}, b
	if !st.survived {
		indexes = st.mostSuspect(indexes)
	}
	if !s.isTrialStored(st, indexes, now) {
		b.trialBlock = entryNotStored
		return nil
	}
	if !r.isQuiet(b, now) {
		b.trialBlock = runnerNotQuiet
		return nil
	}
	if !hasRoom(r, st) {
		b.trialBlock = noRoom
		return nil
	}
	if known, _ := s.ofKnownKind(st, []*runner{r}, now); len(known) == 0 {
		b.trialBlock = kindNotKnown
		return nil
	}
	b.trialRunners, b.trialBlock = nil, leaderNotRenewed
	var starts []Start
	for _, i := range indexes {
		if t := &st.tasks[i]; t.lostAt.IsZero() || s.confirmedSince(t.lostAt) {
			if !allocation(st.rule).Fits(r.info.Capacity.Minus(r.used)) || !s.allows(r, st, now) || !s.pace.isOpen() || !s.mayStart(st, 1) {
				break
			}
			starts = append(starts, s.startTrial(s.startRun(st, i, t.lastNumber+1, r, now)))
		}
	}
	return starts
}

// placeGangOnTrial starts all tasks of a gang on quiet runners, or none. Runners with room for the
// gang are kept free until they are quiet: beside a stream of short tasks they never all are.
func (s *Scheduler) placeGangOnTrial(st *step, usable []*runner, occupied map[*runner]*batch, now time.Time) []Start {
	b := st.occurrence.batch
	others := slices.DeleteFunc(slices.Clone(usable), func(r *runner) bool { return occupied[r] != nil && occupied[r] != b })
	if !s.mayStart(st, len(st.tasks)) {
		b.trialRunners, b.trialBlock = nil, tenantLimit
		return s.placeGang(st, others, now)
	}
	var all []int
	for i := range st.tasks {
		all = append(all, i)
	}
	var starts []Start
	if s.isTrialStored(st, all, now) {
		b.trialBlock = noRoom
		starts = s.placeGang(st, slices.DeleteFunc(slices.Clone(others), func(r *runner) bool { return !r.isQuiet(b, now) }), now)
	} else {
		b.trialBlock = entryNotStored
	}
	for _, o := range starts {
		s.startTrial(o)
		occupied[o.run.runner] = b
	}
	if len(starts) > 0 {
		b.trialRunners = nil
		return starts
	}
	b.trialRunners = s.gangTrialRunners(st, others, now)
	for _, r := range b.trialRunners {
		occupied[r] = b
	}
	if len(b.trialRunners) > 0 && b.trialBlock == noRoom {
		b.trialBlock = runnerNotQuiet
	}
	return nil
}

// gangTrialRunners returns the runners to keep free for the trial of a gang: those that are kept
// already, if they have room for it, or others. It returns nil if all of them have too little.
func (s *Scheduler) gangTrialRunners(st *step, usable []*runner, now time.Time) []*runner {
	if _, ok := s.nextGangRun(st, now); !ok {
		return nil
	}
	kept := slices.DeleteFunc(slices.Clone(usable), func(r *runner) bool { return !slices.Contains(st.occurrence.batch.trialRunners, r) })
	for _, runners := range [][]*runner{kept, usable} {
		if chosen := s.gangRunners(st, runners, s.freePlacesOn, now); chosen != nil {
			return chosen
		}
		if st.rule.LongRunning {
			if chosen := s.gangRunners(st, runners, s.placesBesideLasting, now); chosen != nil {
				s.awaited = true
				if s.reserving {
					return chosen
				}
			}
		}
	}
	return nil
}

// startTrial marks a run as a trial.
func (s *Scheduler) startTrial(o Start) Start {
	o.run.untilEnd = o.run.task().crashesLate()
	s.trials[o.run] = true
	return o
}

// resumeTrial continues the trial of a run that an earlier leader started.
func (s *Scheduler) resumeTrial(n *run) {
	t := n.task()
	if i := slices.IndexFunc(t.crashes, func(c crash) bool { return c.run == n.number }); i >= 0 {
		t.crashes = append(slices.Delete(t.crashes, i, i+1), crash{run: n.number, pending: true})
		s.startTrial(Start{run: n})
	}
}

// hasPendingSuspect reports whether a suspect task of a ready step waits to be started.
func (b *batch) hasPendingSuspect() bool {
	for _, o := range b.occurrences {
		for _, st := range o.steps {
			if o.started && st.isReady() && len(st.pendingSuspects()) > 0 {
				return true
			}
		}
	}
	return false
}

// pendingSuspects returns the indexes of the suspect tasks that wait to be started.
func (st *step) pendingSuspects() []int {
	var indexes []int
	for i := range st.tasks {
		if t := &st.tasks[i]; len(t.runs) == 0 && t.isSuspect() {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// mostSuspect returns the one of several tasks with the most crashes.
func (st *step) mostSuspect(indexes []int) []int {
	return []int{slices.MaxFunc(indexes, func(a, b int) int {
		return cmp.Or(cmp.Compare(st.tasks[a].crashCount(), st.tasks[b].crashCount()), cmp.Compare(b, a))
	})}
}

// isTrialStored reports whether the entries of the next runs of tasks are stored, and adds
// those that are missing.
func (s *Scheduler) isTrialStored(st *step, indexes []int, now time.Time) bool {
	b := st.occurrence.batch
	number := int64(0)
	if st.rule.Gang {
		for i := range st.tasks {
			number = max(number, st.tasks[i].lastNumber+1)
		}
	}
	for _, i := range indexes {
		t := &st.tasks[i]
		next := crash{run: s.runNumber(max(number, t.lastNumber+1)), pending: true}
		if slices.Contains(t.crashes, next) {
			continue
		}
		t.crashes = append(slices.DeleteFunc(t.crashes, func(c crash) bool { return c.pending }), next)
		s.markChanged(b)
		b.trialGen, b.trialAskedAt = b.gen, now
	}
	return b.writtenGen >= b.trialGen || now.Sub(b.trialAskedAt) > maxTrialWriteWait
}

// chooseTrialRunner returns the runner for a trial: the one that was kept free for the
// batch, or the one with room that has the least on it, which the crash would take along. For a
// long-running task it may be one that will have room once short tasks have ended.
func (s *Scheduler) chooseTrialRunner(st *step, usable []*runner, occupied map[*runner]*batch, now time.Time) *runner {
	b := st.occurrence.batch
	fits := func(r *runner) bool {
		return (occupied[r] == nil || occupied[r] == b) && s.allows(r, st, now) && (hasRoom(r, st) || s.willHaveRoomOn(r, st))
	}
	if len(b.trialRunners) > 0 {
		if r := b.trialRunners[0]; slices.Contains(usable, r) && fits(r) {
			return r
		}
		b.trialRunners, b.trialBlock = nil, runnerLost // the next placement chooses another one
		return nil
	}
	if !s.mayTry(b, &st.tasks[st.mostSuspect(st.pendingSuspects())[0]], usable, occupied, now) {
		b.trialBlock = noPlace
		return nil
	}
	b.trialBlock = noRoom
	var best *runner
	for _, r := range usable {
		switch {
		case !fits(r):
		case best == nil, hasRoom(r, st) && !hasRoom(best, st), hasRoom(r, st) == hasRoom(best, st) && r.utilization() < best.utilization():
			best = r
		}
	}
	return best
}

// mayTry reports whether the trial of a task may occupy one more runner.
func (s *Scheduler) mayTry(b *batch, t *task, usable []*runner, occupied map[*runner]*batch, now time.Time) bool {
	idle, free, live := 0, 0.0, 0
	for _, r := range usable {
		if len(r.runs) == 0 {
			idle++
		}
		free += max(1-r.utilization(), 0)
		if occupied[r] != nil {
			live++
		}
	}
	if len(occupied) < trialPlaces(len(usable), idle) {
		return true
	}
	return len(b.runs) == 0 && now.Sub(t.readySince) >= trialPatience && 2*free > float64(len(usable)) && live < int(freeTrialShare*free)
}

// trialPlaces returns how many runners trials may occupy at a time, of a number of usable ones.
func trialPlaces(usable, idle int) int {
	return max(int(trialShare*float64(usable)), int(idleTrialShare*float64(idle)), 1)
}

// reviewTrials clears the tasks of trial runs that a runner lists as active after their
// trial.
func (s *Scheduler) reviewTrials(r *runner, now time.Time) {
	for n := range s.trials {
		if n.runner == r && n.phase == running && !n.isTrialAt(now) {
			s.clearSuspicion(n)
		}
	}
}
