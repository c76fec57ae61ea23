package glade

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// RunnerID names one life of a host.
type RunnerID string

// RunnerInfo is what a runner says of itself in the platform's list.
type RunnerInfo struct {
	ID       RunnerID
	Address  string
	Service  Service
	Zone     Zone
	Rack     Rack
	Labels   []string
	Room     Need
	Draining bool
	// Left is the least time until a draining runner goes.
	Left time.Duration
	// Born is the start of this life, in milliseconds since 1970.
	Born int64
}

// TaskID names a task of an occurrence of a batch.
type TaskID struct {
	Batch      BatchID
	Occurrence int
	Step       int
	Index      int
}

// RunOrder asks a runner to start a run of a task.
type RunOrder struct {
	Task TaskID
	Run  int64
	Spec string
	// Until is the end of the lease on the runner's clock, in milliseconds.
	Until int64
	Fence int64
	Saved string
	// Ticket is the advice service's leave, where one is needed.
	Ticket string
}

// RunRefusal says why a runner did not start a run.
type RunRefusal string

// Reasons of a runner.
const (
	RunAccepted  RunRefusal = ""
	RefusedFence RunRefusal = "fence"
	RefusedOld   RunRefusal = "old"
	RefusedLate  RunRefusal = "late"
	RefusedRoom  RunRefusal = "room"
	// RefusedTicket asks for a newer ticket.
	RefusedTicket RunRefusal = "ticket"
	// RefusedOther is an order that the runner can't read or serve.
	RefusedOther RunRefusal = "other"
)

// RunAnswer is a runner's answer to an order on a run.
type RunAnswer struct {
	Refused RunRefusal
	// Clock is the runner's clock in milliseconds, 0 when the answer has none.
	Clock int64
}

// ErrNotRun marks an order that certainly was not carried out.
var ErrNotRun = errors.New("order was not carried out")

// HoldOrder renews the lease of all that runs, and asks what runs and ended.
type HoldOrder struct {
	Fence int64
	// Seen is the number of the newest end that may be forgotten.
	Seen int64
	// Until is the end of the lease on the runner's clock, in milliseconds; 0
	// leaves it as it is.
	Until int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// RunHow is how a run ended.
type RunHow string

// Ends of a run.
const (
	EndDone    RunHow = "done"
	EndFailed  RunHow = "failed"
	EndStopped RunHow = "stopped"
	EndLapsed  RunHow = "lapsed"
	EndBroken  RunHow = "broken"
	EndAlone   RunHow = "alone"
)

// ActiveRun is one run as its runner lists it.
type ActiveRun struct {
	Task    TaskID
	Run     int64
	Saved   string
	Percent int
	// Figure is the tail in milliseconds for a task with a target, and the
	// thousandths of a core in use for any other.
	Figure float64
}

// EndedRun is one end as its runner lists it.
type EndedRun struct {
	Number int64
	Task   TaskID
	Run    int64
	How    RunHow
	Saved  string
}

// HoldAnswer is a runner's answer to a hold.
type HoldAnswer struct {
	Born    int64
	Clock   int64
	Refused RunRefusal
	Running []ActiveRun
	Ended   []EndedRun
}

// Runners gives orders to runners. An error that is not ErrNotRun leaves open
// whether the order was, or will be, carried out.
type Runners interface {
	Start(ctx context.Context, to RunnerInfo, order RunOrder) (RunAnswer, error)
	Stop(ctx context.Context, to RunnerInfo, task TaskID, run, fence int64) (RunAnswer, error)
	Pace(ctx context.Context, to RunnerInfo, task TaskID, run, fence int64, percent int) (RunAnswer, error)
	Hold(ctx context.Context, to RunnerInfo, order HoldOrder) (HoldAnswer, error)
}

// PartRow is a row of a partitioned table service.
type PartRow struct {
	Table   string
	Part    string
	Key     string
	Value   []byte
	Version int64
	// Gone marks a row that a feed reports as deleted.
	Gone bool
}

// PartTxn is a transaction within one partition.
type PartTxn struct {
	Checks  []PartRow
	Puts    []PartRow
	Deletes []PartRow
}

// ErrHistory tells that a feed's history does not go back far enough.
var ErrHistory = errors.New("history of the feed is gone")

// Ledger is a table service whose transactions lie within one partition.
type Ledger interface {
	// Commit runs a transaction. The rows are the checked ones as they stand
	// when the result is Conflicted.
	Commit(ctx context.Context, txn PartTxn) (version int64, rows []PartRow, result Commit)
	// List returns every row of a partition of a table, and the version as of
	// which they stand.
	List(ctx context.Context, table, part string) ([]PartRow, int64, error)
	// Get returns one row; version 0 means that it is absent.
	Get(ctx context.Context, table, part, key string) (PartRow, error)
	// Feed waits for changes of a table after a version, and returns them with
	// the version to go on from.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]PartRow, int64, error)
}

// HostState is the state of a host in the platform's inventory.
type HostState string

// States of a host.
const (
	HostUp     HostState = "up"
	HostMoving HostState = "moving"
	HostUpkeep HostState = "upkeep"
	HostDown   HostState = "down"
)

// HostInfo is a host as the platform's inventory shows it.
type HostInfo struct {
	Host   Host
	Pool   Service
	State  HostState
	Zone   Zone
	Rack   Rack
	Labels []string
	Room   Need
	Runner RunnerID
}

// HostRefusal says why an order on a host was not carried out.
type HostRefusal string

// Reasons of the inventory.
const (
	HostAccepted HostRefusal = ""
	HostFenced   HostRefusal = "fence"
	HostBusy     HostRefusal = "busy"
	HostNoWave   HostRefusal = "wave"
	HostInvalid  HostRefusal = "invalid"
	// HostLimited asks to come back later.
	HostLimited HostRefusal = "limited"
)

// Inventory moves hosts between pools and takes them down for maintenance.
type Inventory interface {
	Hosts(ctx context.Context) ([]HostInfo, error)
	Move(ctx context.Context, host Host, pool Service, fence int64) (HostRefusal, error)
	Maintain(ctx context.Context, host Host, wave, fence int64) (HostRefusal, error)
	// Report tells the operator that a wave has begun or is done. That it has
	// begun is told only while nothing was told yet.
	Report(ctx context.Context, wave int64, done bool) error
}

// Reports takes reports for the operator.
type Reports interface {
	// Report writes a report, or with first only the first one of its key.
	Report(ctx context.Context, key string, body []byte, first bool) error
}

// WaveOrder asks for the maintenance of hosts.
type WaveOrder struct {
	Wave  int64
	Hosts []Host
	// Within is the time in which all are to be maintained.
	Within time.Duration
	// Most is the number that may be down for it at once.
	Most int
}

// Advisor asks the advice service which runners may run a step.
type Advisor interface {
	// Advise returns a ticket for each runner that may run the step, and how
	// long the tickets hold.
	Advise(ctx context.Context, batch BatchID, occurrence, step int, runners []RunnerID) (map[RunnerID]string, time.Duration, error)
}
