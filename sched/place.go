package sched

import (
	"math"
	"slices"
	"time"

	glade "indigoglade"
)

// fullSpeedPercent is the speed of a task that is not throttled.
const fullSpeedPercent = 100

// heartbeatSlack is how much longer than its long poll a heartbeat may take
// before the runner gets no more work.
const heartbeatSlack = 500 * time.Millisecond

// isResponsive reports whether a runner has answered its last heartbeat, and is
// not late with the next answer.
func (r *runner) isResponsive(now time.Time) bool {
	return r.missed == 0 && now.Before(r.answerDue)
}

// isUsable reports whether new work may go to a runner. A runner that has just
// restarted needs a renewal of the leader row first, since it knows no fencing
// token (see runner.restartedAt).
func (s *Scheduler) isUsable(r *runner, now time.Time) bool {
	return r.listed && r.contacted && !r.info.Draining && r.evacuateAskedAt.IsZero() && r.registryGen > 0 && r.registryGen <= s.registryWritten &&
		(r.restartedAt.IsZero() || s.confirmedSince(r.restartedAt)) && r.isResponsive(now) && !now.Before(r.health.quarantinedUntil) && s.grantLease(r, now) > 0
}

// updateRegistry registers a runner, so that the row names it before it is used, and
// deregisters one that is leaving and runs nothing.
func (s *Scheduler) updateRegistry(r *runner) {
	id := r.info.ID
	leaving := !r.listed || !r.evacuateAskedAt.IsZero()
	if leaving && len(r.runs) == 0 && len(r.unwrittenEnds) == 0 && !r.isIncomplete && r.registryGen > 0 {
		// Nothing runs there and no end is unknown to the next leader, so that it need
		// not wait for the runner.
		s.deregister(id)
	}
	if leaving || !r.contacted || r.registryGen > 0 {
		return
	}
	r.registryGen = loadedRegistryGen
	if !s.registered[id] {
		s.registered[id] = true
		s.registryGen++
		r.registryGen = s.registryGen
	}
	s.needsPlacement = true
}

// deregister removes a runner from the registered ones.
func (s *Scheduler) deregister(id glade.RunnerID) {
	r, ok := s.runners[id]
	if s.registered[id] {
		if !ok || !r.contacted {
			s.recordLoss(id, "gone")
			s.losses.gone[id] = true
		}
		delete(s.registered, id)
		s.registryGen++
	}
	if ok {
		r.registryGen = 0
	}
}

// loadedRegistryGen is the registryGen of the row that the leader read at its
// takeover.
const loadedRegistryGen = 1

// place starts the pending tasks that there is room for, the most urgent first.
func (s *Scheduler) place(now time.Time) []Start {
	for b := range s.suspects {
		b.trialBlock = notVisited
	}
	all := s.usable(now)
	if len(all) == 0 || now.Before(s.awaitRunnersUntil) {
		return nil
	}
	if !s.prepareRanking(now) {
		s.needsPlacement = true
		return nil
	}
	defer s.endPass()
	occupied := s.trialRunners(now)
	all = without(all, occupied)
	unreserved := all
	// spared is the CPU that tenants beyond their share leave to the gangs of others that
	// found no room.
	spared, maxSpared, anyBeyond := 0, int(sparedShare*float64(s.pool())), s.anyBeyond()
	unknownRuns := s.anyUnknownRuns(now) || s.hidesAnyEnds()
	s.largestFree = math.MaxInt
	s.holdRoom(now)
	s.updateReserving(all, now)
	clear(s.blocked)
	rooms := newHeadrooms(false)
	var starts []Start
	for next := range s.nextRanks(now) {
		if next.step.occurrence.batch.inherited && unknownRuns {
			next.step.occurrence.batch.trialBlock = unknownRunsLeft
			continue
		}
		if s.isOnTrial(next.step.occurrence.batch) {
			before := len(occupied)
			starts = append(starts, s.placeOnTrial(next.step, s.usable(now), occupied, now)...)
			if len(occupied) > before {
				all, unreserved = without(all, occupied), without(unreserved, occupied)
			}
		} else if next.class != classLongRunning {
			if next.beyond && spared > 0 && !hasRoomBeside(next.step, spared, unreserved) {
				continue
			}
			starts = append(starts, s.placeStep(next.step, unreserved, now)...)
			if anyBeyond && spared < maxSpared && !next.beyond && next.class < classBeyond && next.step.rule.Gang && next.step.pending > 0 &&
				next.step.limitedSince.IsZero() && s.willHaveRoom(next.step, all, now) {
				spared = min(spared+next.startable*next.step.rule.Need.CPU, maxSpared)
			}
		} else {
			starts = append(starts, s.placeStep(next.step, all, now)...)
			if waited := s.awaitedRunners(next.step, rooms, unreserved, now); len(waited) > 0 {
				s.awaited = true
				unreserved = s.reserve(unreserved, waited)
			}
			if next.step.pending > 0 {
				s.logHopeless(next.step, all, now)
			}
		}
		if len(starts) >= maxStarts || !s.pace.isOpen() {
			s.needsPlacement = true
			break
		}
	}
	return append(starts, s.speculate(unreserved, now)...)
}

// sparedShare bounds the CPU that tenants beyond their share leave to gangs of others, as a
// share of the pool. Without any, small tasks take each gap in a full pool, and gangs wait
// until they are late. Leaving it to single tasks as well costs 7 % of what an overload of
// all tenants earns.
const sparedShare = 0.1

// hasRoomBeside reports whether a task or gang of a step leaves some CPU free.
func hasRoomBeside(st *step, spared int, usable []*runner) bool {
	free := -spared
	for _, r := range usable {
		free += max(r.info.Capacity.CPU-r.used.CPU, 0)
	}
	return free >= unit(st.rule).CPU
}

// utilization returns the allocated share of a runner's CPU or memory, whichever
// is higher.
func (r *runner) utilization() float64 {
	return max(float64(r.used.CPU)/float64(max(r.info.Capacity.CPU, 1)), float64(r.used.Memory)/float64(max(r.info.Capacity.Memory, 1)))
}

// maxStarts keeps one placement pass short. A pass ends after the step that
// reaches it.
const maxStarts = 256

// usable returns the runners that new work may go to, by id. The list is shared by all
// decisions of a step and must not be changed.
func (s *Scheduler) usable(now time.Time) []*runner {
	if s.usableKnown {
		return s.usableRunners
	}
	s.usableKnown, s.usableRunners = true, s.usableRunners[:0]
	for _, r := range s.ordered {
		if s.isUsable(r, now) {
			s.usableRunners = append(s.usableRunners, r)
		}
	}
	return s.usableRunners
}

// placeStep starts the pending tasks of a step as far as there is room.
func (s *Scheduler) placeStep(st *step, usable []*runner, now time.Time) []Start {
	if st.rule.Gang {
		return s.placeGang(st, usable, now)
	}
	if allocation(st.rule).CPU > s.largestFree {
		s.noteLimited(st, false, now)
		return nil
	}
	known := usable
	if st.rule.Label != "" && s.mayStart(st, 1) && st.duePending(now) > 0 {
		var ok bool
		if known, ok = s.ofKnownKind(st, usable, now); !ok {
			return nil
		}
	}
	var starts []Start
	limited := false
	for i := range st.tasks {
		t := &st.tasks[i]
		if t.done || len(t.runs) > 0 || now.Before(t.restartAt) || (!t.lostAt.IsZero() && !s.confirmedSince(t.lostAt)) {
			continue
		}
		if !s.pace.isOpen() {
			return starts
		}
		mayStart := s.mayStart(st, 1)
		if !mayStart && s.blocked[st.occurrence.batch.tenant] {
			limited = s.hasRunnerFor(st.rule) // there was room for an earlier step of the tenant
			break
		}
		r := s.chooseRunner(st, t, known, now)
		if mayStart && s.waitsForRack(st, t, r, usable, now) {
			continue // a task that its tenant's limit blocks waits for that alone
		}
		if r == nil {
			s.noteFull(usable)
			break
		}
		if !mayStart {
			limited, s.blocked[st.occurrence.batch.tenant] = true, true
			break
		}
		starts = append(starts, s.startRun(st, i, t.lastNumber+1, r, now))
	}
	s.noteLimited(st, limited, now)
	return starts
}

// noteFull records the largest free CPU of the usable runners, after a search for one
// has failed: later steps of the same pass that need more are not searched for.
func (s *Scheduler) noteFull(usable []*runner) {
	largest := 0
	for _, r := range usable {
		largest = max(largest, r.info.Capacity.CPU-r.used.CPU)
	}
	s.largestFree = min(s.largestFree, largest)
}

// chooseRunner returns the cheapest runner that can take a task, or nil.
func (s *Scheduler) chooseRunner(st *step, t *task, usable []*runner, now time.Time) *runner {
	var best *runner
	var bestCost float64
	need := allocation(st.rule)
	for _, r := range usable {
		free := r.info.Capacity.Minus(r.used)
		if !need.Fits(free) || !s.allows(r, st, now) {
			continue
		}
		cost := s.placementCost(r, st, t, free)
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best
}

// allows reports whether the step's label, spread and tickets permit a further
// run on the runner.
func (s *Scheduler) allows(r *runner, st *step, now time.Time) bool {
	return s.mayUse(r, st, now) && (st.rule.MaxPerRunner == 0 || r.runsOf(st) < st.rule.MaxPerRunner)
}

// mayUse reports whether the step's label and tickets permit runs on the runner.
func (s *Scheduler) mayUse(r *runner, st *step, now time.Time) bool {
	if st.rule.Label != "" && !r.hasLabel(st.rule.Label) {
		return false
	}
	if st.occurrence.batch.rule.NeedsAdvice {
		return st.hasTicket(r.info.ID, now)
	}
	return true
}

// hasLabel reports whether a runner is known to have a label. One that has restarted under its
// id may be of another kind, and the platform's list then still has the labels of before.
func (r *runner) hasLabel(label string) bool {
	return (r.info.Born == 0 || r.info.Born == r.incarnation) && slices.Contains(r.info.Labels, label)
}

// Placement penalties. For comparison, a runner with all of its CPU free costs 1.
const (
	otherRackCost    = 10.0 // the task's data is in another rack
	failedBeforeCost = 3.0  // the task failed on the runner before
)

// placementCost rates a runner for a task; lower is better. The fullest runner
// with room wins (best fit), so that whole runners stay free for large tasks and
// for moves to other pools.
func (s *Scheduler) placementCost(r *runner, st *step, t *task, free glade.Need) float64 {
	cost := float64(free.CPU) / float64(max(r.info.Capacity.CPU, 1))
	if st.rule.Rack != "" && r.info.Rack != st.rule.Rack {
		cost += otherRackCost
	}
	if slices.Contains(t.failedOn, r.info.ID) {
		cost += failedBeforeCost
	}
	return cost
}

// startRun assigns a new run to a runner and returns its start order.
func (s *Scheduler) startRun(st *step, index int, number int64, r *runner, now time.Time) Start {
	s.pace.take(startBytes(&st.occurrence.batch.work))
	return Start{run: s.assignRun(st, index, number, r, now)}
}

// runNumber returns the number on the wire of the run that is the number-th under this leader.
func (s *Scheduler) runNumber(number int64) int64 { return (s.config.Epoch-1)*runsPerEpoch + number }

// assignRun creates a run and allocates its resources on a runner. number counts
// the runs of the task from 1 under this leader.
func (s *Scheduler) assignRun(st *step, index int, number int64, r *runner, now time.Time) *run {
	t := &st.tasks[index]
	n := &run{
		step: st, index: index, number: s.runNumber(number), runner: r,
		phase: starting, startedAt: now, sendAt: now, incarnation: r.incarnation, progressedAt: now, speedPercent: fullSpeedPercent, leaseEnd: s.grantLease(r, now), checkpoint: t.checkpoint,
	}
	t.lastNumber = number
	if len(t.runs) == 0 {
		st.pending--
	}
	t.runs = append(t.runs, n)
	s.attach(n)
	r.leaseEnd = max(r.leaseEnd, n.leaseEnd)
	st.occurrence.batch.runs[n] = true
	return n
}
