package sched

import (
	"math"
	"time"

	glade "indigoglade"
	"indigoglade/times"
)

// Tasks of steps that name a rack wait for a place there if that is expected to end them
// earlier than a run elsewhere, which takes Config.RemoteFactor times as long; so do gangs
// that are slow when spread. A task that waits holds no room.

// waits holds the tasks that wait for a place near their data.
type waits struct {
	byTask map[*task]*rackWait
	// reaches holds how many waits have got their place, loads the work that wants a rack.
	reaches map[reachKey]*reach
	loads   map[glade.Rack]*rackLoad
	// counted holds when the work of ready steps was added to loads.
	counted map[*step]time.Time
	// shortage is the CPU that pending tasks need, as a share of the pool.
	shortage float64
	// passAt is the time of the present placement pass, ahead the CPU of the tasks that
	// wait for a rack and go before others, in millicores, and examined the number of runs
	// that were looked at in this pass.
	passAt   time.Time
	ahead    map[glade.Rack]int
	examined int
	last     rackChances
	// decide replaces waitCase.plan in tests.
	decide func(waitCase) waitPlan
	// waitingShare is maxWaitingShare, except in tests.
	waitingShare float64
	// logged holds the counters as of the last log line, newest the newest wait.
	loggedAt time.Time
	logged   Stats
	newest   []any
}

// rackWait is the wait of a task, or of a gang under its first task.
type rackWait struct {
	step         *step
	rack         glade.Rack
	began, until time.Time
	distance     time.Duration
	chance       float64
	// checkedAt is when the wait was last reconsidered, capacity that of the usable runners
	// of the rack then, in millicores.
	checkedAt time.Time
	capacity  int
	// over means that the wait was given up. The task takes the next room anywhere.
	over bool
}

// Limits of waits.
const (
	// minGainShare of the distance is the least gain for which a wait begins.
	minGainShare = 0.1
	// maxWaitingShare of the capacity of a rack is what the tasks that wait for it may need.
	maxWaitingShare = 0.5
	// recheckPeriod is the time between two looks at a wait if the rack's runners stay the same.
	recheckPeriod = 40 * time.Millisecond
	// maxExamined bounds the runs that one placement pass looks at for waits, which takes some
	// 0.7 ms. Beyond that no wait begins, and those under way go on.
	maxExamined = 600
	// cautiousShare of the runs are no longer than assumed for a wait that must not make its
	// batch late.
	cautiousShare = 0.9
)

func (w *waits) init() {
	w.byTask, w.reaches = make(map[*task]*rackWait), make(map[reachKey]*reach)
	w.loads, w.counted = make(map[glade.Rack]*rackLoad), make(map[*step]time.Time)
	w.ahead = make(map[glade.Rack]int)
	w.decide, w.waitingShare = waitCase.plan, maxWaitingShare
}

// reachKey names the waits that share a reach.
type reachKey struct {
	rack glade.Rack
	gang bool
}

// reach is the share of waits that have got their place, as far as was expected. Tasks
// that name no rack take places as they come, which the outlook on a rack does not know.
type reach struct {
	share float64
	at    time.Time
}

const (
	reachWeight   = 0.2              // of one wait
	reachRecovery = 10 * time.Second // time constant of its return to 1
)

func (r *reach) now(now time.Time) float64 {
	return 1 - (1-r.share)*math.Exp(-float64(now.Sub(r.at))/float64(reachRecovery))
}

// observe records a wait that was expected to get its place with the given chance.
func (r *reach) observe(got bool, chance float64, now time.Time) {
	share := r.now(now)
	if got {
		share += reachWeight * (1 - share)
	} else {
		share -= reachWeight * chance * share
	}
	r.share, r.at = share, now
}

func (w *waits) reach(key reachKey, now time.Time) *reach {
	r, ok := w.reaches[key]
	if !ok {
		r = &reach{share: 1, at: now}
		w.reaches[key] = r
	}
	return r
}

// reachNow returns the reach of waits, 1 if nothing is known.
func (w *waits) reachNow(key reachKey, now time.Time) float64 {
	if r, ok := w.reaches[key]; ok {
		return r.now(now)
	}
	return 1
}

// rackLoad is an exponential moving average of the capacity that arriving work with data in
// a rack needs, in millicores.
type rackLoad struct {
	load float64
	at   time.Time
}

// rackLoadWindow is the time constant of a rack's load: bursts last some seconds.
const rackLoadWindow = 2 * time.Second

func (l *rackLoad) now(now time.Time) float64 {
	return l.load * math.Exp(-float64(now.Sub(l.at))/float64(rackLoadWindow))
}

// beginPass prepares the waits for the placement pass of this time.
func (s *Scheduler) beginPass(now time.Time) {
	w := &s.waits
	if w.passAt.Equal(now) {
		return
	}
	w.passAt, w.examined = now, 0
	clear(w.ahead)
	pending := 0
	for st := range s.ready {
		if st.rule.LongRunning || st.rule.Fills {
			continue
		}
		pending += st.pending * st.rule.Need.CPU
		if _, ok := w.counted[st]; ok || st.rule.Rack == "" {
			continue
		}
		w.counted[st] = now
		l, ok := w.loads[st.rule.Rack]
		if !ok {
			l = &rackLoad{}
			w.loads[st.rule.Rack] = l
		}
		l.load, l.at = l.now(now)+s.rackWork(st)/float64(rackLoadWindow), now
	}
	w.shortage = float64(pending) / float64(max(s.pool(), 1))
}

// rackWork returns the work of a step near its data, in millicores times nanoseconds.
func (s *Scheduler) rackWork(st *step) float64 {
	return float64(st.rule.Count) * float64(st.rule.Need.CPU) * float64(declaredTime(st.rule)) * s.estimates.factor(st.occurrence.batch.queue)
}

func declaredTime(rule *glade.Step) time.Duration {
	return time.Duration(rule.Estimate) * time.Millisecond
}

// observeTime adds the run time of a run that is done, without what the distance from its
// data has added.
func (s *Scheduler) observeTime(n *run, now time.Time) {
	if ratio := s.timeRatio(n, now); ratio > 0 {
		s.times.Observe(n.step.occurrence.batch.queue, n.step.rule.Image, ratio)
	}
}

// observeLonger adds the age of a run whose task is done by another run.
func (s *Scheduler) observeLonger(n *run, now time.Time) {
	if ratio := s.timeRatio(n, now); ratio > 0 && n.phase == running && !n.step.rule.Gang {
		s.times.ObserveLonger(n.step.occurrence.batch.queue, n.step.rule.Image, ratio)
	}
}

// timeRatio returns the ratio of a run's age to its declared time, or 0 if it tells nothing:
// the beginning of resumed runs and of those of earlier leaders is not known.
func (s *Scheduler) timeRatio(n *run, now time.Time) float64 {
	rule := n.step.rule
	if rule.Estimate <= 0 || rule.LongRunning || n.checkpoint != "" || n.number <= s.runNumber(0) {
		return 0
	}
	return float64(now.Sub(n.startedAt)) / (float64(declaredTime(rule)) * s.distanceFactor(n))
}

func (s *Scheduler) timesOf(st *step) *times.Distribution {
	return s.times.Of(st.occurrence.batch.queue, st.rule.Image)
}

// distanceFactor returns how many times as long a run takes because of its place.
func (s *Scheduler) distanceFactor(n *run) float64 {
	if s.config.RemoteFactor <= 1 {
		return 1
	}
	rule := n.step.rule
	if rule.Rack != "" && n.runner.info.Rack != rule.Rack {
		return s.config.RemoteFactor
	}
	if rule.Gang && rule.OneRack {
		for i := range n.step.tasks {
			for _, other := range n.step.tasks[i].runs {
				if other.runner.info.Rack != n.runner.info.Rack {
					return s.config.RemoteFactor
				}
			}
		}
	}
	return 1
}

// waitsForRack reports whether a pending task that could start on r, the cheapest runner,
// waits for a place near its data instead. r is nil if there is room nowhere.
func (s *Scheduler) waitsForRack(st *step, t *task, r *runner, usable []*runner, now time.Time) bool {
	rack := st.rule.Rack
	if s.config.RemoteFactor <= 1 || rack == "" || s.suspects[st.occurrence.batch] {
		return false
	}
	s.beginPass(now)
	w := s.waits.byTask[t]
	switch {
	case r == nil:
		s.waits.ahead[rack] += st.pending * allocation(st.rule).CPU
		s.checkEnd(w, now)
		return false
	case r.info.Rack == rack:
		s.endWait(t, w, true, now)
		return false
	case w == nil && t.lastNumber == 0:
		w = s.beginWait(st, t, []glade.Rack{rack}, usable, now)
	case w != nil:
		s.reconsider(w, []glade.Rack{rack}, usable, now)
	}
	if w == nil || w.over {
		s.endWait(t, w, false, now)
		return false
	}
	s.waits.ahead[rack] += allocation(st.rule).CPU
	return true
}

// gangWaits reports whether a gang that fits in no rack, and is slow when spread, waits for
// room in one.
func (s *Scheduler) gangWaits(st *step, usable []*runner, now time.Time) bool {
	if s.config.RemoteFactor <= 1 || !st.rule.OneRack || s.suspects[st.occurrence.batch] {
		return false
	}
	s.beginPass(now)
	t := &st.tasks[0]
	w := s.waits.byTask[t]
	if w == nil && s.freePlaces(st, usable, now) >= len(st.tasks) {
		w = s.beginWait(st, t, racksOf(usable), usable, now)
	} else if w != nil {
		s.reconsider(w, racksOf(usable), usable, now)
	}
	if w == nil || w.over {
		return false
	}
	s.waits.ahead[w.rack] += len(st.tasks) * allocation(st.rule).CPU
	return true
}

// gangPlaced ends the wait of a gang that was placed, if it waited.
func (s *Scheduler) gangPlaced(st *step, inOneRack bool, now time.Time) {
	t := &st.tasks[0]
	s.endWait(t, s.waits.byTask[t], inOneRack, now)
}

func racksOf(usable []*runner) []glade.Rack {
	var racks []glade.Rack
	seen := make(map[glade.Rack]bool)
	for _, r := range usable {
		if !seen[r.info.Rack] {
			seen[r.info.Rack] = true
			racks = append(racks, r.info.Rack)
		}
	}
	return racks
}

// freePlaces returns how many tasks of a step fit on the runners now.
func (s *Scheduler) freePlaces(st *step, usable []*runner, now time.Time) int {
	sum := 0
	for _, r := range usable {
		sum += s.freePlacesOn(r, st, now)
	}
	return sum
}

// freePlacesOn returns how many tasks of a step fit on a runner now.
func (s *Scheduler) freePlacesOn(r *runner, st *step, now time.Time) int {
	if !s.allows(r, st, now) {
		return 0
	}
	return len(newFreeing(nil, r.info.Capacity.Minus(r.used), allocation(st.rule), s.mostOn(r, st), 0).ends)
}

// mostOn returns how many further tasks of a step a runner may have.
func (s *Scheduler) mostOn(r *runner, st *step) int {
	if st.rule.MaxPerRunner == 0 {
		return len(st.tasks)
	}
	most := st.rule.MaxPerRunner
	for n := range r.runs {
		if n.step == st {
			most--
		}
	}
	return max(min(most, len(st.tasks)), 0)
}

// beginWait begins the wait of a task, or of a gang, for the best of several racks. It
// returns nil if no wait pays.
func (s *Scheduler) beginWait(st *step, t *task, racks []glade.Rack, usable []*runner, now time.Time) *rackWait {
	rack, plan, inputs := s.planWait(st, racks, usable, maxWait, now)
	if !plan.paysFor(inputs) {
		return nil
	}
	w := &rackWait{
		step: st, rack: rack, began: now, until: now.Add(plan.length), distance: inputs.distance, chance: plan.chance,
		checkedAt: now, capacity: rackCapacity(usable, racks),
	}
	s.waits.byTask[t] = w
	s.stats.Waited++
	s.waits.newest = []any{
		"batch", st.occurrence.batch.id, "step", st.index, "rack", rack, "distance", inputs.distance.Milliseconds(),
		"expected", plan.expected.Milliseconds(), "longest", plan.length.Milliseconds(), "places", inputs.places,
		"chance", math.Round(plan.chance*100) / 100, "claimed", math.Round(inputs.claimed*100) / 100, "reach", math.Round(inputs.reach*100) / 100,
	}
	return w
}

// reconsider gives a wait up if it is over or no longer pays.
func (s *Scheduler) reconsider(w *rackWait, racks []glade.Rack, usable []*runner, now time.Time) {
	s.checkEnd(w, now)
	capacity := rackCapacity(usable, racks)
	if !w.over && capacity == 0 {
		s.giveUpWait(w, false, now)
	}
	if w.over || (capacity == w.capacity && now.Sub(w.checkedAt) < recheckPeriod) || s.waits.examined >= maxExamined {
		return
	}
	shrunk := capacity < w.capacity
	w.checkedAt, w.capacity = now, capacity
	if _, plan, _ := s.planWait(w.step, racks, usable, w.until.Sub(now), now); plan.length <= 0 {
		s.giveUpWait(w, !shrunk, now)
	}
}

// checkEnd gives a wait up whose end has come.
func (s *Scheduler) checkEnd(w *rackWait, now time.Time) {
	if w != nil && !w.over && !now.Before(w.until) {
		s.giveUpWait(w, true, now)
	}
}

// giveUpWait ends a wait without a place. tells means that this tells what to expect of
// further waits for the rack: it doesn't if a runner has failed.
func (s *Scheduler) giveUpWait(w *rackWait, tells bool, now time.Time) {
	w.over = true
	s.stats.WaitsGivenUp++
	s.stats.WaitsGainMs -= now.Sub(w.began).Milliseconds()
	if tells {
		s.waits.reach(reachKey{rack: w.rack, gang: w.step.rule.Gang}, now).observe(false, w.chance, now)
	}
}

// endWait forgets the wait of a task that starts, if it waited.
func (s *Scheduler) endWait(t *task, w *rackWait, near bool, now time.Time) {
	if w == nil {
		return
	}
	delete(s.waits.byTask, t)
	if w.over {
		return
	}
	if !near {
		s.giveUpWait(w, true, now)
		return
	}
	s.stats.WaitsGained++
	s.stats.WaitsGainMs += (w.distance - now.Sub(w.began)).Milliseconds()
	s.waits.reach(reachKey{rack: w.rack, gang: w.step.rule.Gang}, now).observe(true, w.chance, now)
}

// waitLogPeriod is the least time between two events about waits.
const waitLogPeriod = time.Second

// reviewWaits forgets the waits of tasks that have ended or started otherwise, and logs the
// waits since the last time.
func (s *Scheduler) reviewWaits(now time.Time) {
	w := &s.waits
	for t, wait := range w.byTask {
		if t.done || len(t.runs) > 0 || !s.ready[wait.step] {
			delete(w.byTask, t)
			continue
		}
		s.checkEnd(wait, now)
	}
	for st := range w.counted {
		if !s.ready[st] {
			delete(w.counted, st)
		}
	}
	for rack, l := range w.loads {
		if now.Sub(l.at) > 10*rackLoadWindow {
			delete(w.loads, rack)
		}
	}
	for key, r := range w.reaches {
		if now.Sub(r.at) > 10*reachRecovery {
			delete(w.reaches, key)
		}
	}
	s.logWaits(now)
}

func (s *Scheduler) logWaits(now time.Time) {
	w := &s.waits
	began, gained, givenUp := s.stats.Waited-w.logged.Waited, s.stats.WaitsGained-w.logged.WaitsGained, s.stats.WaitsGivenUp-w.logged.WaitsGivenUp
	if began+gained+givenUp == 0 || now.Sub(w.loggedAt) < waitLogPeriod {
		return
	}
	pairs := []any{"began", began, "gained", gained, "givenUp", givenUp, "gainMs", s.stats.WaitsGainMs - w.logged.WaitsGainMs, "waiting", len(w.byTask)}
	s.addEvent("waits", append(pairs, w.newest...)...)
	w.loggedAt, w.logged, w.newest = now, s.stats, nil
}
