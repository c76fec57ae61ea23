package sched

import (
	"time"

	glade "indigoglade"
)

// runner is one runner as the lead knows it.
type runner struct {
	info   glade.RunnerInfo
	listed bool
	// held means that it answered a hold under our fence.
	held    bool
	holding bool
	born    int64
	// clock is its clock as of clockAt on ours.
	clock   int64
	clockAt time.Time
	// until is the newest lease that may have reached it, on its clock.
	until int64
	heard time.Time
	// answerBy is when the next hold should be answered at the latest.
	answerBy time.Time
	// next is when it may be held again, and missed how often in a row a hold
	// was not answered.
	next   time.Time
	missed int
	// processed is the newest end that was taken up, seen the newest whose
	// consequences are written, told the one that the last hold carried.
	processed, seen, told int64
	unwritten             []unwritten
	// rebornAt is when its life was first seen. A new life knows no fence, so that
	// it takes orders of a lead that was deposed and has not heard of it.
	rebornAt time.Time
	// doubtful means that it may have begun a new life since it was last heard.
	doubtful bool
	runs     map[*run]bool
	used     glade.Need
	crewGen  int64 // its place in the crew is written with this change
	health   health
	// closing is when the runner was last asked to be emptied, closed since when.
	closing, closed time.Time
}

// unwritten is an end whose consequences wait to be written.
type unwritten struct {
	number int64
	batch  *batch
	gen    int64
}

// Clocks of runners may be 2 % slow (the platform's bound). The margin covers
// the rounding of both clocks.
const (
	slowClock   = 1.025
	leaseMargin = 50 * time.Millisecond
)

// advance moves the newest end that may be forgotten.
func (r *runner) advance() {
	for len(r.unwritten) > 0 {
		first := r.unwritten[0]
		if first.batch != nil && first.batch.saved < first.gen {
			return
		}
		r.seen = first.number
		r.unwritten = r.unwritten[1:]
	}
}

// drop forgets a run and frees its room.
func (r *runner) drop(n *run) {
	if r.runs[n] {
		delete(r.runs, n)
		r.used = r.used.Minus(charged(n.step.rule))
	}
}

func (r *runner) add(n *run) {
	r.runs[n] = true
	r.used = r.used.Plus(charged(n.step.rule))
}

// charged returns what a task of a step takes of a runner's room.
func charged(rule *glade.Step) glade.Need {
	need := rule.Need
	if rule.Fills {
		need.CPU = 0
	}
	return need
}

// lapsed tells whether every lease on the runner has certainly ended.
func (r *runner) lapsed(now time.Time) bool {
	if r.clockAt.IsZero() {
		return r.until == 0
	}
	return now.After(r.lapse())
}

// lapse returns when every lease that this lead gave on the runner has ended.
func (r *runner) lapse() time.Time {
	left := time.Duration(float64(r.until-r.clock)*slowClock) * time.Millisecond
	return r.clockAt.Add(left + leaseMargin)
}

// clockNow estimates the runner's clock; the estimate may be ahead by 2 % of
// the time since the last answer.
func (r *runner) clockNow(now time.Time) int64 {
	return r.clock + now.Sub(r.clockAt).Milliseconds()
}

// lease returns the end of a lease given now on the runner's clock, and 0 when
// none may be given.
func (s *Sched) lease(r *runner, now time.Time) int64 {
	if r.clockAt.IsZero() {
		return 0
	}
	length := min(s.config.Lease, s.config.HoldMax, s.config.Reach-now.Sub(s.renewed))
	if length <= 0 {
		return 0
	}
	return r.clockNow(now) + length.Milliseconds()
}

// SetRunners takes over the platform's list of the service's runners.
func (s *Sched) SetRunners(list []glade.RunnerInfo, now time.Time) {
	for _, r := range s.runners {
		r.listed = false
	}
	for _, info := range list {
		r := s.runner(info.ID)
		if r.info.Address != info.Address || r.info.Draining != info.Draining || !r.held {
			s.moved = true
		}
		r.info, r.listed = info, true
	}
	for id, r := range s.runners {
		if !r.listed && !r.holding && len(r.runs) == 0 && r.lapsed(now) && !s.isBlind(id, now) {
			s.dismiss(id)
			delete(s.runners, id)
		}
	}
}

func (s *Sched) runner(id glade.RunnerID) *runner {
	r, ok := s.runners[id]
	if !ok {
		r = &runner{info: glade.RunnerInfo{ID: id}, runs: make(map[*run]bool)}
		s.runners[id] = r
	}
	return r
}

// LoadCrew takes over the runners that the earlier lead may have used.
func (s *Sched) LoadCrew(ids []glade.RunnerID) {
	for _, id := range ids {
		s.crew[id] = true
		s.runner(id)
	}
}

// isBlind tells whether an earlier lead's runs may be on a runner that has not
// answered us yet.
func (s *Sched) isBlind(id glade.RunnerID, now time.Time) bool {
	r, ok := s.runners[id]
	if !s.crew[id] || (ok && r.held) || r.crewGen > 0 {
		return false
	}
	return now.Sub(s.taken) <= time.Duration(float64(s.config.Reach)*slowClock)+leaseMargin
}

// anyBlind tells whether an earlier lead's runs may be anywhere out of sight.
func (s *Sched) anyBlind(now time.Time) bool {
	for id := range s.crew {
		if s.isBlind(id, now) {
			return true
		}
	}
	return false
}

// goneAfter is how long a runner must have been silent when the inventory was
// read before its word that the runner is gone is taken: the inventory lags, and
// so does a new runner.
const goneAfter = 700 * time.Millisecond

// Gone takes over the inventory's word, as of a time, that runners are no more.
// It counts only for those that were silent by then: one that came later is not
// in the inventory either.
func (s *Sched) Gone(ids []glade.RunnerID, asOf, now time.Time) {
	for _, id := range ids {
		r, ok := s.runners[id]
		if !ok || (r.held && (r.missed == 0 || asOf.Sub(r.heard) < goneAfter)) {
			continue
		}
		if !r.held && asOf.Sub(s.taken) < goneAfter {
			continue
		}
		given := s.giveUpRuns(r, now)
		if given > 0 || s.isBlind(id, now) {
			s.event("gone", "runner", id, "runs", given, "heard", sinceMillis(now, r.heard))
			s.moved = true
		}
		if len(r.runs) == 0 {
			s.dismiss(id)
		}
	}
}

// Held takes over the answer of a hold that was sent at a time. It returns
// false when a newer lead was met.
func (s *Sched) Held(id glade.RunnerID, sent time.Time, order glade.HoldOrder, answer glade.HoldAnswer, err error, now time.Time) bool {
	r, ok := s.runners[id]
	if !ok {
		return true
	}
	r.holding = false
	if err != nil {
		r.missed++
		if r.missed == 1 || r.missed%10 == 0 {
			s.event("silent", "runner", id, "missed", r.missed, "heard", sinceMillis(now, r.heard), "error", err.Error())
		}
		r.next = sent.Add(min(time.Duration(r.missed)*holdBackoff, maxHoldBackoff))
		return true
	}
	if answer.Refused == glade.RefusedFence {
		s.event("fenced", "runner", id, "fence", order.Fence)
		return false
	}
	if answer.Refused != glade.RunAccepted {
		r.missed++
		r.next = now.Add(maxHoldBackoff)
		return true
	}
	if r.missed > 0 {
		s.event("heard", "runner", id, "missed", r.missed)
	}
	r.missed, r.heard, r.doubtful = 0, now, false
	r.answerBy = now.Add(s.config.Look + heardSlack)
	if r.born != answer.Born {
		s.reborn(r, answer, now)
	}
	r.clock, r.clockAt = answer.Clock, now
	first := !r.held
	r.held = true
	if first {
		s.moved = true
		s.event("held", "runner", id, "running", len(answer.Running), "ended", len(answer.Ended))
	}
	s.readRunning(r, answer.Running, now)
	s.readEnded(r, answer.Ended, now)
	s.findMissing(r, sent, answer, now)
	r.advance()
	return true
}

// Pauses between holds of a runner that does not answer.
const (
	holdBackoff    = 100 * time.Millisecond
	maxHoldBackoff = 500 * time.Millisecond
)

func sinceMillis(now, then time.Time) int64 {
	if then.IsZero() {
		return -1
	}
	return now.Sub(then).Milliseconds()
}

// reborn starts a runner's numbers anew: a new life knows nothing of before.
// Runs that it does not list are found missing.
func (s *Sched) reborn(r *runner, answer glade.HoldAnswer, now time.Time) {
	first := r.born == 0
	r.rebornAt = now
	if !first {
		s.event("reborn", "runner", r.info.ID, "runs", len(r.runs), "born", answer.Born)
	}
	r.born = answer.Born
	r.processed, r.seen, r.told, r.unwritten = 0, 0, 0, nil
	// Its clock starts anew, so that a start that was meant for an earlier life
	// gets the longest lease there is. At a first sight only an earlier lead's
	// leases count.
	length := s.config.HoldMax
	if first {
		length = s.config.Lease
	}
	r.until = answer.Clock + length.Milliseconds()
	r.health = health{}
}

// readRunning takes over what a runner lists as running.
func (s *Sched) readRunning(r *runner, list []glade.ActiveRun, now time.Time) {
	for _, active := range list {
		n := s.findRun(r, active.Task, active.Run)
		if n == nil {
			n = s.adopt(r, active, now)
		}
		if n == nil {
			continue
		}
		if n.phase == starting || n.phase == unsure {
			n.phase = running
			n.settled = now
			s.noteBegun(n.step.round.batch)
		}
		if active.Percent != n.percent {
			n.percent, n.moved = active.Percent, now
		}
		n.figure = active.Figure
		if active.Saved != "" {
			n.saved = active.Saved
			n.task().saved, n.step.saved = active.Saved, active.Saved
		}
	}
}

func (s *Sched) noteBegun(b *batch) { b.begun = true }

func (s *Sched) findTask(id glade.TaskID) (*step, *task) {
	b, ok := s.batches[id.Batch]
	if !ok || id.Occurrence < 0 || id.Occurrence >= len(b.rounds) {
		return nil, nil
	}
	o := b.rounds[id.Occurrence]
	if id.Step < 0 || id.Step >= len(o.steps) || id.Index < 0 || id.Index >= len(o.steps[id.Step].tasks) {
		return nil, nil
	}
	return o.steps[id.Step], &o.steps[id.Step].tasks[id.Index]
}

func (s *Sched) findRun(r *runner, id glade.TaskID, number int64) *run {
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

// adopt takes over a run that an earlier lead started. One that is not wanted
// is stopped.
func (s *Sched) adopt(r *runner, active glade.ActiveRun, now time.Time) *run {
	st, t := s.findTask(active.Task)
	if t == nil {
		s.event("stray", "runner", r.info.ID, "batch", active.Task.Batch, "run", active.Run)
		return nil
	}
	n := &run{
		step: st, index: active.Task.Index, number: active.Run, runner: r, phase: running, settled: now,
		sent: now, moved: now, pace: fullPace, until: r.until,
	}
	if len(t.runs) == 0 && !t.done {
		st.idle--
	}
	unwanted := t.done || len(t.runs) > 0 || st.round.batch.state.Over()
	t.runs = append(t.runs, n)
	t.next = max(t.next, active.Run-(s.config.Epoch-1)*runsPerEpoch)
	r.add(n)
	st.round.batch.runs[n] = true
	if unwanted {
		n.phase = stopping
	}
	return n
}

// findMissing gives up runs that the runner should list and does not.
func (s *Sched) findMissing(r *runner, sent time.Time, answer glade.HoldAnswer, now time.Time) {
	listed := make(map[*run]bool, len(answer.Running))
	for _, active := range answer.Running {
		if n := s.findRun(r, active.Task, active.Run); n != nil {
			listed[n] = true
		}
	}
	for n := range r.runs {
		if listed[n] || (n.calling && n.phase == starting) {
			continue
		}
		settled := n.phase != unsure && !n.settled.IsZero() && n.settled.Before(sent)
		late := n.phase != starting && n.until > 0 && answer.Clock > n.until && n.settled.IsZero()
		if settled || late {
			s.stats.Lost++
			s.event("lost", "runner", r.info.ID, "batch", n.step.round.batch.id, "step", n.step.index,
				"task", n.index, "run", n.number, "phase", int(n.phase))
			n.task().lostAt = now
			s.unplace(n, now)
		}
	}
}

// giveUpRuns takes every run off a runner, but for those with an order under way,
// and returns how many there were.
func (s *Sched) giveUpRuns(r *runner, now time.Time) int {
	given := 0
	for n := range r.runs {
		if !n.calling {
			given++
			s.unplace(n, now)
		}
	}
	return given
}

// lapse gives up what ran on runners whose leases have ended. A newer lead may
// have renewed them meanwhile, so that the own lead must have been confirmed
// after their end.
func (s *Sched) lapse(now time.Time) {
	for _, r := range s.runners {
		if len(r.runs) == 0 || !r.lapsed(now) || !s.confirmed(r.lapse()) {
			continue
		}
		if given := s.giveUpRuns(r, now); given > 0 {
			s.stats.Lapsed += int64(given)
			s.event("lapsed", "runner", r.info.ID, "runs", given, "heard", sinceMillis(now, r.heard), "renewed", sinceMillis(now, s.renewed))
		}
	}
}
