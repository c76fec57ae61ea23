package glade

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// RunnerID identifies a runner from one start to the next: a restarted runner
// gets a new id.
type RunnerID string

// RunnerInfo is the entry of a runner in the platform's list.
type RunnerInfo struct {
	ID      RunnerID
	Address string
	Service Service
	Zone    Zone
	Rack    Rack
	Labels  []string
	// Capacity is the capacity of the runner.
	Capacity Need
	Draining bool
	// MinTimeLeft is the least time until a draining runner stops.
	MinTimeLeft time.Duration
	// Born is the start time of the runner, in Unix milliseconds.
	Born int64
}

// TaskID identifies a task of one occurrence of a batch.
type TaskID struct {
	Batch      BatchID
	Occurrence int
	Step       int
	Index      int
}

// StartOrder asks a runner to start a run of a task.
type StartOrder struct {
	Task TaskID
	// Run is the number of the run. A runner refuses a run that is not newer than
	// the last one of the task.
	Run  int64
	Spec string
	// LeaseUntil is when the lease ends, in milliseconds on the runner's clock.
	LeaseUntil int64
	// Fence is the fencing token of the leader that sends the order.
	Fence int64
	// Checkpoint is the checkpoint to resume from.
	Checkpoint string
	// Ticket is the permission of the advice service. It is empty for queues
	// that need none.
	Ticket string
}

// RunRefusal is the reason why a runner did not start a run.
type RunRefusal string

// Refusals of a runner.
const (
	RunAccepted     RunRefusal = ""
	RefusedFence    RunRefusal = "fence" // the fencing token is stale
	RefusedStale    RunRefusal = "old"   // the run is not newer than the last one
	RefusedExpired  RunRefusal = "late"  // the lease has expired
	RefusedCapacity RunRefusal = "room"  // the runner has too few free resources
	// RefusedTicket means that the runner needs a newer ticket.
	RefusedTicket RunRefusal = "ticket"
	// RefusedOther means that the runner can't parse or serve the order.
	RefusedOther RunRefusal = "other"
)

// RunAnswer is a runner's answer to an order about a run.
type RunAnswer struct {
	Refused RunRefusal
	// Clock is the runner's clock in milliseconds, or 0 when the answer carries
	// none.
	Clock int64
}

// ErrNotExecuted means that the order was certainly not carried out. After any other
// error it may have been.
var ErrNotExecuted = errors.New("order was not carried out")

// HeartbeatOrder renews the leases of all runs of a runner, and asks for the runs
// that are active or have ended.
type HeartbeatOrder struct {
	Fence int64
	// AckedSeq is the number of the newest ended run that the runner may forget.
	AckedSeq int64
	// LeaseUntil is the new end of the leases, in milliseconds on the runner's
	// clock; 0 leaves the leases unchanged.
	LeaseUntil int64
	// Wait is how long the runner may delay its answer until a run ends (long
	// polling).
	Wait time.Duration
	// Probe marks a heartbeat that is sent while the answer to another one is overdue. It renews
	// no lease, acknowledges nothing and is answered at once.
	Probe bool
	// KindCheck means that only the incarnation in the answer matters.
	KindCheck bool
}

// EndReason is the reason why a run ended.
type EndReason string

// Reasons why a run ends.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndStopped      EndReason = "stopped"
	EndLeaseExpired EndReason = "lapsed" // the lease expired
	EndBroken       EndReason = "broken"
	EndAlone        EndReason = "alone"
)

// ActiveRun is a run that its runner reports as active.
type ActiveRun struct {
	Task       TaskID
	Run        int64
	Checkpoint string
	Percent    int
	// Metric is the tail latency in milliseconds for a task with a target, and
	// the CPU use in thousandths of a core for any other task.
	Metric float64
}

// EndedRun is a run that its runner reports as ended.
type EndedRun struct {
	Seq        int64
	Task       TaskID
	Run        int64
	Reason     EndReason
	Checkpoint string
}

// HeartbeatAnswer is a runner's answer to the renewal of its leases.
type HeartbeatAnswer struct {
	Born    int64
	Clock   int64
	Refused RunRefusal
	Running []ActiveRun
	Ended   []EndedRun
	// Incomplete means that further runs may have ended: their absence from the lists
	// shows nothing.
	Incomplete bool
}

// Runners sends orders to runners. After an error other than ErrNotExecuted the
// order may have been carried out, or may still be.
type Runners interface {
	Start(ctx context.Context, to RunnerInfo, order StartOrder) (RunAnswer, error)
	Stop(ctx context.Context, to RunnerInfo, task TaskID, run, fence int64) (RunAnswer, error)
	// Throttle slows a run down to a percentage of its full speed; 100 ends the
	// throttling.
	Throttle(ctx context.Context, to RunnerInfo, task TaskID, run, fence int64, percent int) (RunAnswer, error)
	// Heartbeat renews the leases of all runs of a runner, and returns the active
	// and the ended runs.
	Heartbeat(ctx context.Context, to RunnerInfo, order HeartbeatOrder) (HeartbeatAnswer, error)
}

// PartitionRow is a row of the partitioned table service.
type PartitionRow struct {
	Table   string
	Part    string
	Key     string
	Value   []byte
	Version int64
	// Deleted marks a row that a feed reports as deleted.
	Deleted bool
}

// PartitionTxn is a transaction within one partition.
type PartitionTxn struct {
	Checks  []PartitionRow
	Puts    []PartitionRow
	Deletes []PartitionRow
}

// RowPage is a part of a listing, in the order of the keys.
type RowPage struct {
	Rows []PartitionRow
	// Next is where the listing continues; empty if nothing follows.
	Next string
	// Version is the newest version in the table service when the page was read.
	Version int64
}

// ErrHistoryTrimmed means that the feed no longer has all changes after the requested
// version.
var ErrHistoryTrimmed = errors.New("feed history does not reach back to the requested version")

// PartitionedTable is a table service whose transactions are limited to one partition.
type PartitionedTable interface {
	// Commit runs a transaction. When the result is Conflicted, rows are the
	// checked rows as they stand.
	Commit(ctx context.Context, txn PartitionTxn) (version int64, rows []PartitionRow, result CommitResult)
	// List returns every row of a partition of a table, and the version at
	// which they were read.
	List(ctx context.Context, table, part string) ([]PartitionRow, int64, error)
	// ListPage returns the first rows of a partition whose keys are not below from, at
	// most limit of them. The service may return fewer.
	ListPage(ctx context.Context, table, part, from string, limit int) (RowPage, error)
	// Partitions returns the partitions of a table that have rows.
	Partitions(ctx context.Context, table string) ([]string, error)
	// Get returns one row. Version 0 means that the row is absent.
	Get(ctx context.Context, table, part, key string) (PartitionRow, error)
	// Feed waits for changes of a table after the version after. It returns the
	// changes and the version to continue from.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]PartitionRow, int64, error)
}

// HostState is the state of a host in the platform's inventory.
type HostState string

// States of a host.
const (
	HostUp          HostState = "up"
	HostMoving      HostState = "moving"
	HostMaintenance HostState = "upkeep"
	HostDown        HostState = "down"
	// HostUnknown is the state of a host whose entry can't be read.
	HostUnknown HostState = "unknown"
)

// HostInfo is a host in the platform's inventory.
type HostInfo struct {
	Host     Host
	Pool     Service
	State    HostState
	Zone     Zone
	Rack     Rack
	Labels   []string
	Capacity Need
	// Runner identifies the runner on the host.
	Runner RunnerID
}

// HostRefusal is the reason why the inventory did not carry out an order on a
// host.
type HostRefusal string

// Refusals of the inventory.
const (
	HostAccepted HostRefusal = ""
	HostFenced   HostRefusal = "fence" // the fencing token is stale
	HostBusy     HostRefusal = "busy"  // the host is not up
	HostNoWave   HostRefusal = "wave"  // the host is not part of the wave
	HostInvalid  HostRefusal = "invalid"
	// HostLimited means that the inventory is overloaded or limits the rate of
	// calls; retry later.
	HostLimited HostRefusal = "limited"
)

// Permit is a leader's right to order hosts.
type Permit struct {
	// Fence is the fencing token of the leader.
	Fence int64
	// Expiry is the uptime of this machine after which no byte of the order may be
	// sent; 0 where hosts check fencing tokens.
	Expiry time.Duration
}

// Inventory moves hosts between pools and takes them down for maintenance.
type Inventory interface {
	Hosts(ctx context.Context) ([]HostInfo, error)
	Move(ctx context.Context, host Host, pool Service, permit Permit) (HostRefusal, error)
	Maintain(ctx context.Context, host Host, wave int64, permit Permit) (HostRefusal, error)
	// Report tells the operator that a wave has begun, or with done set that it
	// is complete. The beginning is reported only if there is no report of the
	// wave yet.
	Report(ctx context.Context, wave int64, done bool) error
}

// ReportStore stores reports for the operator.
type ReportStore interface {
	// Report writes a report. With first set, it leaves an existing report of the
	// same key unchanged.
	Report(ctx context.Context, key string, body []byte, first bool) error
}

// WaveOrder is an operator's order to maintain hosts.
type WaveOrder struct {
	Wave  int64
	Hosts []Host
	// Within is the time in which all hosts are to be maintained.
	Within time.Duration
	// MaxDown is the maximum number of hosts that are down for maintenance at once.
	MaxDown int
}

// Advisor asks the advice service which runners may run a step.
type Advisor interface {
	// Advise returns a ticket for each runner that may run the step, and how
	// long the tickets are valid.
	Advise(ctx context.Context, batch BatchID, occurrence, step int, runners []RunnerID) (map[RunnerID]string, time.Duration, error)
}
