package sched

import (
	"time"

	glade "indigoglade"
)

// batch is the leader's state of one batch.
type batch struct {
	id    glade.BatchID
	queue glade.Queue
	work  glade.Batch
	// submittedAt is when the batch was submitted; a batch that is read from its
	// rows keeps the time.
	at       time.Time
	accepted bool // its row is written
	begun    bool // a task of it has started
	// state is the decided state, writtenState the one that is written.
	state, shown glade.BatchState
	overAt       time.Time
	rounds       []*round
	runs         map[*run]bool
	// gen counts changes, writtenGen is the change up to which the rows are written.
	gen, saved int64
	queued     bool // is in the queue of writes
	fresh      bool // the row of the work itself is not written
	// inherited batches were read from their rows, and may have runs that an
	// earlier leader started on runners that have not answered this one yet.
	blind bool
	// lastChance batches are late and go before others, so that they end before
	// their results are worthless.
	lastChance bool
}

// occurrence is one occurrence of a batch.
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
	// pending counts tasks that are neither done nor running.
	idle int
	// lastEnd is when a task was last left without a run before it was done.
	lastEnd time.Time
	tickets map[glade.RunnerID]ticket
	// denied runners may not run the step: the advice on a step does not change.
	denied map[glade.RunnerID]bool
	// adviceSentAt is when the last advice request was sent, adviceInFlight whether
	// its answer is due.
	asked  time.Time
	asking bool
	// checkpoint is the newest one of any task. The tasks of a gang all resume from
	// it.
	saved string
}

// task is one task of a step.
type task struct {
	done bool
	// failed lists the numbers of the runs that count as attempts.
	failed []int64
	saved  string
	// lastNumber is the number of the newest run, counted from 1 under each leader.
	next int64
	runs []*run
	// failedOn lists runners on which the task failed.
	failedOn []glade.RunnerID
	// evicted means that a run was stopped once to free its host.
	evicted bool
	// readySince is when the task became ready to start.
	since time.Time
	// lostAt is when a run was found missing. A newer leader may have seen its end,
	// so that the task waits for a renewal of the leader row after lostAt.
	lostAt time.Time
}

// run is one run of a task that may be on a runner.
type run struct {
	step   *step
	index  int
	number int64
	runner *runner
	phase  phase
	// settledAt is when the newest order, a start or stop, was answered or the run
	// was first listed; it is zero before that. A heartbeat that is sent later lists
	// the run, or the run is gone.
	settled time.Time
	until   int64 // end of the lease given with the start, on the runner's clock
	sent    time.Time
	percent int       // reported progress
	moved   time.Time // when percent last changed
	figure  float64   // tail latency in milliseconds for a task with a target, CPU use in millicores for others
	pace    int
	paced   time.Time
	calling bool // an order for the run is in flight
	saved   string
	over    time.Time // not used
}

type phase int

const (
	// starting: the start is in flight.
	starting phase = iota
	// unconfirmed: the start got no answer, and may be carried out late.
	unsure
	running
	// stopping: a stop is due or sent, and the run has not ended yet.
	stopping
)

func (r *run) id() glade.TaskID {
	return glade.TaskID{
		Batch: r.step.round.batch.id, Occurrence: r.step.round.number,
		Step: r.step.index, Index: r.index,
	}
}

func (r *run) task() *task { return &r.step.tasks[r.index] }

// newBatch expands the work of a batch into its occurrences, steps and tasks.
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

// isReady reports whether all steps that st depends on are done.
func (st *step) isReady() bool {
	for _, i := range st.rule.After {
		if st.round.steps[i].left > 0 {
			return false
		}
	}
	return true
}

// addReady adds the steps of an occurrence whose dependencies are done to the
// ready set.
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

// startDue starts the occurrences of an accepted batch that are due.
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

// finish ends a batch in a final state.
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

// taskDone marks a task as done, and with it its step, occurrence and batch when
// nothing is left of them.
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

// removeRun detaches a run from its runner, task and batch. The task is pending
// again if this was its only run.
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
