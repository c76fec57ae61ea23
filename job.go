package glade

import (
	"context"
	"strings"
)

// Keys of the job rows, beside PrefixJob.
const (
	// PrefixInbox is followed by the customer and the page: it lists jobs that
	// may still be open, so that nobody has to read all jobs to find them.
	PrefixInbox = "inbox/"
	// PrefixLead is followed by the shard: the keeper that places its jobs.
	PrefixLead = "lead/"
	// PrefixSuspect is followed by the host: a host that failed what it ran.
	PrefixSuspect = "suspect/"
	// PrefixResult is followed by the ticket and the fence in the object store.
	PrefixResult = "result/"
)

// Ticket names an accepted job: the customer, a dot, and an id.
type Ticket string

// NewTicket returns the ticket of a customer's job.
func NewTicket(customer Customer, id string) Ticket {
	return Ticket(string(customer) + "." + id)
}

// Customer returns the customer that the job belongs to, and false when the
// text is no ticket.
func (t Ticket) Customer() (Customer, bool) {
	customer, id, ok := strings.Cut(string(t), ".")
	return Customer(customer), ok && customer != "" && id != "" && !strings.Contains(id, "/")
}

// Priority orders jobs.
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

// Size is an amount of a host's resources.
type Size struct {
	Cores int `json:"cores"`
	// Memory is in bytes.
	Memory int64 `json:"memory"`
	Accels int   `json:"accels"`
}

// Plus returns the sum.
func (s Size) Plus(o Size) Size {
	return Size{Cores: s.Cores + o.Cores, Memory: s.Memory + o.Memory, Accels: s.Accels + o.Accels}
}

// Minus returns the difference, which may be negative.
func (s Size) Minus(o Size) Size {
	return Size{Cores: s.Cores - o.Cores, Memory: s.Memory - o.Memory, Accels: s.Accels - o.Accels}
}

// Max returns the greater of each resource.
func (s Size) Max(o Size) Size {
	return Size{Cores: max(s.Cores, o.Cores), Memory: max(s.Memory, o.Memory), Accels: max(s.Accels, o.Accels)}
}

// Fits tells whether s fits into room.
func (s Size) Fits(room Size) bool {
	return s.Cores <= room.Cores && s.Memory <= room.Memory && s.Accels <= room.Accels
}

// JobPhase is the phase of a job.
type JobPhase string

// Phases of a job. Done, failed and cancelled are final; a parked job can only
// be cancelled.
const (
	JobAccepted  JobPhase = "accepted"
	JobPlaced    JobPhase = "placed"
	JobRunning   JobPhase = "running"
	JobDone      JobPhase = "done"
	JobFailed    JobPhase = "failed"
	JobCancelled JobPhase = "cancelled"
	JobParked    JobPhase = "parked"
)

// IsOpen tells whether keepers still have work to do for a job in this phase.
func (p JobPhase) IsOpen() bool {
	return p == JobAccepted || p == JobPlaced || p == JobRunning
}

// IsFinal tells whether a job in this phase never changes again.
func (p JobPhase) IsFinal() bool {
	return p == JobDone || p == JobFailed || p == JobCancelled
}

// Try is one run of a job that failed.
type Try struct {
	Host   Host   `json:"host"`
	Rack   Rack   `json:"rack"`
	Reason string `json:"reason"`
}

// JobRow is one accepted job.
type JobRow struct {
	Ticket   Ticket   `json:"ticket"`
	Customer Customer `json:"customer"`
	// Kind is the service whose pool runs the job.
	Kind     Service  `json:"kind"`
	Team     string   `json:"team,omitempty"`
	Priority Priority `json:"prio"`
	// Repeatable marks a job that may run twice without harm.
	Repeatable bool `json:"repeatable"`
	// Size and Time are what the caller declared.
	Size    Size   `json:"size"`
	Time    Span   `json:"time"`
	Payload []byte `json:"payload,omitempty"`

	Phase JobPhase `json:"phase"`
	// Reason explains a failed or parked job.
	Reason string `json:"reason,omitempty"`
	// Accepted and Since are when the job was accepted and when its phase
	// began, in milliseconds since 1970.
	Accepted int64 `json:"accepted"`
	Since    int64 `json:"since"`
	// Host, Rack, Epoch and Incarnation say where a placed job is.
	Host        Host   `json:"host,omitempty"`
	Rack        Rack   `json:"rack,omitempty"`
	Epoch       uint64 `json:"epoch,omitempty"`
	Incarnation uint64 `json:"inc,omitempty"`
	// Fence numbers the runs. Only the newest run can publish a result.
	Fence uint64 `json:"fence"`
	// Cancel marks a job whose cancellation was asked for while it was placed.
	Cancel bool  `json:"cancel,omitempty"`
	Tries  []Try `json:"tries,omitempty"`
	// Saved is the newest checkpoint.
	Saved []byte `json:"saved,omitempty"`
	// Result is the key of the result in the object store.
	Result string `json:"result,omitempty"`
}

// InboxRow is a page of jobs that were accepted together, or are to be
// cancelled together. It stays until each of them has ended.
type InboxRow struct {
	// Cancel asks for the end of the jobs.
	Cancel bool        `json:"cancel,omitempty"`
	Jobs   []InboxItem `json:"jobs"`
}

// InboxItem names one job of a page.
type InboxItem struct {
	Ticket   Ticket   `json:"ticket"`
	Priority Priority `json:"prio"`
}

// LeadRow names the keeper that places the jobs of a shard. Every transaction
// of that keeper on a job is conditional on this row's version.
type LeadRow struct {
	Node Node `json:"node"`
	// Want names a keeper that asks to take over.
	Want Node `json:"want,omitempty"`
	// Term rises with each change of the keeper.
	Term uint64 `json:"term"`
	// Beat rises while the keeper is alive.
	Beat uint64 `json:"beat"`
}

// SuspectRow marks a host on which many different jobs failed that run well
// elsewhere. Keepers place no jobs there; owners of hosts may repair it.
type SuspectRow struct {
	Host        Host   `json:"host"`
	Incarnation uint64 `json:"inc"`
	// Since is in milliseconds since 1970.
	Since    int64 `json:"since"`
	Failures int   `json:"failures"`
}

// Throttler is a platform whose workers can slow a running task down.
type Throttler interface {
	// Throttle limits a running task to a number of cores.
	Throttle(ctx context.Context, host Host, task string, cores int) error
}
