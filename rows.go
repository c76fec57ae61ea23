package glade

// Keys of the table service. Every row value is an Entry, so that the
// operation that wrote it can be recognised when an answer was lost.
const (
	// KeyHead is the row that counts contract changes.
	KeyHead = "contracthead"
	// PrefixContract is followed by the customer.
	PrefixContract = "contract/"
	// PrefixChange is followed by the change's number, in twenty digits.
	PrefixChange = "change/"
	// PrefixHost is followed by the host.
	PrefixHost = "host/"
	// PrefixAccount is followed by the pool: the availability account.
	PrefixAccount = "account/"
	// PrefixDemand is followed by the entry host's node: its demand.
	PrefixDemand = "demand/"
	// PrefixShape is followed by the customer and the pool: the learnt day.
	PrefixShape = "shape/"
	// PrefixJob is followed by the job's ticket.
	PrefixJob = "job/"
)

// RecentOps is the number of operation ids that a row remembers.
const RecentOps = 8

// Entry is the envelope of every row: the ids of the operations that wrote it
// last, newest first, and the value.
type Entry[T any] struct {
	Ops  []string `json:"ops"`
	Data T        `json:"data"`
}

// Next returns an entry with new data, written by operation op.
func (e Entry[T]) Next(op string, data T) Entry[T] {
	ops := append([]string{op}, e.Ops...)
	if len(ops) > RecentOps {
		ops = ops[:RecentOps]
	}
	return Entry[T]{Ops: ops, Data: data}
}

// HasOp tells whether operation op is among the row's last writers.
func (e Entry[T]) HasOp(op string) bool {
	for _, o := range e.Ops {
		if o == op {
			return true
		}
	}
	return false
}

// HeadRow counts contract changes over all customers.
type HeadRow struct {
	Count uint64 `json:"count"`
}

// ContractRow is the newest accepted contract of a customer.
type ContractRow struct {
	Version uint64       `json:"version"`
	Change  uint64       `json:"change"`
	Spec    ContractSpec `json:"spec"`
}

// ChangeRow names the customer and version of one contract change.
type ChangeRow struct {
	Customer Customer `json:"customer"`
	Version  uint64   `json:"version"`
}

// HostPhase is the phase of a host in its ownership row.
type HostPhase string

// Phases of a host.
const (
	HostServing  HostPhase = "serving"
	HostDraining HostPhase = "draining"
	HostReboot   HostPhase = "reboot"
	HostVerify   HostPhase = "verify"
	HostFailed   HostPhase = "failed"
)

// HostRow is the ownership row of a host: the one pool it belongs to. A host
// that was released has a row without a pool; the row stays, because its epoch
// must never fall.
type HostRow struct {
	Host     Host      `json:"host"`
	Zone     Zone      `json:"zone"`
	Rack     Rack      `json:"rack"`
	Customer Customer  `json:"customer"`
	Pool     Pool      `json:"pool"`
	Service  Service   `json:"service"`
	Epoch    uint64    `json:"epoch"`
	Phase    HostPhase `json:"phase"`
	// Since is when the phase began, in milliseconds since 1970.
	Since int64 `json:"since"`
	// Wave is the last wave that maintained this host.
	Wave string `json:"wave"`
	// Target is the pool that a draining host moves to, and TargetCustomer its
	// customer; both are empty for maintenance.
	Target         Pool     `json:"target,omitempty"`
	TargetCustomer Customer `json:"targetcustomer,omitempty"`
	// Incarnation is the one that served before a reboot was asked for.
	Incarnation uint64 `json:"inc"`
}

// DownCause says why a member of a pool does not serve. The zero value means
// that it serves.
type DownCause string

// Causes of a member that does not serve. Only plan and fail count against the
// availability budget.
const (
	CauseNone DownCause = ""
	// CausePlan is a planned step within its allowance of time.
	CausePlan DownCause = "plan"
	// CauseFail is a failure, or a planned step that overran its allowance.
	CauseFail DownCause = "fail"
	// CauseJoin is a new member that has not served yet.
	CauseJoin DownCause = "join"
	// CauseLeave is a surplus member that drains to move to another pool.
	CauseLeave DownCause = "leave"
)

// Member is one host in the account of its pool.
type Member struct {
	Zone Zone `json:"zone"`
	Rack Rack `json:"rack"`
	// Wave is the last wave that maintained the host.
	Wave string `json:"wave,omitempty"`
	// Incarnation is the one that serves.
	Incarnation uint64    `json:"inc,omitempty"`
	Cause       DownCause `json:"cause,omitempty"`
	// Since is when the host stopped serving, in milliseconds since 1970.
	Since int64 `json:"since,omitempty"`
}

// AccountRow is the availability account of a pool: its members, which of them
// are down, and the down time that it has spent. A host is a member of the one
// pool that its ownership row names, because every transaction that changes
// one changes the other.
type AccountRow struct {
	Customer Customer `json:"customer"`
	Pool     Pool     `json:"pool"`
	// Size is the number of hosts that the fleet chose for the pool; 0 means
	// that none was chosen yet and the promised number holds.
	Size    int             `json:"size,omitempty"`
	Members map[Host]Member `json:"members"`
	// Coming maps each host that drains elsewhere to join this pool to when the
	// move began, in milliseconds since 1970. It is no member yet.
	Coming map[Host]int64 `json:"coming,omitempty"`
	// Touched is when a keeper last wrote the row because a failure went on, in
	// milliseconds since 1970.
	Touched int64 `json:"touched,omitempty"`
	// Spent lists ended down times, oldest first.
	Spent []DownSpan `json:"spent"`
}

// DownSpan is one ended down time, in milliseconds since 1970.
type DownSpan struct {
	Host  Host      `json:"host"`
	From  int64     `json:"from"`
	To    int64     `json:"to"`
	Cause DownCause `json:"cause"`
}

// DemandRow is the demand that one entry host saw in its last period.
type DemandRow struct {
	Node Node `json:"node"`
	// At is the end of the period, in milliseconds since 1970.
	At int64 `json:"at"`
	// Busy maps each service to the mean number of slots that its requests
	// asked for.
	Busy map[Service]float64 `json:"busy"`
}

// ShapeRow is the learnt day of a pool's demand, in slots by bins of the day.
type ShapeRow struct {
	// Bin is the number of the newest closed bin since 1970.
	Bin int64 `json:"bin"`
	// Recent holds the demand of the newest bins, the newest last.
	Recent []float64 `json:"recent"`
	// Profile is the demand of an ordinary day.
	Profile []float64 `json:"profile"`
	// Days counts how often each bin of the profile was learnt.
	Days []int `json:"days"`
	// Shift is how many bins later than in the profile the day is.
	Shift int `json:"shift"`
}
