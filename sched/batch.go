package sched

import (
	"time"

	glade "indigoglade"
)

// batch is one batch as the lead knows it.
type batch struct {
	id    glade.BatchID
	queue glade.Queue
	work  glade.Batch
	// at is when it was first sent, as far as is known.
	at       time.Time
	accepted bool // its row is written
	begun    bool // a task of it has started
	// state is what was decided, shown what is written of it.
	state, shown glade.BatchState
	overAt       time.Time
	rounds       []*round
	runs         map[*run]bool
	// gen counts changes, saved is the change up to which the row is written.
	gen, saved int64
	queued     bool // waits in the list of rows to write
	fresh      bool // the row of the work itself is not written
	// blind batches may have runs on runners that an earlier lead used.
	blind bool
	// lastChance batches are late and go before others, to end while they are
	// wanted.
	lastChance bool
}

// round is one occurrence of a batch.
type round struct {
	batch  *batch
	number int
	due    time.Time
	steps  []*step
	left   int // steps that are not done
	begun  bool
}

// step is one step of an occurrence.
type step struct {
	round *round
	rule  *glade.Step
	index int
	tasks []task
	left  int // tasks that are not done
	// idle counts tasks that are neither done nor running.
	idle int
	// lastEnd is when a task last stopped running.
	lastEnd time.Time
	tickets map[glade.RunnerID]ticket
	// denied runners may not run the step: the advice on a step does not change.
	denied map[glade.RunnerID]bool
	// asked is when advice was last asked for, asking whether an answer is due.
	asked  time.Time
	asking bool
	// saved is the newest saved work of a gang, which all of its tasks go on from.
	saved string
}

// task is one task of a step.
type task struct {
	done bool
	// failed lists the runs that count towards the attempts.
	failed []int64
	saved  string
	// next is the number of the next run under this lead.
	next int64
	runs []*run
	// failedOn lists runners on which it failed.
	failedOn []glade.RunnerID
	// evicted means that it was stopped once to free its host.
	evicted bool
	// since is when it became ready to start.
	since time.Time
	// lostAt is when a run of it was found missing. A newer lead may have seen
	// its end.
	lostAt time.Time
}

// run is one run of a task that may be on a runner.
type run struct {
	step   *step
	index  int
	number int64
	runner *runner
	phase  phase
	// settled is when the newest order on it was answered; a hold that was sent
	// later shows the run, or it is gone.
	settled time.Time
	until   int64 // the lease of its start, on the runner's clock
	sent    time.Time
	percent int
	moved   time.Time // when percent last changed
	figure  float64
	pace    int
	paced   time.Time
	calling bool // an order on it is under way
	saved   string
	over    time.Time // since when it is over its target
}

type phase int

const (
	// starting: the start is under way.
	starting phase = iota
	// unsure: the start got no answer and may be carried out late.
	unsure
	running
	// stopping: it is to be stopped, and has not ended yet.
	stopping
)

func (r *run) id() glade.TaskID {
	return glade.TaskID{
		Batch: r.step.round.batch.id, Occurrence: r.step.round.number,
		Step: r.step.index, Index: r.index,
	}
}

func (r *run) task() *task { return &r.step.tasks[r.index] }

// newBatch builds a batch of accepted or arriving work.
func newBatch(id glade.BatchID, queue glade.Queue, work glade.Batch, at time.Time) *batch {
	b := &batch{id: id, queue: queue, work: work, at: at, runs: make(map[*run]bool)}
	for k := range work.Occurrences() {
		o := &round{batch: b, number: k, left: len(work.Steps)}
		if work.Times > 0 {
			o.due = time.UnixMilli(work.First + int64(k)*work.Every)
		}
		for i := range work.Steps {
			rule := &work.Steps[i]
			st := &step{round: o, rule: rule, index: i, left: rule.Count, idle: rule.Count}
			st.tasks = make([]task, rule.Count)
			o.steps = append(o.steps, st)
		}
		b.rounds = append(b.rounds, o)
	}
	return b
}

// isReady tells whether all steps that st depends on are done.
func (st *step) isReady() bool {
	for _, i := range st.rule.After {
		if st.round.steps[i].left > 0 {
			return false
		}
	}
	return true
}

// openReady puts the ready steps of a round into the open set.
func (s *Sched) openReady(o *round, now time.Time) {
	if !o.begun {
		return
	}
	for _, st := range o.steps {
		if st.left == 0 || s.open[st] || !st.isReady() {
			continue
		}
		s.open[st] = true
		s.moved = true
		for i := range st.tasks {
			if st.tasks[i].since.IsZero() {
				st.tasks[i].since = now
			}
		}
	}
}

// begin opens the rounds whose time has come.
func (s *Sched) begin(b *batch, now time.Time) {
	if !b.accepted || b.state.Over() {
		return
	}
	for _, o := range b.rounds {
		if o.begun || o.left == 0 || (!o.due.IsZero() && now.Before(o.due)) {
			continue
		}
		o.begun = true
		s.openReady(o, now)
	}
}

// finish ends a batch in a state.
func (s *Sched) finish(b *batch, state glade.BatchState, now time.Time) {
	if b.state.Over() {
		return
	}
	b.state = state
	b.overAt = now
	delete(s.live, b)
	for _, o := range b.rounds {
		for _, st := range o.steps {
			delete(s.open, st)
		}
	}
	s.change(b)
	s.moved = true
	s.event("batch", "batch", b.id, "state", string(state), "queue", b.queue, "age", now.Sub(b.at).Milliseconds())
}

// taskDone records that a task is done.
func (s *Sched) taskDone(st *step, index int, now time.Time) {
	t := &st.tasks[index]
	if t.done {
		return
	}
	t.done = true
	st.left--
	if len(t.runs) == 0 {
		st.idle--
	}
	s.change(st.round.batch)
	if st.left > 0 {
		return
	}
	delete(s.open, st)
	o := st.round
	o.left--
	if o.left > 0 {
		s.openReady(o, now)
		return
	}
	for _, other := range o.batch.rounds {
		if other.left > 0 {
			return
		}
	}
	s.finishDone(o.batch, now)
}

func (s *Sched) finishDone(b *batch, now time.Time) {
	if b.state.Over() {
		return
	}
	s.stats.Done++
	if now.Sub(b.at) <= s.objective(b) {
		s.stats.OnTime++
	} else {
		s.stats.Late++
	}
	s.finish(b, glade.BatchDone, now)
}

// unplace takes a run off its runner and task.
func (s *Sched) unplace(r *run, now time.Time) {
	t := r.task()
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	r.runner.drop(r)
	b := r.step.round.batch
	delete(b.runs, r)
	if len(t.runs) == 0 && !t.done {
		r.step.idle++
		r.step.lastEnd = now
		t.since = now
	}
	s.moved = true
}
