package glade

import (
	"strings"
	"time"
)

// BatchID identifies a batch: 16 hexadecimal digits chosen by its caller.
type BatchID string

// Queue names a queue of batches.
type Queue string

// Batch is a job of several steps, each with several tasks. It can recur.
type Batch struct {
	// Spec is passed to every task unchanged.
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// FirstDue is when occurrence 0 is due, in Unix milliseconds; 0 means at once.
	FirstDue int64 `json:"first,omitempty"`
	// Interval is the interval between two occurrences, in milliseconds.
	Interval int64 `json:"every,omitempty"`
	// Times is the number of occurrences; 0 means a single one without a due
	// time.
	Times int `json:"times,omitempty"`
	// Tenant is the tenant that submitted the batch, known from the key of the
	// call; empty for batches of public queues and of contracts without tenants.
	Tenant Tenant `json:"tenant,omitempty"`
}

// Occurrences returns how many times the steps run.
func (b Batch) Occurrences() int { return max(b.Times, 1) }

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks, Need what each of them occupies.
	Count int  `json:"count"`
	Need  Need `json:"need"`
	// Estimate is the caller's rough estimate of a task's run time, in
	// milliseconds.
	Estimate int64 `json:"est,omitempty"`
	// After lists the indexes of earlier steps whose tasks must all be done
	// first.
	After []int `json:"after,omitempty"`
	// SavesCheckpoints means that an interrupted task resumes from its newest
	// checkpoint.
	SavesCheckpoints bool `json:"saves,omitempty"`
	// Gang means that the tasks run all at the same time or not at all.
	Gang bool `json:"gang,omitempty"`
	// OneRack means that the tasks run slowly when spread over several racks.
	OneRack bool `json:"onerack,omitempty"`
	// Label is a label that the runner must have; empty means any runner.
	Label string `json:"label,omitempty"`
	// Rack is the rack that holds the tasks' data.
	Rack Rack `json:"rack,omitempty"`
	// MaxPerRunner is the maximum number of tasks on one runner; 0 means no limit.
	MaxPerRunner int `json:"spread,omitempty"`
	// AllowsCopies allows speculative copies of a task; the first one to end counts.
	AllowsCopies bool `json:"copies,omitempty"`
	// LongRunning tasks run until the batch is cancelled.
	LongRunning bool   `json:"lasting,omitempty"`
	Image       string `json:"image,omitempty"`
	// Target is the response time objective of a long-running task, in milliseconds.
	Target int64 `json:"target,omitempty"`
	// Fills means that the tasks only use CPU time that other tasks leave idle.
	Fills bool `json:"fills,omitempty"`
	// MayMiss is the number of long-running tasks that the system may
	// interrupt at the same time.
	MayMiss int `json:"maymiss,omitempty"`
}

// Need is the resources that one task occupies.
type Need struct {
	// CPU is in thousandths of a core.
	CPU int `json:"cpu,omitempty"`
	// Memory is in megabytes.
	Memory int `json:"mem,omitempty"`
	Accels int `json:"acc,omitempty"`
}

// Plus returns the sum of two needs.
func (n Need) Plus(m Need) Need {
	return Need{CPU: n.CPU + m.CPU, Memory: n.Memory + m.Memory, Accels: n.Accels + m.Accels}
}

// Minus returns n less m, which may be negative.
func (n Need) Minus(m Need) Need {
	return Need{CPU: n.CPU - m.CPU, Memory: n.Memory - m.Memory, Accels: n.Accels - m.Accels}
}

// Fits reports whether every resource of n is at most that of capacity.
func (n Need) Fits(capacity Need) bool {
	return n.CPU <= capacity.CPU && n.Memory <= capacity.Memory && n.Accels <= capacity.Accels
}

// Largest amounts that a host can have. Sums of them over a fleet stay within an int.
const (
	maxCPU    = 1 << 30 // millicores
	maxMemory = 1 << 40 // megabytes
	maxAccels = 1 << 20
)

// IsPlausible reports whether one host can have these amounts: none is negative or too large.
func (n Need) IsPlausible() bool {
	return n.CPU >= 0 && n.CPU <= maxCPU && n.Memory >= 0 && n.Memory <= maxMemory && n.Accels >= 0 && n.Accels <= maxAccels
}

// BatchState is the state of a batch that callers see.
type BatchState string

// States of a batch.
const (
	BatchQueued    BatchState = "queued"
	BatchRunning   BatchState = "running"
	BatchDone      BatchState = "done"
	BatchFailed    BatchState = "failed"
	BatchCancelled BatchState = "cancelled"
)

// IsFinal reports whether the state is final.
func (s BatchState) IsFinal() bool {
	return s == BatchDone || s == BatchFailed || s == BatchCancelled
}

// QueueRule is the part of the contract about one queue.
type QueueRule struct {
	Queue Queue
	// Host and Prefix are the host name and the path prefix of requests to the
	// queue.
	Host    string
	Prefix  string
	Service Service
	// Priority 0 is the highest.
	Priority int
	// MaxFailures is the number of failures of one task after which its batch
	// fails.
	MaxFailures int
	// The completion time objective is Stretch times the longest chain of work,
	// plus Slack.
	Stretch float64
	Slack   time.Duration
	Timeout time.Duration
	// NeedsAdvice queues run only on runners that the advice service allows.
	NeedsAdvice bool
	// Public queues need no key. Their batches belong to no tenant.
	Public bool
}

// Path returns the host name in lower case, followed by the path prefix. It identifies the queue to
// callers.
func (r QueueRule) Path() string { return strings.ToLower(r.Host) + r.Prefix }

// TenantRule is the part of the contract about one tenant.
type TenantRule struct {
	Tenant Tenant
	// Keys are the keys that its callers may present.
	Keys []string
	// Weight is the tenant's share when capacity is short, in batches per second.
	Weight float64
	// Limit is the most that its running tasks may occupy over all services; a
	// resource of 0 is not limited.
	Limit Need
}

// ServiceRule is the part of the contract about one service.
type ServiceRule struct {
	Service Service
	// Spare marks a pool whose hosts are switched off and cost nothing.
	Spare bool
}

// Rules is one version of the contract, as the operator wrote it.
type Rules struct {
	Version  int64
	Queues   []QueueRule
	Services []ServiceRule
	// Tenants is empty if the contract knows no tenants. Calls need no key then.
	Tenants []TenantRule
	// MaxRequestBytes limits the size of a request body; 0 means no limit.
	MaxRequestBytes int64
}
