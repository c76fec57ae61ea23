package glade

// Keys of the table service. Every row value is an Entry, whose operation ids
// tell whether a write took effect when its answer was lost.
const (
	// KeyContractHead is the row with the number of contract changes.
	KeyContractHead = "contracthead"
	// PrefixContract is followed by the customer.
	PrefixContract = "contract/"
	// PrefixChange is followed by the change's number, padded to twenty digits.
	PrefixChange = "change/"
	// PrefixHost is followed by the host.
	PrefixHost = "host/"
	// PrefixAccount is followed by the pool. The row is its availability
	// account.
	PrefixAccount = "account/"
	// PrefixDemand is followed by the entry host's node. The row is the demand
	// that it measured.
	PrefixDemand = "demand/"
	// PrefixDemandProfile is followed by the customer and the pool. The row is the
	// pool's daily demand profile.
	PrefixDemandProfile = "shape/"
	// PrefixJob is followed by the job's ticket.
	PrefixJob = "job/"
)

// MaxRecentOps is the number of operation ids that a row keeps.
const MaxRecentOps = 8

// Entry is the envelope of every row value: the ids of the last operations that
// wrote the row, newest first, and the data.
type Entry[T any] struct {
	Ops  []string `json:"ops"`
	Data T        `json:"data"`
}

// Next returns an entry with new data, written by operation op.
func (e Entry[T]) Next(op string, data T) Entry[T] {
	ops := append([]string{op}, e.Ops...)
	if len(ops) > MaxRecentOps {
		ops = ops[:MaxRecentOps]
	}
	return Entry[T]{Ops: ops, Data: data}
}

// HasOp reports whether operation op is among the row's last writers.
func (e Entry[T]) HasOp(op string) bool {
	for _, o := range e.Ops {
		if o == op {
			return true
		}
	}
	return false
}

// ContractHeadRow counts contract changes over all customers.
type ContractHeadRow struct {
	Count uint64 `json:"count"`
}

// ContractRow is the newest accepted contract of a customer.
type ContractRow struct {
	Version uint64       `json:"version"`
	Change  uint64       `json:"change"`
	Spec    ContractSpec `json:"spec"`
}

// ChangeRow names the customer and the version of one contract change.
type ChangeRow struct {
	Customer Customer `json:"customer"`
	Version  uint64   `json:"version"`
}

// HostPhase is the lifecycle phase of a host in its ownership row.
type HostPhase string

// Phases of a host.
const (
	HostServing  HostPhase = "serving"
	HostDraining HostPhase = "draining"
	HostReboot   HostPhase = "reboot"
	HostVerify   HostPhase = "verify"
	HostFailed   HostPhase = "failed"
)

// HostRow is the ownership row of a host. It names the one pool that the host
// belongs to; the row of a released host has no pool. Rows are never deleted,
// because the epoch of a host must never decrease.
type HostRow struct {
	Host     Host      `json:"host"`
	Zone     Zone      `json:"zone"`
	Rack     Rack      `json:"rack"`
	Customer Customer  `json:"customer"`
	Pool     Pool      `json:"pool"`
	Service  Service   `json:"service"`
	Epoch    uint64    `json:"epoch"`
	Phase    HostPhase `json:"phase"`
	// Since is when the phase began, in Unix milliseconds.
	Since int64 `json:"since"`
	// Wave is the last wave in which the host was maintained.
	Wave string `json:"wave"`
	// Target and TargetCustomer are the pool that a draining host moves to and
	// that pool's customer. Both are empty for maintenance.
	Target         Pool     `json:"target,omitempty"`
	TargetCustomer Customer `json:"targetcustomer,omitempty"`
	// Incarnation is the incarnation that served before the last reboot was
	// requested.
	Incarnation uint64 `json:"inc"`
}

// DownCause is the reason why a member of a pool does not serve. The zero value
// means that it serves.
type DownCause string

// Causes of down time. Only plan and fail count against the availability
// budget.
const (
	CauseNone DownCause = ""
	// CausePlan is planned work that is within its time allowance.
	CausePlan DownCause = "plan"
	// CauseFail is a failure, or planned work that exceeded its time allowance.
	CauseFail DownCause = "fail"
	// CauseJoin is a new member that has not served yet.
	CauseJoin DownCause = "join"
	// CauseLeave is a surplus member that drains to move to another pool.
	CauseLeave DownCause = "leave"
)

// Member is a host in the availability account of its pool.
type Member struct {
	Zone Zone `json:"zone"`
	Rack Rack `json:"rack"`
	// Wave is the last wave in which the host was maintained.
	Wave string `json:"wave,omitempty"`
	// Incarnation is the incarnation that serves.
	Incarnation uint64    `json:"inc,omitempty"`
	Cause       DownCause `json:"cause,omitempty"`
	// Since is when the host stopped serving, in Unix milliseconds.
	Since int64 `json:"since,omitempty"`
}

// AccountRow is the availability account of a pool: its members, which of them
// are down, and the down time used. A host is a member of exactly the pool that
// its ownership row names, because every transaction that changes one of the
// two rows also changes the other.
type AccountRow struct {
	Customer Customer `json:"customer"`
	Pool     Pool     `json:"pool"`
	// Size is the number of hosts that the keepers chose for the pool; 0 means
	// that none was chosen yet and the promised number applies.
	Size    int             `json:"size,omitempty"`
	Members map[Host]Member `json:"members"`
	// Incoming holds the hosts that drain elsewhere to join this pool, with the
	// start of each move in Unix milliseconds. They are not members yet.
	Incoming map[Host]int64 `json:"coming,omitempty"`
	// LastFailureWrite is when a keeper last rewrote the row because a failure
	// continued, in Unix milliseconds.
	LastFailureWrite int64 `json:"touched,omitempty"`
	// DownTimes lists the ended down times, oldest first.
	DownTimes []DownTime `json:"spent"`
}

// DownTime is a down time that has ended, in Unix milliseconds.
type DownTime struct {
	Host  Host      `json:"host"`
	From  int64     `json:"from"`
	To    int64     `json:"to"`
	Cause DownCause `json:"cause"`
}

// DemandRow is the demand that one entry host measured in its last period.
type DemandRow struct {
	Node Node `json:"node"`
	// PeriodEnd is the end of the period, in Unix milliseconds.
	PeriodEnd int64 `json:"at"`
	// SlotsUsed is, by service, the mean number of slots that its requests needed.
	SlotsUsed map[Service]float64 `json:"busy"`
}

// DemandProfileRow is the daily demand profile of a pool, in slots per bin of the day.
type DemandProfileRow struct {
	// Bin is the number of the newest closed bin, counted from the Unix epoch.
	Bin int64 `json:"bin"`
	// Recent is the demand of the newest bins, newest last.
	Recent []float64 `json:"recent"`
	// Profile is the demand of an ordinary day, by bin.
	Profile []float64 `json:"profile"`
	// Days counts how many days each bin of the profile was learned from.
	Days []int `json:"days"`
	// Shift is how many bins later than the profile the current day runs.
	Shift int `json:"shift"`
}
