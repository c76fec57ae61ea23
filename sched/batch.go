package sched

import (
	"time"

	glade "indigoglade"
	"indigoglade/effect"
)

// batch is the leader's state of one batch.
type batch struct {
	id    glade.BatchID
	queue glade.Queue
	work  glade.Batch
	// path is that of the queue by which the batch came, and rule the queue's newest rule while it
	// was in the service. The contract may have sent the path elsewhere since then.
	path string
	rule glade.QueueRule
	// heldBytes is what the batch counts in the bytes of all works.
	heldBytes int
	// owner is the tenant that submitted the batch. It is kept when the work of an ended batch is released.
	owner glade.Tenant
	// cancelledBy is not empty if the batch has not arrived and holds the tenants that have cancelled its
	// ID. replaced is such a batch, whose ID this one took.
	cancelledBy []glade.Tenant
	replaced    *batch
	// tenant is nil for a batch without one. largest is the largest task or whole gang, largestTask
	// what a task reserves on a runner at most, both without long-running tasks. asksLabel means that
	// such a task asks for a label.
	tenant               *tenant
	largest, largestTask glade.Need
	asksLabel            bool
	// submittedAt is when the batch was first submitted, as far as is known: the time
	// in its rows, or else when this leader accepted it.
	submittedAt time.Time
	accepted    bool // its row is written
	started     bool // a task of it has started
	startedAt   time.Time
	// state is the decided state, writtenState the one that is written.
	state, writtenState glade.BatchState
	endedAt             time.Time
	occurrences         []*occurrence
	runs                map[*run]bool
	// gen counts changes, writtenGen is the change up to which the rows are written.
	gen, writtenGen int64
	writeQueued     bool // is in the queue of writes
	workUnwritten   bool // the row of the work itself is not written
	hasWorkRow      bool // the row of the work itself is stored
	// isStateComplete means that the stored progress row tells all that is needed of an ended
	// batch. Rows of earlier versions don't.
	isStateComplete bool
	isExpired       bool // its rows are to be deleted
	// inherited batches were read from their rows, and may have runs that an
	// earlier leader started on runners that have not answered this one yet.
	inherited bool
	// lastChance batches are late and go before others, so that they end before
	// lateFactor times their objective, when their callers no longer want them.
	lastChance bool
	// trialRunners are kept free for the next trial of the batch: one for a task, those of all
	// members for a gang.
	trialRunners []*runner
	// trialGen is the change with the entries of the next trial, trialAskedAt is when it
	// was made.
	trialGen     int64
	trialAskedAt time.Time
	// trialBlock is why the last placement has started no trial of the batch.
	trialBlock trialBlock
}

// occurrence is one occurrence of a batch.
type occurrence struct {
	batch   *batch
	number  int
	due     time.Time
	steps   []*step
	left    int // steps that are not done
	started bool
	// path is the longest chain of estimates of dependent steps in milliseconds,
	// pathLeft that of the steps that are not done; -1 means that it is not known.
	path, pathLeft float64
}

// step is one step of an occurrence.
type step struct {
	occurrence *occurrence
	rule       *glade.Step
	index      int
	tasks      []task
	left       int // tasks that are not done
	// pending counts tasks that are neither done nor running.
	pending int
	// lastEnd is when a task was last left without a run before it was done.
	lastEnd time.Time
	tickets map[glade.RunnerID]ticket
	// denied runners may not run the step: the advice on a step does not change.
	denied map[glade.RunnerID]bool
	// adviceInFlight means that the answer to an advice request is due, adviceRetryAt
	// is when the next one may be sent after one that failed.
	adviceInFlight bool
	adviceRetryAt  time.Time
	// advisedAt is when a long-running step has last asked.
	advisedAt time.Time
	// limitedSince is since when the step has waited for its tenant's limit alone, zero if
	// it doesn't.
	limitedSince time.Time
	// survived means that a suspect task of the step has survived a trial since the last
	// crash: the tasks are alike, so that the others may be tried together.
	survived bool
	// checkpoint is the newest one of any task. The tasks of a gang all resume from
	// it.
	checkpoint string
}

// task is one task of a step.
type task struct {
	done bool
	// failed lists the numbers of the runs that count as attempts.
	failed     []int64
	checkpoint string
	// lastNumber is the number of the newest run, counted from 1 under each leader.
	lastNumber int64
	runs       []*run
	// crashes lists the crashes of runners under the task, in their order, and then the
	// trial that may end in one.
	crashes []crash
	// failedOn lists runners on which the task failed.
	failedOn []glade.RunnerID
	// evicted means that a run was stopped once to free its host.
	evicted bool
	// readySince is when the task became ready to start.
	readySince time.Time
	// failuresInRow counts the failures of a long-running task without a healthy run between them.
	// It does not start again before restartAt.
	failuresInRow int
	restartAt     time.Time
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
	// start and stop tell whether the orders were carried out. They are two operations:
	// an answer to a stop says nothing about a start without an answer, unless the stop
	// was carried out, after which the runner accepts no late start.
	start, stop effect.Effect
	leaseEnd    int64 // end of the lease given with the start, on the runner's clock
	startedAt   time.Time
	// sendAt is when the start was last decided to be sent, repeats how many times it was so again.
	sendAt  time.Time
	repeats int
	// incarnation is that of the runner when the run was placed.
	incarnation   int64
	percent       int       // reported progress
	progressedAt  time.Time // when percent last changed
	metric        float64   // tail latency in ms for a task with a target, else CPU in millicores
	speedPercent  int
	lastOrderAt   time.Time
	orderInFlight bool // an order for the run is in flight
	checkpoint    string
	// doubtedAt is when this leader found the run of an earlier one, or kept one that it may have
	// told to stop. It is zero otherwise, and once the run is known not to be stopping.
	doubtedAt time.Time
	// unconfirmed means that the run is to be stopped only because its start got no answer, absentAt
	// is when its runner last did not list it.
	unconfirmed bool
	absentAt    time.Time
	// started means that the run is known to have started.
	started bool
	// evacuated means that the run is to be stopped only because its runner is under evacuation.
	evacuated bool
	// crashed means that the crash of its runner is recorded.
	crashed bool
	// untilEnd means that the run is a trial until it ends.
	untilEnd bool
}

type phase int

const (
	// starting: the start is in flight.
	starting phase = iota
	// unconfirmed: the start got no answer, and may be carried out late.
	unconfirmed
	running
	// stopping: a stop is due or sent, and the run has not ended yet.
	stopping
)

func (r *run) id() glade.TaskID {
	return glade.TaskID{
		Batch: r.step.occurrence.batch.id, Occurrence: r.step.occurrence.number,
		Step: r.step.index, Index: r.index,
	}
}

func (r *run) task() *task { return &r.step.tasks[r.index] }

// newBatch expands the work of a batch into its occurrences, steps and tasks.
func newBatch(id glade.BatchID, queue glade.Queue, work glade.Batch, submittedAt time.Time) *batch {
	b := &batch{id: id, queue: queue, work: work, owner: work.Tenant, submittedAt: submittedAt, runs: make(map[*run]bool)}
	for k := range work.Occurrences() {
		o := &occurrence{batch: b, number: k, left: len(work.Steps), path: -1, pathLeft: -1}
		if work.Times > 0 {
			o.due = time.UnixMilli(work.FirstDue + int64(k)*work.Interval)
		}
		for i := range work.Steps {
			rule := &work.Steps[i]
			st := &step{occurrence: o, rule: rule, index: i, left: rule.Count, pending: rule.Count}
			st.tasks = make([]task, rule.Count)
			o.steps = append(o.steps, st)
		}
		b.occurrences = append(b.occurrences, o)
	}
	return b
}

// isReady reports whether all steps that st depends on are done.
func (st *step) isReady() bool {
	for _, i := range st.rule.After {
		if st.occurrence.steps[i].left > 0 {
			return false
		}
	}
	return true
}

// askedAt returns when the occurrence was asked for: its due time, or the submission of the batch.
func (o *occurrence) askedAt() time.Time {
	if o.due.IsZero() {
		return o.batch.submittedAt
	}
	return o.due
}

// addReady adds the steps of an occurrence whose dependencies are done to the
// ready set.
func (s *Scheduler) addReady(o *occurrence, now time.Time) {
	if !o.started {
		return
	}
	for _, st := range o.steps {
		if st.left == 0 || s.ready[st] || !st.isReady() {
			continue
		}
		s.ready[st] = true
		s.noteLate(st)
		s.needsPlacement = true
		s.demandGen++
		for i := range st.tasks {
			if st.tasks[i].readySince.IsZero() {
				st.tasks[i].readySince = now
			}
		}
	}
}

// startDue starts the occurrences of an accepted batch that are due.
func (s *Scheduler) startDue(b *batch, now time.Time) {
	if !b.accepted || b.state.IsFinal() {
		return
	}
	s.noteLargest(b)
	for _, o := range b.occurrences {
		if o.started || o.left == 0 || (!o.due.IsZero() && now.Before(o.due)) {
			continue
		}
		o.started = true
		s.addReady(o, now)
	}
}

// waited returns the time from the submission of a batch to its first start; 0 if this
// leader has not seen one.
func (b *batch) waited() time.Duration {
	if b.startedAt.IsZero() {
		return 0
	}
	return b.startedAt.Sub(b.submittedAt)
}

// addLive and dropLive keep the batches that have not ended, and the number of their tasks.
func (s *Scheduler) addLive(b *batch) {
	if !s.live[b] {
		s.live[b] = true
		s.liveTasks += taskRuns(&b.work)
	}
}

func (s *Scheduler) dropLive(b *batch) {
	if s.live[b] {
		delete(s.live, b)
		s.liveTasks -= taskRuns(&b.work)
	}
}

// taskRuns returns the number of tasks of all occurrences of a batch.
func taskRuns(work *glade.Batch) int {
	n := 0
	for i := range work.Steps {
		n += work.Steps[i].Count
	}
	return n * work.Occurrences()
}

// finish ends a batch in a final state.
func (s *Scheduler) finish(b *batch, state glade.BatchState, now time.Time) {
	if b.state.IsFinal() {
		return
	}
	b.state = state
	b.endedAt = now
	s.ended = append(s.ended, b)
	for n := range b.runs {
		s.touched[n.runner] = true
	}
	s.dropLive(b)
	delete(s.suspects, b)
	s.noteLargest(b)
	for _, o := range b.occurrences {
		for _, st := range o.steps {
			delete(s.ready, st)
		}
	}
	s.markChanged(b)
	s.needsPlacement = true
	pairs := []any{
		"batch", b.id, "state", string(state), "queue", b.queue, "age", now.Sub(b.submittedAt).Milliseconds(),
		"objective", s.objective(b).Milliseconds(), "waited", b.waited().Milliseconds(), "lastChance", b.lastChance,
	}
	if b.tenant != nil {
		pairs = append(pairs, "tenant", b.tenant.name)
	}
	s.addEvent("batch", pairs...)
}

// taskDone marks a task as done, and with it its step, occurrence and batch when
// nothing is left of them.
func (s *Scheduler) taskDone(st *step, index int, now time.Time) {
	t := &st.tasks[index]
	if t.done {
		return
	}
	t.done = true
	st.left--
	for _, n := range t.runs {
		s.touched[n.runner] = true
		s.observeLonger(n, now)
	}
	if len(t.runs) == 0 {
		st.pending--
	}
	s.markChanged(st.occurrence.batch)
	if st.left > 0 {
		return
	}
	delete(s.ready, st)
	o := st.occurrence
	o.left--
	o.pathLeft = -1
	if o.left > 0 {
		s.addReady(o, now)
		return
	}
	for _, other := range o.batch.occurrences {
		if other.left > 0 {
			return
		}
	}
	s.finishDone(o.batch, now)
}

func (s *Scheduler) finishDone(b *batch, now time.Time) {
	if b.state.IsFinal() {
		return
	}
	s.stats.Done++
	if last := b.occurrences[len(b.occurrences)-1]; now.Sub(last.askedAt()) <= s.objective(b) {
		s.stats.OnTime++
	} else {
		s.stats.Late++
	}
	s.finish(b, glade.BatchDone, now)
}

// removeRun detaches a run from its runner, task and batch. The task is pending
// again if this was its only run.
func (s *Scheduler) removeRun(r *run, now time.Time) {
	t := r.task()
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	s.detach(r)
	if r.start.State() == effect.Unknown || r.repeats > 0 {
		r.runner.noteDoubtful(r, now)
	}
	delete(s.stopping, r)
	if s.trials[r] {
		delete(s.trials, r)
		s.dropPending(r)
	}
	s.touched[r.runner] = true
	b := r.step.occurrence.batch
	delete(b.runs, r)
	if len(t.runs) == 0 && !t.done {
		r.step.pending++
		s.noteLate(r.step)
		r.step.lastEnd = now
		t.readySince = now
	}
	s.needsPlacement = true
}
