package memory

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// ErrStopped is returned when a task is started after its Stop.
var ErrStopped = errors.Wrap(glade.ErrRefused, "task was stopped")

// TaskBehavior is the real behavior of a task, which may differ from what its job
// declared. The payload of a task can contain one in JSON.
type TaskBehavior struct {
	// RunTime is the run time of the task with all its cores.
	RunTime glade.Span `json:"work"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
	// Fail makes the task fail on every host.
	Fail bool `json:"fail"`
}

// TasksConfig configures Tasks.
type TasksConfig struct {
	// RunTime is the run time of tasks whose payload gives none.
	RunTime time.Duration
	// Usage is how long the memory usage of a new task is not reported.
	Usage time.Duration
	// Lease is how long tasks run after the last Start or Report; 0 means without
	// limit.
	Lease time.Duration
}

// Tasks simulates the tasks of one worker. It is not safe for concurrent use.
type Tasks struct {
	config TasksConfig
	tasks  map[string]*task
	// stopped holds the ids of the tasks that may not start any more.
	stopped map[string]bool
	// renewedAt is when the leases were last renewed.
	renewedAt time.Time
	failing   bool
}

// checkpoint is the checkpoint of a stopped task.
type checkpoint struct {
	Done glade.Span `json:"done"`
}

type task struct {
	spec      glade.Task
	behavior  TaskBehavior
	state     glade.TaskState
	startedAt time.Time
	// speedSetAt is when the current number of cores was set, and done the work
	// completed before that.
	speedSetAt time.Time
	done       time.Duration
	cores      int
	endedAt    time.Time
}

// NewTasks returns a worker without tasks.
func NewTasks(config TasksConfig) *Tasks {
	return &Tasks{config: config, tasks: make(map[string]*task), stopped: make(map[string]bool)}
}

// SetFailing makes every running task fail while it is set.
func (w *Tasks) SetFailing(failing bool) { w.failing = failing }

// Start starts a task under a lease. It returns false when the task already
// exists.
func (w *Tasks) Start(spec glade.Task, now time.Time) (bool, error) {
	w.update(now)
	if w.stopped[spec.ID] {
		return false, ErrStopped
	}
	if w.tasks[spec.ID] != nil {
		return false, nil
	}
	behavior := TaskBehavior{RunTime: glade.Span(w.config.RunTime), Memory: spec.Memory}
	if len(spec.Payload) > 0 {
		// A payload of another form leaves the defaults.
		_ = json.Unmarshal(spec.Payload, &behavior)
	}
	var saved checkpoint
	if len(spec.Checkpoint) > 0 {
		_ = json.Unmarshal(spec.Checkpoint, &saved)
	}
	w.tasks[spec.ID] = &task{
		spec: spec, behavior: behavior, startedAt: now, speedSetAt: now, done: saved.Done.Duration(), cores: spec.Cores,
		state: glade.TaskState{ID: spec.ID, Job: spec.Job, Fence: spec.Fence, Phase: glade.TaskRunning},
	}
	w.renewedAt = now
	return true, nil
}

// Stop ends a task, even one that has not started yet. Without a checkpoint,
// the task and its result are dropped.
func (w *Tasks) Stop(id string, withCheckpoint bool, now time.Time) {
	w.update(now)
	w.stopped[id] = true
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
		t.state.Result, _ = json.Marshal(checkpoint{Done: glade.Span(t.workDone(now))})
	}
}

// Throttle limits a task to a number of cores.
func (w *Tasks) Throttle(id string, cores int, now time.Time) {
	w.update(now)
	if t := w.tasks[id]; t != nil && cores > 0 {
		t.done = t.workDone(now)
		t.speedSetAt = now
		t.cores = cores
	}
}

// Report returns the state of every task, sorted by id, and renews the leases.
func (w *Tasks) Report(now time.Time) []glade.TaskState {
	w.update(now)
	w.renewedAt = now
	states := make([]glade.TaskState, 0, len(w.tasks))
	for _, t := range w.tasks {
		state := t.state
		if now.Sub(t.startedAt) >= w.config.Usage {
			state.Memory = t.behavior.Memory
		}
		states = append(states, state)
	}
	slices.SortFunc(states, func(a, b glade.TaskState) int { return strings.Compare(a.ID, b.ID) })
	return states
}

// Running returns the number of running tasks plus the tasks that ended less
// than a lease ago and were not dropped, because their result or checkpoint may
// not have been fetched yet.
func (w *Tasks) Running(now time.Time) int {
	w.update(now)
	running := 0
	for _, t := range w.tasks {
		if t.state.Phase == glade.TaskRunning || now.Sub(t.endedAt) < w.config.Lease {
			running++
		}
	}
	return running
}

// Memory returns the memory used by the running tasks, in bytes.
func (w *Tasks) Memory(now time.Time) int64 {
	w.update(now)
	var used int64
	for _, t := range w.tasks {
		if t.state.Phase == glade.TaskRunning {
			used += t.behavior.Memory
		}
	}
	return used
}

// DropAll drops all tasks, as a reboot does, and returns the count of Running.
func (w *Tasks) DropAll(now time.Time) int {
	running := w.Running(now)
	w.tasks = make(map[string]*task)
	return running
}

// workDone returns the part of the work that a task has completed, as run time
// with all its cores.
func (t *task) workDone(now time.Time) time.Duration {
	passed := now.Sub(t.speedSetAt)
	if t.spec.Cores > 0 {
		passed = passed * time.Duration(t.cores) / time.Duration(t.spec.Cores)
	}
	return t.done + passed
}

// update ends the tasks that are complete or whose lease has expired.
func (w *Tasks) update(now time.Time) {
	leaseExpired := w.config.Lease > 0 && now.Sub(w.renewedAt) > w.config.Lease
	for _, t := range w.tasks {
		if t.state.Phase != glade.TaskRunning {
			continue
		}
		ended := t.workDone(now) >= t.behavior.RunTime.Duration()
		switch {
		case w.failing:
			t.end(glade.TaskFailed, "worker", now)
		case ended && t.behavior.Fail:
			t.end(glade.TaskFailed, "job", now)
		case ended:
			t.end(glade.TaskDone, "", now)
			t.state.Result = []byte("result of " + t.spec.Job)
		case leaseExpired:
			t.end(glade.TaskStopped, "lease", now)
		}
	}
}

func (t *task) end(phase glade.TaskPhase, reason string, now time.Time) {
	t.endedAt = now
	t.state.Phase = phase
	t.state.Reason = reason
}
