package fleet

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/stand/internal/fault"
)

// ErrDraining refuses a task on a host that drains.
var ErrDraining = errors.New("host is draining")

// ErrEnded refuses the start of a task that was stopped before.
var ErrEnded = errors.New("task was stopped")

// TaskTruth is how a task really behaves, whatever its job declared. A task's
// payload can hold one.
type TaskTruth struct {
	// Work is the time that the task takes.
	Work glade.Span `json:"work"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
	// Fail makes the task fail wherever it runs.
	Fail bool `json:"fail"`
}

// checkpoint is what a stopped task leaves behind.
type checkpoint struct {
	Done glade.Span `json:"done"`
}

// task is one task on a worker.
type task struct {
	spec  glade.Task
	truth TaskTruth
	state glade.TaskState
	// since is when the task began to work at its present speed, and done what
	// it had worked before.
	since time.Time
	done  time.Duration
	begun time.Time
	cores int
}

// StartTask starts a task under a lease.
func (r *Runner) StartTask(epoch uint64, spec glade.Task) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.settleTasks(now)
	if epoch < r.epoch {
		return ErrEpoch
	}
	if r.isBooting() || r.listed.Leaving {
		return ErrDraining
	}
	if r.ended[spec.ID] {
		return ErrEnded
	}
	if r.tasks[spec.ID] != nil {
		return nil
	}
	r.epoch = epoch
	truth := TaskTruth{Work: r.config.Task, Memory: spec.Memory}
	if len(spec.Payload) > 0 {
		// A payload that is no truth leaves the defaults.
		_ = json.Unmarshal(spec.Payload, &truth)
	}
	var saved checkpoint
	if len(spec.Saved) > 0 {
		_ = json.Unmarshal(spec.Saved, &saved)
	}
	r.tasks[spec.ID] = &task{
		spec: spec, truth: truth, since: now, begun: now, done: saved.Done.Duration(), cores: spec.Cores,
		state: glade.TaskState{ID: spec.ID, Job: spec.Job, Fence: spec.Fence, Phase: glade.TaskRunning},
	}
	r.lease = now
	r.book.StartTask(spec.Job)
	return nil
}

// StopTask ends a task, also one that has not arrived yet. A task that has
// ended already is forgotten.
func (r *Runner) StopTask(id string, withCheckpoint bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() {
		return errors.New("host is booting")
	}
	now := r.clock.Now()
	r.settleTasks(now)
	r.ended[id] = true
	t := r.tasks[id]
	if t == nil {
		return nil
	}
	if t.state.Phase != glade.TaskRunning || !withCheckpoint {
		delete(r.tasks, id)
		return nil
	}
	t.state.Phase = glade.TaskStopped
	t.state.Result, _ = json.Marshal(checkpoint{Done: glade.Span(t.worked(now))})
	return nil
}

// ThrottleTask limits a task to a number of cores.
func (r *Runner) ThrottleTask(id string, cores int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.settleTasks(now)
	if t := r.tasks[id]; t != nil && cores > 0 {
		t.done = t.worked(now)
		t.since = now
		t.cores = cores
	}
	return nil
}

// Tasks reports every task and renews their leases.
func (r *Runner) Tasks() ([]glade.TaskState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() {
		return nil, errors.New("host is booting")
	}
	now := r.clock.Now()
	r.settleTasks(now)
	r.lease = now
	states := make([]glade.TaskState, 0, len(r.tasks))
	for _, t := range r.tasks {
		state := t.state
		if now.Sub(t.begun) >= r.config.Usage.Duration() {
			state.Memory = t.truth.Memory
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b glade.TaskState) int { return strings.Compare(a.ID, b.ID) })
	return states, nil
}

// worked returns how much of its work a task has done.
func (t *task) worked(now time.Time) time.Duration {
	passed := now.Sub(t.since)
	if t.spec.Cores > 0 {
		passed = passed * time.Duration(t.cores) / time.Duration(t.spec.Cores)
	}
	return t.done + passed
}

// settleTasks ends the tasks whose time has come or whose lease has lapsed.
func (r *Runner) settleTasks(now time.Time) {
	lapsed := r.config.Lease > 0 && now.Sub(r.lease) > r.config.Lease.Duration()
	for _, t := range r.tasks {
		if t.state.Phase != glade.TaskRunning {
			continue
		}
		switch {
		case r.Fault() == fault.Fail:
			t.fail("worker")
		case t.worked(now) >= t.truth.Work.Duration() && t.truth.Fail:
			t.fail("job")
		case t.worked(now) >= t.truth.Work.Duration():
			t.state.Phase = glade.TaskDone
			t.state.Result = []byte("result of " + t.spec.Job)
		case lapsed:
			t.state.Phase = glade.TaskStopped
			t.state.Reason = "lease"
		}
	}
}

func (t *task) fail(reason string) {
	t.state.Phase = glade.TaskFailed
	t.state.Reason = reason
}

// runningTasks counts the tasks that work.
func (r *Runner) runningTasks() int {
	r.settleTasks(r.clock.Now())
	running := 0
	for _, t := range r.tasks {
		if t.state.Phase == glade.TaskRunning {
			running++
		}
	}
	return running
}

// dropTasks forgets every task, as a reboot does, and returns how many worked.
func (r *Runner) dropTasks() int {
	running := r.runningTasks()
	r.tasks = make(map[string]*task)
	return running
}
