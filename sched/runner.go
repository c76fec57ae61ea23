package sched

import (
	"cmp"
	"slices"
	"time"

	glade "indigoglade"
)

// runner is the leader's state of one runner.
type runner struct {
	info glade.RunnerInfo
	// largestCPU is the largest capacity that the runner has reported, in millicores.
	largestCPU int
	// listed means that the runner is in the platform's list.
	listed bool
	// contacted means that the runner has answered a heartbeat of this leader, and
	// thus refuses orders of earlier ones.
	contacted bool
	// isIncomplete means that the last answer did not list all runs that have ended there,
	// hidesEnds that none since the first one did: runs of an earlier leader may be missing.
	isIncomplete, hidesEnds bool
	// heartbeatInFlight is true until the last heartbeat is answered or has failed.
	heartbeatInFlight bool
	// incarnation is the start time of the runner's process, as the runner reports
	// it; 0 before its first answer.
	incarnation int64
	// clock is the runner's clock in milliseconds at clockAt, a time on the leader's
	// clock.
	clock   int64
	clockAt time.Time
	// leaseEnd is the latest lease end that may have reached the runner, on its clock.
	leaseEnd int64
	// lateLeasesUntil is until when starts and heartbeats of before the last restart may still bring leases on the earlier
	// clock, which the runner takes as the longest that it grants.
	lateLeasesUntil time.Time
	// lastAnswerAt is when the runner last accepted a heartbeat.
	lastAnswerAt time.Time
	// isUnasked means that the runner was not asked while it was not listed. It gets no work until it has answered.
	isUnasked bool
	// answerDue is the latest time at which the next heartbeat should be answered.
	answerDue time.Time
	// nextHeartbeat is the earliest time of the next heartbeat.
	nextHeartbeat time.Time
	// unheardAfterLease counts the heartbeats that were sent after the end of every lease and got
	// no answer or were refused, although this leader was punctual; after maxDelayedTime, all of them.
	unheardAfterLease int
	// probes is the number of probes in flight, probedAt when the last one was sent.
	probes   int
	probedAt time.Time
	// silentAt is when the runner went silent after its last answer, zero while it answers.
	silentAt time.Time
	// downAt is when the host was last reported as not up under this runner.
	downAt time.Time
	// aliveAt is the latest time at which an answer has shown that the runner was alive.
	aliveAt time.Time
	// heartbeatSentAt and heartbeatWait are those of the last heartbeat.
	heartbeatSentAt time.Time
	heartbeatWait   time.Duration
	// missed counts heartbeats in a row that were not answered or not accepted.
	missed int
	// processed is the number of the newest end report that was applied, written
	// that of the newest whose effects are stored, acked the one that the last
	// heartbeat acknowledged, and mostAcked the newest that any has.
	processed, written, acked, mostAcked int64
	unwrittenEnds                        []unwrittenEnd
	// restartedAt is when the current incarnation was first seen. A restarted runner
	// knows no fencing token, so that it accepts orders of a deposed leader that
	// does not know of its successor.
	restartedAt time.Time
	// rebornAt is when the runner was seen to have restarted under its id, so that a lease on the clock of before may count.
	rebornAt time.Time
	// maybeRestarted means that the runner may have restarted since its last answer, failedAt when that
	// was last noted.
	maybeRestarted bool
	failedAt       time.Time
	// kindSeenAt is when the newest heartbeat was sent that the present incarnation has answered.
	kindSeenAt time.Time
	// kindCheckInFlight is true until the last check of the runner's kind, sent at kindCheckedAt, is answered or
	// has failed. The next one is sent at nextKindCheck at the earliest.
	kindCheckInFlight            bool
	kindCheckedAt, nextKindCheck time.Time
	runs                         map[*run]bool
	// doubtful holds the runs that were given up without an answer to their start.
	doubtful []*run
	used     glade.Need
	// longRunningCPU is what long-running tasks reserve, in millicores.
	longRunningCPU int
	registryGen    int64 // the change of the registry that names the runner; 0 for none
	health         health
	// evacuateAskedAt is when the evacuation of the runner was last asked for,
	// evacuatingSince when it began; both are zero if there is none.
	evacuateAskedAt, evacuatingSince time.Time
}

// unwrittenEnd is an applied end report whose effects are not stored yet.
type unwrittenEnd struct {
	number int64
	batch  *batch
	gen    int64
}

// advanceWritten moves the newest end report that may be acknowledged past those
// whose effects are stored.
func (r *runner) advanceWritten() {
	for len(r.unwrittenEnds) > 0 {
		first := r.unwrittenEnds[0]
		if first.batch != nil && first.batch.writtenGen < first.gen {
			return
		}
		r.written = first.number
		r.unwrittenEnds = r.unwrittenEnds[1:]
	}
}

// remove detaches a run from the runner and frees its resources.
func (r *runner) remove(n *run) {
	if r.runs[n] {
		delete(r.runs, n)
		r.used = r.used.Minus(allocation(n.step.rule))
		if n.step.rule.LongRunning {
			r.longRunningCPU -= allocation(n.step.rule).CPU
		}
	}
}

func (r *runner) add(n *run) {
	r.runs[n] = true
	r.used = r.used.Plus(allocation(n.step.rule))
	if n.step.rule.LongRunning {
		r.longRunningCPU += allocation(n.step.rule).CPU
	}
}

// hasShortRuns reports whether a task that ends runs on the runner.
func (r *runner) hasShortRuns() bool {
	for n := range r.runs {
		if !n.step.rule.LongRunning {
			return true
		}
	}
	return false
}

// allocation returns the resources that a task of a step reserves on a runner. A
// task that uses only idle CPU reserves no CPU.
func allocation(rule *glade.Step) glade.Need {
	need := rule.Need
	if rule.Fills {
		need.CPU = 0
	}
	return need
}

// maxRunnersWait bounds the wait for a current list of runners. A leader without one for
// longer is cut off from the store, and goes on with the list that it has.
const maxRunnersWait = time.Second

// AwaitRunners makes the scheduler start nothing until the next list of runners, or until
// maxRunnersWait has passed: those of the present list may have shrunk since it was read.
func (s *Scheduler) AwaitRunners(now time.Time) { s.awaitRunnersUntil = now.Add(maxRunnersWait) }

// SetRunners replaces the platform's list of the service's runners. Runners that
// are no longer listed are forgotten once nothing can run there.
func (s *Scheduler) SetRunners(list []glade.RunnerInfo, now time.Time) {
	if !s.awaitRunnersUntil.IsZero() {
		s.awaitRunnersUntil, s.needsPlacement = time.Time{}, true
	}
	for _, r := range s.runners {
		r.listed = false
	}
	for _, info := range list {
		r := s.runner(info.ID)
		if r.info.Address != info.Address || r.info.Draining != info.Draining || r.info.Capacity != info.Capacity || !r.contacted {
			s.needsPlacement = true
		}
		if r.contacted && r.info.Capacity != info.Capacity {
			s.addEvent("resized", "runner", info.ID, "from", r.info.Capacity.CPU, "to", info.Capacity.CPU, "used", r.used.CPU)
		}
		r.info, r.listed = info, true
		r.largestCPU = max(r.largestCPU, info.Capacity.CPU)
		s.touched[r] = true
	}
	for id, r := range s.runners {
		r.dropOldDoubtful(now)
		if !r.listed && !r.heartbeatInFlight && r.probes == 0 && len(r.runs) == 0 && len(r.doubtful) == 0 && r.leasesExpired(now) && !s.mayHaveUnknownRuns(id, now) {
			s.addEvent("forgotten", "runner", id, "registered", s.registered[id], "contacted", r.contacted, "heard", sinceMillis(now, r.lastAnswerAt),
				"unwritten", len(r.unwrittenEnds), "born", r.incarnation)
			s.deregister(id)
			s.forget(r)
		}
	}
	s.updateInherited()
	s.updateSizes()
	s.reviewedAt = time.Time{} // of the runners that are no longer listed
}

// forget drops a runner on which nothing can run.
func (s *Scheduler) forget(r *runner) {
	id := r.info.ID
	delete(s.runners, id)
	s.ordered = slices.DeleteFunc(s.ordered, func(other *runner) bool { return other == r })
	for _, set := range []map[*runner]bool{s.touched, s.evacuating, s.idleBeat, s.overdue} {
		delete(set, r)
	}
}

func (s *Scheduler) runner(id glade.RunnerID) *runner {
	r, ok := s.runners[id]
	if !ok {
		r = &runner{info: glade.RunnerInfo{ID: id}, runs: make(map[*run]bool)}
		s.runners[id] = r
		i, _ := slices.BinarySearchFunc(s.ordered, id, func(other *runner, id glade.RunnerID) int { return cmp.Compare(other.info.ID, id) })
		s.ordered = slices.Insert(s.ordered, i, r)
		s.touched[r], s.idleBeat[r] = true, true
	}
	return r
}

// mayHaveUnknownRuns reports whether runs of an earlier leader may be active on a
// runner that has not answered this one yet.
func (s *Scheduler) mayHaveUnknownRuns(id glade.RunnerID, now time.Time) bool {
	r, ok := s.runners[id]
	return !s.inheritedLeasesOver(now) && s.registered[id] && !(ok && r.contacted) && r.registryGen == 0
}

// anyUnknownRuns reports whether runs of an earlier leader may be active on any
// runner that has not answered yet.
func (s *Scheduler) anyUnknownRuns(now time.Time) bool {
	if s.inheritedLeasesOver(now) {
		return false
	}
	for id := range s.registered {
		if s.mayHaveUnknownRuns(id, now) {
			return true
		}
	}
	return false
}

// HeartbeatAnswered processes the answer to a heartbeat that was sent at the
// given time. It returns false if the runner has seen a newer leader.
func (s *Scheduler) HeartbeatAnswered(id glade.RunnerID, sent time.Time, order glade.HeartbeatOrder, answer glade.HeartbeatAnswer, err error, now time.Time) bool {
	if order.Probe {
		s.probesInFlight--
	}
	r, ok := s.runners[id]
	if !ok {
		return true
	}
	if order.KindCheck {
		return s.kindChecked(r, sent, answer, err, now)
	}
	s.touched[r] = true
	if order.Probe {
		r.probes = max(r.probes-1, 0)
	} else {
		r.heartbeatInFlight = false
		s.idleBeat[r] = true
	}
	switch {
	case err == nil && answer.Refused == glade.RefusedFence:
		s.addEvent("fenced", "runner", id, "fence", order.Fence)
		return false
	case err == nil && answer.Refused == glade.RunAccepted:
		s.applyAnswer(r, sent, order, answer, now)
	default:
		s.recordUnheard(r, sent, order, err, now)
	}
	return true
}

// recordUnheard records that a heartbeat got no answer or was refused.
func (s *Scheduler) recordUnheard(r *runner, sent time.Time, order glade.HeartbeatOrder, err error, now time.Time) {
	// A refusal shows as well that this leader can learn nothing more from the runner.
	if r.leasesExpired(sent) && (now.Sub(s.delayedAt) > punctualTime || now.Sub(r.lapse()) > maxDelayedTime) {
		r.unheardAfterLease++
	}
	if order.Probe {
		return
	}
	if err != nil {
		r.maybeRestarted, r.failedAt = true, now
	}
	if r.lastAnswerAt.After(sent) { // a probe was answered meanwhile
		s.answerLostAt, r.nextHeartbeat = now, now
		return
	}
	if isPolled(sent, order.Wait, now) {
		r.noteAlive(now)
	}
	s.noteSilence(r, now)
	r.missed++
	if err != nil {
		leaving := len(r.runs) == 0 && !r.evacuateAskedAt.IsZero()
		if !leaving && (r.missed == 1 || r.missed%10 == 0) {
			s.addEvent("silent", "runner", r.info.ID, "missed", r.missed, "heard", sinceMillis(now, r.lastAnswerAt), "error", err.Error())
		}
		r.nextHeartbeat = sent.Add(min(time.Duration(r.missed)*heartbeatBackoff, maxHeartbeatBackoff))
		if leaving || r.missed > maxUnheard && !s.isHeard(r) {
			r.nextHeartbeat = sent.Add(leavingBackoff)
		}
		return
	}
	r.nextHeartbeat = now.Add(maxHeartbeatBackoff)
	if r.missed > maxUnheard && !s.isHeard(r) {
		r.nextHeartbeat = now.Add(leavingBackoff)
	}
}

// applyAnswer processes an accepted heartbeat.
func (s *Scheduler) applyAnswer(r *runner, sent time.Time, order glade.HeartbeatOrder, answer glade.HeartbeatAnswer, now time.Time) {
	// A time of day that was set back makes a later incarnation look older, but not to heartbeats that were sent since.
	if answer.Born < r.incarnation && !sent.After(r.lastAnswerAt) || answer.Born == r.incarnation && r.isOvertaken(answer) {
		return // by a later answer on another connection
	}
	if r.missed > 0 {
		s.addEvent("heard", "runner", r.info.ID, "missed", r.missed, "probe", order.Probe, "lease", r.leaseEnd-answer.Clock)
	}
	if r.missed > 0 || order.Probe {
		s.answerLostAt = now
	}
	if order.Probe {
		s.stats.Probed++
		r.nextHeartbeat = now
	}
	r.missed, r.unheardAfterLease, r.isUnasked = 0, 0, false
	if !order.Probe || sent.After(r.failedAt) {
		r.maybeRestarted = false
	}
	r.answerDue = now.Add(s.config.HeartbeatWait + heartbeatSlack)
	if r.incarnation != answer.Born {
		s.startIncarnation(r, answer, now)
	}
	r.lastAnswerAt, r.silentAt = now, time.Time{}
	r.noteAlive(now)
	r.noteKind(sent)
	r.clock, r.clockAt = answer.Clock, now
	if now.Before(r.lateLeasesUntil) {
		r.leaseEnd = max(r.leaseEnd, answer.Clock+s.config.MaxLease.Milliseconds())
	}
	if len(answer.Ended) > 0 {
		r.nextHeartbeat = now.Add(s.heartbeatPause(now))
	}
	first := !r.contacted
	r.contacted = true
	if first {
		s.needsPlacement = true
		if s.inherited.awaitsLongest {
			s.updateInherited()
		}
		if r.listed && !r.info.Draining && s.sizes.add(r) {
			s.noteSizes()
		}
		s.addEvent("held", "runner", r.info.ID, "running", len(answer.Running), "ended", len(answer.Ended),
			"registered", s.registered[r.info.ID], "born", answer.Born)
	}
	s.reportReturn(r, answer, now)
	s.recordCompleteness(r, len(answer.Ended), first, answer.Incomplete)
	s.applyRunning(r, answer.Running, sent, now)
	s.applyEnds(r, answer.Ended, now)
	s.giveUpMissing(r, sent, answer, now)
	s.reviewTrials(r, now)
	r.advanceWritten()
}

// isOvertaken reports whether an answer of the present incarnation is older than one that was applied. In the same
// millisecond, only a later one lists an end that was applied and is not acknowledged.
func (r *runner) isOvertaken(answer glade.HeartbeatAnswer) bool {
	if answer.Clock != r.clock || r.processed <= r.mostAcked || answer.Incomplete {
		return answer.Clock < r.clock
	}
	return !slices.ContainsFunc(answer.Ended, func(end glade.EndedRun) bool { return end.Seq == r.processed })
}

// Pauses before the next heartbeat after one that has reported ends. Runners whose tasks
// end some times a second are then asked less often and report several ends at once.
const (
	heartbeatSpacing    = 150 * time.Microsecond // for each runner of the service
	maxHeartbeatSpacing = 120 * time.Millisecond
	// overloadedSpacing is for an overloaded leader, which starts fewer tasks than its
	// runners have room for: it may learn later that one has ended.
	overloadedSpacing = 400 * time.Millisecond
)

// heartbeatPause returns the pause before the next heartbeat to a runner that has reported
// ends.
func (s *Scheduler) heartbeatPause(now time.Time) time.Duration {
	if s.pace.isOverloaded(now) {
		return overloadedSpacing
	}
	return min(time.Duration(len(s.ordered))*heartbeatSpacing, maxHeartbeatSpacing)
}

// Backoff between heartbeats to an unresponsive runner: heartbeatBackoff for each
// missed one, up to maxHeartbeatBackoff.
const (
	heartbeatBackoff    = 100 * time.Millisecond
	maxHeartbeatBackoff = 500 * time.Millisecond
	// leavingBackoff is for runners that were emptied: their hosts are moved, and the
	// platform lists the runners for some seconds more. It is also for those that have
	// not answered maxUnheard heartbeats and were never heard of.
	leavingBackoff = 2 * time.Second
	maxUnheard     = 5
)

func sinceMillis(now, then time.Time) int64 {
	if then.IsZero() {
		return -1
	}
	return now.Sub(then).Milliseconds()
}

// markStarted records that a task of a batch is known to have started.
func (s *Scheduler) markStarted(b *batch, now time.Time) {
	if !b.started {
		b.started, b.startedAt = true, now
	}
}

func (s *Scheduler) findTask(id glade.TaskID) (*step, *task) {
	b, ok := s.batches[id.Batch]
	if !ok || id.Occurrence < 0 || id.Occurrence >= len(b.occurrences) {
		return nil, nil
	}
	o := b.occurrences[id.Occurrence]
	if id.Step < 0 || id.Step >= len(o.steps) || id.Index < 0 || id.Index >= len(o.steps[id.Step].tasks) {
		return nil, nil
	}
	return o.steps[id.Step], &o.steps[id.Step].tasks[id.Index]
}

func (s *Scheduler) findRun(r *runner, id glade.TaskID, number int64) *run {
	_, t := s.findTask(id)
	if t == nil {
		return nil
	}
	for _, n := range t.runs {
		if n.number == number && n.runner == r {
			return n
		}
	}
	return nil
}
