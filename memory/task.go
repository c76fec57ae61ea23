package memory

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// ErrEnded refuses the start of a task that was stopped before.
var ErrEnded = errors.Wrap(glade.ErrRefused, "task was stopped")

// Truth is how a task really behaves, whatever its job declared. The payload of
// a task can hold one.
type Truth struct {
	// Work is the time that the task takes.
	Work glade.Span `json:"work"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
	// Fail makes the task fail wherever it runs.
	Fail bool `json:"fail"`
}

// TasksConfig configures Tasks.
type TasksConfig struct {
	// Work is the time of a task that doesn't say how long it takes.
	Work time.Duration
	// Usage is how long the usage of a task stays unknown.
	Usage time.Duration
	// Lease is how long tasks run on when nobody asks for them; 0 is for ever.
	Lease time.Duration
}

// Tasks holds the tasks of one worker. It is not safe for use by several
// goroutines.
type Tasks struct {
	config TasksConfig
	tasks  map[string]*task
	// ended holds the tasks that may not start any more.
	ended map[string]bool
	// asked is when the leases were renewed last.
	asked   time.Time
	failing bool
}

// checkpoint is what a stopped task leaves behind.
type checkpoint struct {
	Done glade.Span `json:"done"`
}

type task struct {
	spec  glade.Task
	truth Truth
	state glade.TaskState
	begun time.Time
	// since is when the task began to work at its present speed, and done what
	// it had worked before.
	since time.Time
	done  time.Duration
	cores int
	ended time.Time
}

// NewTasks returns a worker without tasks.
func NewTasks(config TasksConfig) *Tasks {
	return &Tasks{config: config, tasks: make(map[string]*task), ended: make(map[string]bool)}
}

// SetFailing makes every task that runs fail, or stops doing so.
func (w *Tasks) SetFailing(failing bool) { w.failing = failing }

// Start starts a task under a lease. It returns whether the task is new.
func (w *Tasks) Start(spec glade.Task, now time.Time) (bool, error) {
	w.settle(now)
	if w.ended[spec.ID] {
		return false, ErrEnded
	}
	if w.tasks[spec.ID] != nil {
		return false, nil
	}
	truth := Truth{Work: glade.Span(w.config.Work), Memory: spec.Memory}
	if len(spec.Payload) > 0 {
		// A payload that is no truth leaves the defaults.
		_ = json.Unmarshal(spec.Payload, &truth)
	}
	var saved checkpoint
	if len(spec.Saved) > 0 {
		_ = json.Unmarshal(spec.Saved, &saved)
	}
	w.tasks[spec.ID] = &task{
		spec: spec, truth: truth, begun: now, since: now, done: saved.Done.Duration(), cores: spec.Cores,
		state: glade.TaskState{ID: spec.ID, Job: spec.Job, Fence: spec.Fence, Phase: glade.TaskRunning},
	}
	w.asked = now
	return true, nil
}

// Stop ends a task, also one that has not arrived yet. Without a checkpoint, the
// task is forgotten with its result.
func (w *Tasks) Stop(id string, withCheckpoint bool, now time.Time) {
	w.settle(now)
	w.ended[id] = true
	t := w.tasks[id]
	if t == nil {
		return
	}
	if !withCheckpoint {
		delete(w.tasks, id)
		return
	}
	if t.state.Phase == glade.TaskRunning {
		t.end(glade.TaskStopped, "", now)
		t.state.Result, _ = json.Marshal(checkpoint{Done: glade.Span(t.worked(now))})
	}
}

// Throttle limits a task to a number of cores.
func (w *Tasks) Throttle(id string, cores int, now time.Time) {
	w.settle(now)
	if t := w.tasks[id]; t != nil && cores > 0 {
		t.done = t.worked(now)
		t.since = now
		t.cores = cores
	}
}

// Report reports every task, in the order of their ids, and renews the leases.
func (w *Tasks) Report(now time.Time) []glade.TaskState {
	w.settle(now)
	w.asked = now
	states := make([]glade.TaskState, 0, len(w.tasks))
	for _, t := range w.tasks {
		state := t.state
		if now.Sub(t.begun) >= w.config.Usage {
			state.Memory = t.truth.Memory
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b glade.TaskState) int { return strings.Compare(a.ID, b.ID) })
	return states
}

// Running counts the tasks that work, and those that ended less than a lease ago
// and whose result or checkpoint nobody has taken.
func (w *Tasks) Running(now time.Time) int {
	w.settle(now)
	running := 0
	for _, t := range w.tasks {
		if t.state.Phase == glade.TaskRunning || now.Sub(t.ended) < w.config.Lease {
			running++
		}
	}
	return running
}

// Memory returns the memory that the running tasks use, in bytes.
func (w *Tasks) Memory(now time.Time) int64 {
	w.settle(now)
	var used int64
	for _, t := range w.tasks {
		if t.state.Phase == glade.TaskRunning {
			used += t.truth.Memory
		}
	}
	return used
}

// Drop forgets every task, as a reboot does, and returns how many worked.
func (w *Tasks) Drop(now time.Time) int {
	running := w.Running(now)
	w.tasks = make(map[string]*task)
	return running
}

// worked returns how much of its work a task has done.
func (t *task) worked(now time.Time) time.Duration {
	passed := now.Sub(t.since)
	if t.spec.Cores > 0 {
		passed = passed * time.Duration(t.cores) / time.Duration(t.spec.Cores)
	}
	return t.done + passed
}

// settle ends the tasks whose time has come or whose lease has lapsed.
func (w *Tasks) settle(now time.Time) {
	lapsed := w.config.Lease > 0 && now.Sub(w.asked) > w.config.Lease
	for _, t := range w.tasks {
		if t.state.Phase != glade.TaskRunning {
			continue
		}
		ended := t.worked(now) >= t.truth.Work.Duration()
		switch {
		case w.failing:
			t.end(glade.TaskFailed, "worker", now)
		case ended && t.truth.Fail:
			t.end(glade.TaskFailed, "job", now)
		case ended:
			t.end(glade.TaskDone, "", now)
			t.state.Result = []byte("result of " + t.spec.Job)
		case lapsed:
			t.end(glade.TaskStopped, "lease", now)
		}
	}
}

func (t *task) end(phase glade.TaskPhase, reason string, now time.Time) {
	t.ended = now
	t.state.Phase = phase
	t.state.Reason = reason
}
