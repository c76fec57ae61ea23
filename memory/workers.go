package memory

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Errors of the in-memory workers.
var (
	ErrUnreachable = errors.New("worker can't be reached")
	ErrEpoch       = errors.Wrap(glade.ErrRefused, "epoch is stale")
	ErrDraining    = errors.Wrap(glade.ErrRefused, "host drains")
	ErrProbe       = errors.New("endpoint failed the request")
)

// Fault is a misbehaviour of an in-memory worker.
type Fault int

const (
	// Healthy works.
	Healthy Fault = iota
	// Dead is off the host list and answers nothing.
	Dead
	// Bad comes up and fails what it starts.
	Bad
	// Silent is on the host list and gets no command; its tasks run on.
	Silent
	// Mute carries out commands on tasks and loses the answers.
	Mute
)

// Workers is an in-memory fleet of worker hosts with the platform's host list.
type Workers struct {
	mu    sync.Mutex
	clock glade.Clock
	boot  time.Duration
	hosts map[glade.Host]*worker
	names []glade.Host
	cuts  int
	onRun func(host glade.Host, epoch uint64, task glade.Task)
}

type worker struct {
	listed  glade.Listed
	epoch   uint64
	fault   Fault
	running int
	tasks   *Tasks
	upAt    time.Time
}

// WorkersConfig configures Workers.
type WorkersConfig struct {
	Clock glade.Clock
	// Boot is the time that a reboot takes.
	Boot time.Duration
	// Hosts are the workers; they run no service yet.
	Hosts []glade.Listed
	// Tasks configures the tasks of each worker.
	Tasks TasksConfig
	// OnRun is called when the work of a task begins. It may be nil.
	OnRun func(host glade.Host, epoch uint64, task glade.Task)
}

// NewWorkers returns healthy workers without running work.
func NewWorkers(config WorkersConfig) *Workers {
	w := &Workers{clock: config.Clock, boot: config.Boot, hosts: make(map[glade.Host]*worker, len(config.Hosts)), onRun: config.OnRun}
	for _, listed := range config.Hosts {
		listed.Incarnation = max(listed.Incarnation, 1)
		w.hosts[listed.Host] = &worker{listed: listed, tasks: NewTasks(config.Tasks)}
		w.names = append(w.names, listed.Host)
	}
	slices.Sort(w.names)
	return w
}

// SetFault switches a misbehaviour on or off. A dead worker that becomes
// healthy comes back as a new incarnation.
func (w *Workers) SetFault(host glade.Host, fault Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[host]
	if h.fault == Dead && fault != Dead {
		h.listed.Incarnation++
		h.listed.Leaving = false
		h.running = 0
		h.tasks.Drop(w.clock.Now())
	}
	h.fault = fault
	h.tasks.SetFailing(fault == Bad)
}

// SetRunning sets the number of requests and tasks that run on a host that
// takes new work; a draining or booting host only finishes what it has.
func (w *Workers) SetRunning(host glade.Host, running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[host]
	if h.listed.Leaving || !w.isUp(h) {
		running = min(running, h.running)
	}
	h.running = running
}

// Cuts returns how many requests and tasks a reboot has cut.
func (w *Workers) Cuts() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts
}

func (w *Workers) isUp(h *worker) bool {
	return h.fault != Dead && !w.clock.Now().Before(h.upAt)
}

// List returns the hosts that are up.
func (w *Workers) List(context.Context) ([]glade.Listed, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]glade.Listed, 0, len(w.names))
	for _, name := range w.names {
		if h := w.hosts[name]; w.isUp(h) {
			list = append(list, h.listed)
		}
	}
	return list, nil
}

// find returns a worker that is up. The caller holds the lock.
func (w *Workers) find(host glade.Host) (*worker, error) {
	h, ok := w.hosts[host]
	if !ok || !w.isUp(h) || h.fault == Silent {
		return nil, ErrUnreachable
	}
	return h, nil
}

// State returns what a worker reports of itself.
func (w *Workers) State(_ context.Context, host glade.Host) (glade.WorkerState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, err := w.find(host)
	if err != nil {
		return glade.WorkerState{}, err
	}
	return glade.WorkerState{
		Host:        host,
		Incarnation: h.listed.Incarnation,
		Draining:    h.listed.Leaving,
		Running:     h.running + h.tasks.Running(w.clock.Now()),
		Service:     h.listed.Service,
		Epoch:       h.epoch,
	}, nil
}

// Drain stops new work on a host.
func (w *Workers) Drain(_ context.Context, host glade.Host, epoch uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, err := w.find(host)
	if err != nil {
		return err
	}
	if epoch < h.epoch {
		return ErrEpoch
	}
	h.epoch = epoch
	h.listed.Leaving = true
	return nil
}

// Reboot restarts a host as a new incarnation that runs service. Repeating it
// with the same epoch after it was done has no effect.
func (w *Workers) Reboot(_ context.Context, host glade.Host, epoch uint64, service glade.Service) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, err := w.find(host)
	if err != nil {
		return err
	}
	if epoch < h.epoch {
		return ErrEpoch
	}
	if epoch == h.epoch && !h.listed.Leaving && h.listed.Service == service {
		return nil
	}
	w.cuts += h.running + h.tasks.Drop(w.clock.Now())
	h.running = 0
	h.epoch = epoch
	h.listed.Incarnation++
	h.listed.Leaving = false
	h.listed.Service = service
	h.upAt = w.clock.Now().Add(w.boot)
	return nil
}

// do carries out a command on a worker's tasks; a mute worker's answer is lost.
func (w *Workers) do(host glade.Host, command func(h *worker, now time.Time) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, err := w.find(host)
	if err != nil {
		return err
	}
	err = command(h, w.clock.Now())
	if h.fault == Mute {
		return ErrUnreachable
	}
	return err
}

// Start runs a task.
func (w *Workers) Start(_ context.Context, host glade.Host, epoch uint64, task glade.Task) error {
	return w.do(host, func(h *worker, now time.Time) error {
		if epoch < h.epoch {
			return ErrEpoch
		}
		if h.listed.Leaving {
			return ErrDraining
		}
		h.epoch = epoch
		begun, err := h.tasks.Start(task, now)
		if begun && w.onRun != nil {
			w.onRun(host, epoch, task)
		}
		return err
	})
}

// Stop ends a task. The host's name stands for one unit of the work that
// SetRunning counts.
func (w *Workers) Stop(_ context.Context, host glade.Host, task string, withCheckpoint bool) error {
	return w.do(host, func(h *worker, now time.Time) error {
		if task == string(host) {
			h.running = max(h.running-1, 0)
			return nil
		}
		h.tasks.Stop(task, withCheckpoint, now)
		return nil
	})
}

// Throttle limits a running task to a number of cores.
func (w *Workers) Throttle(_ context.Context, host glade.Host, task string, cores int) error {
	return w.do(host, func(h *worker, now time.Time) error {
		h.tasks.Throttle(task, cores, now)
		return nil
	})
}

// Tasks reports the tasks of a host, and the work that SetRunning counts as
// tasks with the host's name.
func (w *Workers) Tasks(_ context.Context, host glade.Host) ([]glade.TaskState, error) {
	var states []glade.TaskState
	err := w.do(host, func(h *worker, now time.Time) error {
		states = h.tasks.Report(now)
		for range h.running {
			states = append(states, glade.TaskState{ID: string(host), Phase: glade.TaskRunning})
		}
		return nil
	})
	return states, err
}

// Memory returns the memory that the tasks of a host use, in bytes.
func (w *Workers) Memory(host glade.Host) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[host].tasks.Memory(w.clock.Now())
}

// Probe runs one request at an endpoint; the address is the host's name.
func (w *Workers) Probe(_ context.Context, address string, service glade.Service, _ string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, err := w.find(glade.Host(strings.TrimSuffix(address, ":0")))
	if err != nil {
		return err
	}
	if h.fault == Bad || h.listed.Leaving || h.listed.Service != service {
		return ErrProbe
	}
	return nil
}
