package glade

import (
	"context"

	"github.com/pkg/errors"
)

// ErrRefused is the error of a command that a worker got and did not carry out:
// its epoch is stale, the host drains, or the task was stopped before.
var ErrRefused = errors.New("worker refused the command")

// Listed is one row of the platform's host list. The list lags.
type Listed struct {
	Host        Host    `json:"host"`
	Zone        Zone    `json:"zone"`
	Rack        Rack    `json:"rack"`
	Address     string  `json:"address"`
	Incarnation uint64  `json:"inc"`
	Leaving     bool    `json:"leaving"`
	Service     Service `json:"service"`
	Cores       int     `json:"cores"`
	Memory      int64   `json:"memory"`
	Accels      int     `json:"accels"`
}

// Endpoint returns the incarnation that the row describes.
func (l Listed) Endpoint() Endpoint {
	return Endpoint{Host: l.Host, Incarnation: l.Incarnation}
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	// List returns the list as it stood some seconds ago.
	List(ctx context.Context) ([]Listed, error)
}

// WorkerState is what a worker host reports of itself.
type WorkerState struct {
	Host        Host    `json:"host"`
	Incarnation uint64  `json:"inc"`
	Draining    bool    `json:"draining"`
	Running     int     `json:"running"`
	Service     Service `json:"service"`
	Epoch       uint64  `json:"epoch"`
}

// Workers commands the platform's worker hosts. Each command carries the
// host's epoch from its ownership row; the worker refuses an older epoch than
// the newest it has seen.
type Workers interface {
	// State asks a worker for its state.
	State(ctx context.Context, host Host) (WorkerState, error)
	// Drain stops new work on the host and lets running work finish.
	Drain(ctx context.Context, host Host, epoch uint64) error
	// Reboot restarts an idle host. It comes back as a new incarnation that
	// runs service, not draining.
	Reboot(ctx context.Context, host Host, epoch uint64, service Service) error
	// Start runs a task under a lease. It returns an error when the worker
	// refuses or can't be reached. A repeated Start of the same task has no
	// effect, and a Start after a Stop of the same task is refused.
	Start(ctx context.Context, host Host, epoch uint64, task Task) error
	// Stop ends a task, also one that has not arrived yet. A checkpoint is
	// written first when asked for; the next report of the task carries it.
	Stop(ctx context.Context, host Host, task string, checkpoint bool) error
	// Tasks reports the tasks of a host with their usage, which lags.
	Tasks(ctx context.Context, host Host) ([]TaskState, error)
}

// Prober runs one request on an endpoint to see that it works.
type Prober interface {
	// Probe returns nil when the endpoint gave a whole answer to the request.
	Probe(ctx context.Context, address string, service Service, id string) error
}

// Task is one run of a job on a worker.
type Task struct {
	ID      string `json:"id"`
	Job     string `json:"job"`
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Cores   int    `json:"cores"`
	Memory  int64  `json:"memory"`
	Accels  int    `json:"accels"`
	Payload []byte `json:"payload"`
	// Saved is the checkpoint to go on from.
	Saved []byte `json:"saved,omitempty"`
}

// TaskPhase is the phase of a task on a worker.
type TaskPhase string

// Phases of a task.
const (
	TaskRunning TaskPhase = "running"
	TaskDone    TaskPhase = "done"
	TaskFailed  TaskPhase = "failed"
	TaskStopped TaskPhase = "stopped"
)

// TaskState is a worker's report of one task.
type TaskState struct {
	ID    string    `json:"id"`
	Job   string    `json:"job"`
	Fence uint64    `json:"fence"`
	Phase TaskPhase `json:"phase"`
	// Memory is the greatest use seen so far, in bytes; 0 before the first
	// report of usage.
	Memory int64  `json:"memory"`
	Reason string `json:"reason,omitempty"`
	Result []byte `json:"result,omitempty"`
}
