// Package limit keeps the entry hosts together within each contract's limits on
// requests in flight and on the request rate.
//
// A limit is divided into units. A unit permits one request in flight and a
// proportional part of the rate. Every node has a fixed share of the units,
// which depends on the settings alone, so that a node or a zone that is
// partitioned keeps its share. Busy nodes borrow units from idle ones. The
// lender subtracts the units from its own share before it answers, and adds
// them back only when the borrower has reported that it does not hold the loan.
// Loans never expire by time. A loan that was granted but is not held, because
// the answer was lost or the borrower crashed, is found by an audit.
package limit

import (
	"sort"
	"time"

	"golang.org/x/time/rate"

	glade "indigoglade"
)

// Loan is a number of units of one contract version that a lender gave to a
// borrower. Each process of a lender numbers its loans.
type Loan struct {
	Lender   glade.Node     `json:"lender"`
	RunID    uint64         `json:"run"`
	Seq      uint64         `json:"seq"`
	Customer glade.Customer `json:"customer"`
	Version  uint64         `json:"version"`
	Units    int            `json:"units"`
}

func (l Loan) key() loanKey { return loanKey{lender: l.Lender, run: l.RunID, seq: l.Seq} }

// LoanRequest is a request to a lender for units.
type LoanRequest struct {
	Customer glade.Customer `json:"customer"`
	Version  uint64         `json:"version"`
	Units    int            `json:"units"`
	// From is the borrower and To the lender.
	From glade.Node `json:"from"`
	To   glade.Node `json:"-"`
	// Seq increases with each loan request of a process.
	Seq uint64 `json:"-"`
}

// Audit asks a borrower which loans of the lender it holds. After its answer
// the borrower accepts no other loan that the lender granted before the audit,
// which are those up to the last sequence number in the audit.
type Audit struct {
	Lender  glade.Node `json:"lender"`
	RunID   uint64     `json:"run"`
	LastSeq uint64     `json:"last"`
	// Recall names the customers whose units the lender needs itself. The
	// borrower ends its loans of these units.
	Recall []glade.Customer `json:"recall,omitempty"`
}

// AuditReply is the answer to an audit: the lender's loans that the borrower holds.
type AuditReply struct {
	Loans []Loan `json:"loans"`
}

// Config configures a Limiter.
type Config struct {
	Self glade.Node
	// Nodes are all nodes of the settings, including this one.
	Nodes []glade.Node
	// RunID identifies this process: no two processes of a node have the same
	// value. It need not increase.
	RunID uint64
}

// Limiter holds this process's share of every contract's limits. It is not safe
// for concurrent use.
type Limiter struct {
	config    Config
	selfIndex int
	nodes     []glade.Node
	quotas    map[glade.Customer]*quota
	loanSeq   uint64
	// borrowers maps the sequence number of each outstanding loan to its
	// borrower.
	borrowers map[uint64]glade.Node
	// requestSeq numbers the loan requests of this process. staleSeq holds, for
	// each lender, the last request whose answer is no longer accepted.
	requestSeq uint64
	staleSeq   map[glade.Node]uint64
	// unaudited are the nodes that may hold loans of an earlier process of this
	// node.
	unaudited map[glade.Node]bool
	peerIndex int
	ticks     int
}

// New returns a limiter that does not know yet what earlier processes of its
// node lent.
func New(config Config) *Limiter {
	l := &Limiter{
		config:    config,
		quotas:    make(map[glade.Customer]*quota),
		borrowers: make(map[uint64]glade.Node),
		staleSeq:  make(map[glade.Node]uint64),
		unaudited: make(map[glade.Node]bool),
	}
	l.nodes = append(l.nodes, config.Nodes...)
	sort.Slice(l.nodes, func(i, j int) bool { return l.nodes[i] < l.nodes[j] })
	for i, node := range l.nodes {
		if node == config.Self {
			l.selfIndex = i
			continue
		}
		l.unaudited[node] = true
	}
	return l
}

// SkipRecovery records that no earlier process of this node has loans outstanding.
func (l *Limiter) SkipRecovery() { l.unaudited = make(map[glade.Node]bool) }

// IsRecovered returns whether all loans of earlier processes are known. Until
// then the process uses only the reserve of its share, and lends nothing.
func (l *Limiter) IsRecovered() bool { return len(l.unaudited) == 0 }

func (l *Limiter) currentQuota(contract glade.Contract) *quota {
	q := l.quotaOf(contract.Customer())
	q.updateContract(contract, evenShare(contract.Spec().Answer.MaxInFlight, l.selfIndex, len(l.nodes)))
	return q
}

func (l *Limiter) quotaOf(customer glade.Customer) *quota {
	q, ok := l.quotas[customer]
	if !ok {
		q = &quota{bucket: rate.NewLimiter(0, 1), lent: make(map[uint64]Loan), held: make(map[loanKey]*heldLoan)}
		l.quotas[customer] = q
	}
	return q
}

// Acquire takes one unit for a request. It returns false if this process's part
// of the limit on requests in flight, or of the rate, is used up.
func (l *Limiter) Acquire(now time.Time, contract glade.Contract) bool {
	q := l.currentQuota(contract)
	q.updateRate(now, l.IsRecovered())
	if q.inFlight >= q.capacity(l.IsRecovered()) || !q.bucket.AllowN(now, 1) {
		q.refused++
		return false
	}
	q.inFlight++
	q.peak = max(q.peak, q.inFlight)
	return true
}

// Release returns the unit of a finished request.
func (l *Limiter) Release(customer glade.Customer) {
	if q, ok := l.quotas[customer]; ok {
		q.inFlight--
	}
}

// Capacity returns how many units of a customer this process may use now.
func (l *Limiter) Capacity(customer glade.Customer) int {
	return l.quotaOf(customer).capacity(l.IsRecovered())
}

// Messages holds the messages to send to other nodes after a tick.
type Messages struct {
	Requests []LoanRequest
	Audits   map[glade.Node]Audit
	Returns  []Loan
}

// Periods and bounds of ticks.
const (
	// TickPeriod is the time between two ticks.
	TickPeriod = 100 * time.Millisecond
	// requestsPerTick is the maximum number of lenders asked for one customer
	// in a tick.
	requestsPerTick = 3
	// returnTicks is the number of ticks without a refusal after which a
	// borrower returns units that it does not need.
	returnTicks = 20
	// auditTicks is the number of ticks between two audits. As long as loans of
	// earlier processes are unknown, every tick has an audit.
	auditTicks = 10
)

// Tick returns the messages to send to other nodes. live are the nodes that are
// believed to be up. It is called once per tick period.
func (l *Limiter) Tick(live []glade.Node) Messages {
	l.ticks++
	var messages Messages
	for _, customer := range l.customers() {
		q := l.quotas[customer]
		messages.Requests = append(messages.Requests, l.loanRequests(customer, q, live)...)
		q.endUnneededLoans(l.IsRecovered())
		messages.Returns = append(messages.Returns, q.releaseEnding(l.IsRecovered())...)
	}
	if l.ticks%auditTicks == 0 || !l.IsRecovered() {
		messages.Audits = l.audits()
	}
	for _, q := range l.quotas {
		q.refused = 0
	}
	return messages
}

func (l *Limiter) customers() []glade.Customer {
	customers := make([]glade.Customer, 0, len(l.quotas))
	for customer := range l.quotas {
		customers = append(customers, customer)
	}
	sort.Slice(customers, func(i, j int) bool { return customers[i] < customers[j] })
	return customers
}

// loanRequests asks some live nodes for units if requests were refused since
// the last tick, or if more than three quarters of the capacity are in use.
func (l *Limiter) loanRequests(customer glade.Customer, q *quota, live []glade.Node) []LoanRequest {
	capacity := q.capacity(l.IsRecovered())
	limit := q.contract.Spec().Answer.MaxInFlight
	isShort := q.refused > 0 || 4*q.inFlight > 3*capacity && q.inFlight > 0
	if !isShort || capacity >= limit {
		return nil
	}
	want := min(max(q.refused, capacity, 1), limit-capacity)
	var requests []LoanRequest
	for range live {
		l.peerIndex++
		to := live[l.peerIndex%len(live)]
		if to != l.config.Self {
			l.requestSeq++
			requests = append(requests, LoanRequest{
				Customer: customer, Version: q.contract.Version(), Units: want,
				From: l.config.Self, To: to, Seq: l.requestSeq,
			})
		}
		if len(requests) == requestsPerTick {
			break
		}
	}
	return requests
}

// endUnneededLoans marks loans as ending that were not needed for some time.
func (q *quota) endUnneededLoans(recovered bool) {
	for _, k := range sortedKeys(q.held) {
		h := q.held[k]
		if q.ticksSinceRefusal >= returnTicks && !h.ending && q.peak < q.capacity(recovered)-h.loan.Units {
			h.ending = true
		}
	}
	if q.refused > 0 {
		q.ticksSinceRefusal = 0
		return
	}
	q.ticksSinceRefusal++
	if q.ticksSinceRefusal%returnTicks == 0 {
		q.peak = q.inFlight
	}
}

// audits returns the audits for all nodes that may hold a loan of this node.
func (l *Limiter) audits() map[glade.Node]Audit {
	recall := l.customersToRecall()
	audits := make(map[glade.Node]Audit)
	for node := range l.unaudited {
		audits[node] = Audit{}
	}
	for _, node := range l.borrowers {
		audits[node] = Audit{}
	}
	for node := range audits {
		audits[node] = Audit{Lender: l.config.Self, RunID: l.config.RunID, LastSeq: l.loanSeq, Recall: recall}
	}
	return audits
}

// customersToRecall returns the customers whose lent units this node could use
// itself.
func (l *Limiter) customersToRecall() []glade.Customer {
	var customers []glade.Customer
	for _, customer := range l.customers() {
		if q := l.quotas[customer]; len(q.lent) > 0 && q.refused > 0 {
			customers = append(customers, customer)
		}
	}
	return customers
}

func sortedKeys(m map[loanKey]*heldLoan) []loanKey {
	keys := make([]loanKey, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].lender != keys[j].lender {
			return keys[i].lender < keys[j].lender
		}
		if keys[i].run != keys[j].run {
			return keys[i].run < keys[j].run
		}
		return keys[i].seq < keys[j].seq
	})
	return keys
}
