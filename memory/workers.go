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
	ErrDraining    = errors.Wrap(glade.ErrRefused, "host is draining")
	ErrProbe       = errors.New("endpoint failed the request")
)

// Fault is a fault that a worker simulates.
type Fault int

const (
	// Healthy is no fault.
	Healthy Fault = iota
	// Dead is missing from the host list and unreachable.
	Dead
	// Failing fails its tasks and probes.
	Failing
	// Unreachable is in the host list but can't be reached. Its tasks continue.
	Unreachable
	// LoseCommandAnswers carries out commands on tasks but loses the answers.
	LoseCommandAnswers
)

// Workers is an in-memory fleet of worker hosts with the platform's host list.
type Workers struct {
	mu          sync.Mutex
	clock       glade.Clock
	bootTime    time.Duration
	hosts       map[glade.Host]*worker
	names       []glade.Host
	interrupted int
	onRun       func(host glade.Host, epoch uint64, task glade.Task)
}

type worker struct {
	listed  glade.HostListing
	epoch   uint64
	fault   Fault
	running int
	tasks   *Tasks
	upAt    time.Time
}

// WorkersConfig configures Workers.
type WorkersConfig struct {
	Clock glade.Clock
	// BootTime is the duration of a reboot.
	BootTime time.Duration
	// Hosts are the workers, as the host list shows them at first.
	Hosts []glade.HostListing
	// Tasks configures the tasks of each worker.
	Tasks TasksConfig
	// OnRun is called when a task starts for the first time. It may be nil.
	OnRun func(host glade.Host, epoch uint64, task glade.Task)
}

// NewWorkers returns healthy workers without running work.
func NewWorkers(config WorkersConfig) *Workers {
	w := &Workers{
		clock: config.Clock, bootTime: config.BootTime, hosts: make(map[glade.Host]*worker, len(config.Hosts)), onRun: config.OnRun,
	}
	for _, listed := range config.Hosts {
		listed.Incarnation = max(listed.Incarnation, 1)
		w.hosts[listed.Host] = &worker{listed: listed, tasks: NewTasks(config.Tasks)}
		w.names = append(w.names, listed.Host)
	}
	slices.Sort(w.names)
	return w
}

// SetFault sets the fault of a worker; Healthy clears it. A dead worker that
// recovers returns as a new incarnation.
func (w *Workers) SetFault(host glade.Host, fault Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[host]
	if h.fault == Dead && fault != Dead {
		h.listed.Incarnation++
		h.listed.Leaving = false
		h.running = 0
		h.tasks.DropAll(w.clock.Now())
	}
	h.fault = fault
	h.tasks.SetFailing(fault == Failing)
}

// SetRunning sets the number of requests and tasks that run on a host. On a
// draining or rebooting host the number can only fall.
func (w *Workers) SetRunning(host glade.Host, running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.hosts[host]
	if h.listed.Leaving || !w.isUp(h) {
		running = min(running, h.running)
	}
	h.running = running
}

// Interrupted returns the number of requests and tasks that reboots interrupted.
func (w *Workers) Interrupted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.interrupted
}

func (w *Workers) isUp(h *worker) bool {
	return h.fault != Dead && !w.clock.Now().Before(h.upAt)
}

// List returns the hosts that are up.
func (w *Workers) List(context.Context) ([]glade.HostListing, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]glade.HostListing, 0, len(w.names))
	for _, name := range w.names {
		if h := w.hosts[name]; w.isUp(h) {
			list = append(list, h.listed)
		}
	}
	return list, nil
}

// find returns a worker that is reachable. The caller holds the lock.
func (w *Workers) find(host glade.Host) (*worker, error) {
	h, ok := w.hosts[host]
	if !ok || !w.isUp(h) || h.fault == Unreachable {
		return nil, ErrUnreachable
	}
	return h, nil
}

// State returns the state that a worker reports.
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

// Drain makes a host refuse new work.
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

// Reboot restarts a host as a new incarnation that runs service. It is
// idempotent: repeating it with the same epoch and service has no effect.
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
	w.interrupted += h.running + h.tasks.DropAll(w.clock.Now())
	h.running = 0
	h.epoch = epoch
	h.listed.Incarnation++
	h.listed.Leaving = false
	h.listed.Service = service
	h.upAt = w.clock.Now().Add(w.bootTime)
	return nil
}

// command runs fn on a worker. A worker with the fault LoseCommandAnswers runs it,
// but the answer is lost.
func (w *Workers) command(host glade.Host, fn func(h *worker, now time.Time) error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, err := w.find(host)
	if err != nil {
		return err
	}
	err = fn(h, w.clock.Now())
	if h.fault == LoseCommandAnswers {
		return ErrUnreachable
	}
	return err
}

// Start starts a task.
func (w *Workers) Start(_ context.Context, host glade.Host, epoch uint64, task glade.Task) error {
	return w.command(host, func(h *worker, now time.Time) error {
		if epoch < h.epoch {
			return ErrEpoch
		}
		if h.listed.Leaving {
			return ErrDraining
		}
		h.epoch = epoch
		started, err := h.tasks.Start(task, now)
		if started && w.onRun != nil {
			w.onRun(host, epoch, task)
		}
		return err
	})
}

// Stop ends a task. A task id that equals the host's name ends one unit of the
// work set by SetRunning.
func (w *Workers) Stop(_ context.Context, host glade.Host, task string, withCheckpoint bool) error {
	return w.command(host, func(h *worker, now time.Time) error {
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
	return w.command(host, func(h *worker, now time.Time) error {
		h.tasks.Throttle(task, cores, now)
		return nil
	})
}

// Tasks returns the tasks of a host. Each unit of the work set by SetRunning is
// reported as a task with the host's name as its id.
func (w *Workers) Tasks(_ context.Context, host glade.Host) ([]glade.TaskState, error) {
	var states []glade.TaskState
	err := w.command(host, func(h *worker, now time.Time) error {
		states = h.tasks.Report(now)
		for range h.running {
			states = append(states, glade.TaskState{ID: string(host), Phase: glade.TaskRunning})
		}
		return nil
	})
	return states, err
}

// Memory returns the memory used by the tasks of a host, in bytes.
func (w *Workers) Memory(host glade.Host) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hosts[host].tasks.Memory(w.clock.Now())
}

// Probe sends one request to an endpoint. The address is the host's name, with
// or without the port ":0".
func (w *Workers) Probe(_ context.Context, address string, service glade.Service, _ string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	h, err := w.find(glade.Host(strings.TrimSuffix(address, ":0")))
	if err != nil {
		return err
	}
	if h.fault == Failing || h.listed.Leaving || h.listed.Service != service {
		return ErrProbe
	}
	return nil
}
