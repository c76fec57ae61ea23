package glade

import (
	"context"
	"strings"
)

// Table keys of job rows, besides PrefixJob.
const (
	// PrefixInbox is followed by the customer and the page number. Inbox pages
	// list the jobs that may still be open, so that finding those takes no scan
	// of all jobs.
	PrefixInbox = "inbox/"
	// PrefixLeader is followed by the shard. The row names the keeper that places
	// the shard's jobs.
	PrefixLeader = "lead/"
	// PrefixSuspect is followed by the host. The row marks a host on which many
	// jobs failed.
	PrefixSuspect = "suspect/"
	// PrefixResult is followed by the ticket and the fencing token. It is a key
	// of the object store.
	PrefixResult = "result/"
)

// Ticket identifies an accepted job: the customer, a dot, and an id.
type Ticket string

// NewTicket returns the ticket of a customer's job.
func NewTicket(customer Customer, id string) Ticket {
	return Ticket(string(customer) + "." + id)
}

// Customer returns the customer that the job belongs to, and false when t is
// not a valid ticket.
func (t Ticket) Customer() (Customer, bool) {
	customer, id, ok := strings.Cut(string(t), ".")
	return Customer(customer), ok && customer != "" && id != "" && !strings.Contains(id, "/")
}

// Priority decides which jobs are placed first.
type Priority string

// Priorities, the highest first.
const (
	Urgent Priority = "urgent"
	Normal Priority = "normal"
	Bulk   Priority = "batch"
)

// Rank returns 0 for the highest priority, and more for lower ones.
func (p Priority) Rank() int {
	switch p {
	case Urgent:
		return 0
	case Normal:
		return 1
	}
	return 2
}

// IsValid tells whether the priority is one of the three.
func (p Priority) IsValid() bool { return p == Urgent || p == Normal || p == Bulk }

// Resources is an amount of host resources.
type Resources struct {
	Cores int `json:"cores"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
	Accels int   `json:"accels"`
}

// Plus returns the sum.
func (r Resources) Plus(o Resources) Resources {
	return Resources{Cores: r.Cores + o.Cores, Memory: r.Memory + o.Memory, Accels: r.Accels + o.Accels}
}

// Minus returns the difference, which may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{Cores: r.Cores - o.Cores, Memory: r.Memory - o.Memory, Accels: r.Accels - o.Accels}
}

// Max returns the larger value of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{Cores: max(r.Cores, o.Cores), Memory: max(r.Memory, o.Memory), Accels: max(r.Accels, o.Accels)}
}

// Fits reports whether every resource of r is at most that of capacity.
func (r Resources) Fits(capacity Resources) bool {
	return r.Cores <= capacity.Cores && r.Memory <= capacity.Memory && r.Accels <= capacity.Accels
}

// JobPhase is a stage in the life of a job.
type JobPhase string

// Phases of a job. Done, failed and cancelled are final. A parked job is not
// retried and can only be cancelled.
const (
	JobAccepted  JobPhase = "accepted"
	JobPlaced    JobPhase = "placed"
	JobRunning   JobPhase = "running"
	JobDone      JobPhase = "done"
	JobFailed    JobPhase = "failed"
	JobCancelled JobPhase = "cancelled"
	JobParked    JobPhase = "parked"
)

// IsOpen reports whether the keepers still have work to do for the job.
func (p JobPhase) IsOpen() bool {
	return p == JobAccepted || p == JobPlaced || p == JobRunning
}

// IsFinal reports whether the phase can no longer change.
func (p JobPhase) IsFinal() bool {
	return p == JobDone || p == JobFailed || p == JobCancelled
}

// FailedRun is one failed run of a job.
type FailedRun struct {
	Host   Host   `json:"host"`
	Rack   Rack   `json:"rack"`
	Reason string `json:"reason"`
}

// JobRow is the table row of an accepted job.
type JobRow struct {
	Ticket   Ticket   `json:"ticket"`
	Customer Customer `json:"customer"`
	// Kind is the service whose pool runs the job.
	Kind     Service  `json:"kind"`
	Team     string   `json:"team,omitempty"`
	Priority Priority `json:"prio"`
	// Repeatable marks a job that may safely run more than once.
	Repeatable bool `json:"repeatable"`
	// Size and Time are the resources and the run time that the caller
	// declared.
	Size    Resources `json:"size"`
	Time    Span      `json:"time"`
	Payload []byte    `json:"payload,omitempty"`

	Phase JobPhase `json:"phase"`
	// Reason explains a failed or parked job.
	Reason string `json:"reason,omitempty"`
	// Accepted and Since are the times at which the job was accepted and
	// entered its phase, in Unix milliseconds.
	Accepted int64 `json:"accepted"`
	Since    int64 `json:"since"`
	// Host, Rack, Epoch and Incarnation identify where the job is placed.
	Host        Host   `json:"host,omitempty"`
	Rack        Rack   `json:"rack,omitempty"`
	Epoch       uint64 `json:"epoch,omitempty"`
	Incarnation uint64 `json:"inc,omitempty"`
	// Fence is the fencing token of the newest run. It rises with each run, and
	// only the newest run can publish a result.
	Fence uint64 `json:"fence"`
	// Cancel marks a placed job whose cancellation was requested.
	Cancel     bool        `json:"cancel,omitempty"`
	FailedRuns []FailedRun `json:"tries,omitempty"`
	// Checkpoint is the newest checkpoint.
	Checkpoint []byte `json:"saved,omitempty"`
	// Result is the key of the result in the object store.
	Result string `json:"result,omitempty"`
}

// InboxRow is a page of jobs that were accepted together or are to be cancelled
// together. It is kept until all of them have ended.
type InboxRow struct {
	// Cancel means that the jobs are to be cancelled.
	Cancel bool        `json:"cancel,omitempty"`
	Jobs   []InboxItem `json:"jobs"`
}

// InboxItem is one job of an inbox page.
type InboxItem struct {
	Ticket   Ticket   `json:"ticket"`
	Priority Priority `json:"prio"`
}

// LeaderRow names the keeper that places the jobs of a shard. Every transaction
// of that keeper on a job is conditional on this row's version, so a keeper
// that was replaced can't write.
type LeaderRow struct {
	Node Node `json:"node"`
	// RequestedBy is the keeper that asks to take over, if any.
	RequestedBy Node `json:"want,omitempty"`
	// Term rises with each change of the keeper.
	Term uint64 `json:"term"`
	// Heartbeats is the heartbeat counter of the keeper.
	Heartbeats uint64 `json:"beat"`
}

// SuspectRow marks a host on which many different jobs failed that succeed on
// other hosts. Keepers place no jobs there, and the keepers that own hosts may
// repair it.
type SuspectRow struct {
	Host        Host   `json:"host"`
	Incarnation uint64 `json:"inc"`
	// Since is in Unix milliseconds.
	Since    int64 `json:"since"`
	Failures int   `json:"failures"`
}

// Throttler is implemented by platforms whose workers can slow down a running
// task.
type Throttler interface {
	// Throttle limits a running task to a number of cores.
	Throttle(ctx context.Context, host Host, task string, cores int) error
}
