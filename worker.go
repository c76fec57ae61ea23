package glade

import (
	"context"

	"github.com/pkg/errors"
)

// ErrRefused means that a worker received a command and did not carry it out:
// the epoch is stale, the host drains, or the task was stopped before.
var ErrRefused = errors.New("worker refused the command")

// HostListing is a row of the platform's host list, which may be some seconds old.
type HostListing struct {
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

// Endpoint returns the endpoint incarnation that the row describes.
func (l HostListing) Endpoint() Endpoint {
	return Endpoint{Host: l.Host, Incarnation: l.Incarnation}
}

// HostList provides the platform's list of live and leaving hosts.
type HostList interface {
	// List returns the list as it stood some seconds ago.
	List(ctx context.Context) ([]HostListing, error)
}

// WorkerState is the state that a worker host reports.
type WorkerState struct {
	Host        Host    `json:"host"`
	Incarnation uint64  `json:"inc"`
	Draining    bool    `json:"draining"`
	Running     int     `json:"running"`
	Service     Service `json:"service"`
	Epoch       uint64  `json:"epoch"`
}

// Workers sends commands to the platform's worker hosts. Drain, Reboot and
// Start carry the epoch from the host's ownership row, and the worker refuses
// an epoch older than the newest that it has seen.
type Workers interface {
	// State asks a worker for its state.
	State(ctx context.Context, host Host) (WorkerState, error)
	// Drain makes the host refuse new work. Running work may finish.
	Drain(ctx context.Context, host Host, epoch uint64) error
	// Reboot restarts an idle host. The host returns as a new incarnation that
	// runs service and is not draining.
	Reboot(ctx context.Context, host Host, epoch uint64, service Service) error
	// Start runs a task under a lease. It returns an error when the worker
	// refuses or can't be reached. Start is idempotent: repeating it for the
	// same task has no effect. After a Stop of the same task it is refused.
	Start(ctx context.Context, host Host, epoch uint64, task Task) error
	// Stop ends a task, even one whose Start has not arrived yet. If checkpoint
	// is set, the task writes a checkpoint first, and the next report of the
	// task carries it.
	Stop(ctx context.Context, host Host, task string, checkpoint bool) error
	// Tasks reports the tasks of a host with their resource usage, which lags.
	Tasks(ctx context.Context, host Host) ([]TaskState, error)
}

// Prober sends one request to an endpoint to see that the endpoint works.
type Prober interface {
	// Probe returns nil when the endpoint gave a complete answer.
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
	// Checkpoint is the checkpoint to resume from.
	Checkpoint []byte `json:"saved,omitempty"`
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
	// Memory is the highest usage seen so far, in bytes; 0 before the first
	// usage report.
	Memory int64  `json:"memory"`
	Reason string `json:"reason,omitempty"`
	Result []byte `json:"result,omitempty"`
}
