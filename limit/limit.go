// Package limit keeps the entry hosts together within each contract's limits:
// the requests in flight, and the rate.
//
// Every node has a fixed share, which rests on the settings alone, so that a
// node or a zone that is cut off keeps it. Busy nodes borrow from idle ones.
// The lender takes the units off its own part before it answers, and adds them
// back only when the borrower has said that it does not hold the loan. No
// clock ends a loan. What is lent and not known to be held, because an answer
// was lost or the borrower died, is found by an audit.
package limit

import (
	"sort"
	"time"

	"golang.org/x/time/rate"

	glade "indigoglade"
)

// Loan is a number of units of one contract version that a lender gave away.
type Loan struct {
	Lender   glade.Node     `json:"lender"`
	Run      uint64         `json:"run"`
	Seq      uint64         `json:"seq"`
	Customer glade.Customer `json:"customer"`
	Version  uint64         `json:"version"`
	Units    int            `json:"units"`
}

func (l Loan) key() key { return key{lender: l.Lender, run: l.Run, seq: l.Seq} }

// Ask asks a lender for units.
type Ask struct {
	Customer glade.Customer `json:"customer"`
	Version  uint64         `json:"version"`
	Units    int            `json:"units"`
	// From is the borrower, and To the lender.
	From glade.Node `json:"from"`
	To   glade.Node `json:"-"`
	// Number rises with each ask of a process.
	Number uint64 `json:"-"`
}

// Audit asks a borrower which loans of the lender it holds. The borrower will
// never take up any other loan that the lender gave before, which is up to
// number Last.
type Audit struct {
	Lender glade.Node `json:"lender"`
	Run    uint64     `json:"run"`
	Last   uint64     `json:"last"`
	// Recall names the customers whose units the lender needs itself.
	Recall []glade.Customer `json:"recall,omitempty"`
}

// Held is the answer to an audit.
type Held struct {
	Loans []Loan `json:"loans"`
}

// Config configures a Limiter.
type Config struct {
	Self glade.Node
	// Nodes are all nodes of the settings, the own one included.
	Nodes []glade.Node
	// Run differs between any two processes of a node. It need not rise.
	Run uint64
}

// Limiter holds this process's part of every contract's limits. It is not safe
// for concurrent use.
type Limiter struct {
	config   Config
	index    int
	nodes    []glade.Node
	accounts map[glade.Customer]*account
	seq      uint64
	// borrower tells who holds each loan.
	borrower map[uint64]glade.Node
	// asked numbers the asks, and void is the last ask to each lender whose
	// answer is no longer taken up.
	asked uint64
	void  map[glade.Node]uint64
	// unheard are the nodes that may hold loans of an earlier process of this
	// node.
	unheard map[glade.Node]bool
	next    int
	ticks   int
}

// New returns a limiter that does not know yet what an earlier process of its
// node lent.
func New(config Config) *Limiter {
	l := &Limiter{
		config:   config,
		accounts: make(map[glade.Customer]*account),
		borrower: make(map[uint64]glade.Node),
		void:     make(map[glade.Node]uint64),
		unheard:  make(map[glade.Node]bool),
	}
	l.nodes = append(l.nodes, config.Nodes...)
	sort.Slice(l.nodes, func(i, j int) bool { return l.nodes[i] < l.nodes[j] })
	for i, node := range l.nodes {
		if node == config.Self {
			l.index = i
			continue
		}
		l.unheard[node] = true
	}
	return l
}

// Settle records that no earlier process of this node has loans outstanding.
func (l *Limiter) Settle() { l.unheard = make(map[glade.Node]bool) }

// IsSettled tells whether every loan of earlier processes is known.
func (l *Limiter) IsSettled() bool { return len(l.unheard) == 0 }

func (l *Limiter) account(contract glade.Contract) *account {
	a := l.accountOf(contract.Customer())
	a.adopt(contract, shareOf(contract.Spec().Answer.Flight, l.index, len(l.nodes)))
	return a
}

func (l *Limiter) accountOf(customer glade.Customer) *account {
	a, ok := l.accounts[customer]
	if !ok {
		a = &account{bucket: rate.NewLimiter(0, 1), lent: make(map[uint64]Loan), held: make(map[key]*held)}
		l.accounts[customer] = a
	}
	return a
}

// Acquire takes one unit for a request, and tells whether there was one.
func (l *Limiter) Acquire(now time.Time, contract glade.Contract) bool {
	a := l.account(contract)
	a.pace(now, l.IsSettled())
	if a.flight >= a.capacity(l.IsSettled()) || !a.bucket.AllowN(now, 1) {
		a.refused++
		return false
	}
	a.flight++
	a.peak = max(a.peak, a.flight)
	return true
}

// Release gives the unit of a request back.
func (l *Limiter) Release(customer glade.Customer) {
	if a, ok := l.accounts[customer]; ok {
		a.flight--
	}
}

// Capacity returns the units of a customer that this process may use now.
func (l *Limiter) Capacity(customer glade.Customer) int {
	return l.accountOf(customer).capacity(l.IsSettled())
}

// Plan is what a tick asks for.
type Plan struct {
	Asks    []Ask
	Audits  map[glade.Node]Audit
	Returns []Loan
}

// Bounds of a tick.
const (
	// Period is the time between two ticks.
	Period = 100 * time.Millisecond
	// asksPerTick is the number of lenders asked for one customer in a tick.
	asksPerTick = 3
	// calmTicks is how many ticks a customer must need less before loans are
	// given back.
	calmTicks = 20
	// auditTicks is the number of ticks between two audits.
	auditTicks = 10
)

// Tick returns what to ask of the other nodes. Live are the nodes that are
// believed to be up.
func (l *Limiter) Tick(live []glade.Node) Plan {
	l.ticks++
	var plan Plan
	for _, customer := range l.customers() {
		a := l.accounts[customer]
		plan.Asks = append(plan.Asks, l.asks(customer, a, live)...)
		a.calmDown(l.IsSettled())
		plan.Returns = append(plan.Returns, a.release(l.IsSettled())...)
	}
	if l.ticks%auditTicks == 0 || !l.IsSettled() {
		plan.Audits = l.audits()
	}
	for _, a := range l.accounts {
		a.refused = 0
	}
	return plan
}

func (l *Limiter) customers() []glade.Customer {
	customers := make([]glade.Customer, 0, len(l.accounts))
	for customer := range l.accounts {
		customers = append(customers, customer)
	}
	sort.Slice(customers, func(i, j int) bool { return customers[i] < customers[j] })
	return customers
}

// asks asks some nodes for units when requests were refused, or soon will be.
func (l *Limiter) asks(customer glade.Customer, a *account, live []glade.Node) []Ask {
	capacity := a.capacity(l.IsSettled())
	limit := a.contract.Spec().Answer.Flight
	isShort := a.refused > 0 || 4*a.flight > 3*capacity && a.flight > 0
	if !isShort || capacity >= limit {
		return nil
	}
	want := min(max(a.refused, capacity, 1), limit-capacity)
	var asks []Ask
	for range live {
		l.next++
		to := live[l.next%len(live)]
		if to != l.config.Self {
			l.asked++
			asks = append(asks, Ask{
				Customer: customer, Version: a.contract.Version(), Units: want,
				From: l.config.Self, To: to, Number: l.asked,
			})
		}
		if len(asks) == asksPerTick {
			break
		}
	}
	return asks
}

// calmDown ends loans that were not needed for some time.
func (a *account) calmDown(settled bool) {
	for _, k := range sortedKeys(a.held) {
		h := a.held[k]
		if a.calm >= calmTicks && !h.ending && a.peak < a.capacity(settled)-h.loan.Units {
			h.ending = true
		}
	}
	if a.refused > 0 {
		a.calm = 0
		return
	}
	a.calm++
	if a.calm%calmTicks == 0 {
		a.peak = a.flight
	}
}

// audits asks every node that may hold a loan of this one.
func (l *Limiter) audits() map[glade.Node]Audit {
	recall := l.needed()
	audits := make(map[glade.Node]Audit)
	for node := range l.unheard {
		audits[node] = Audit{}
	}
	for _, node := range l.borrower {
		audits[node] = Audit{}
	}
	for node := range audits {
		audits[node] = Audit{Lender: l.config.Self, Run: l.config.Run, Last: l.seq, Recall: recall}
	}
	return audits
}

// needed returns the customers whose lent units this node could use itself.
func (l *Limiter) needed() []glade.Customer {
	var needed []glade.Customer
	for _, customer := range l.customers() {
		if a := l.accounts[customer]; len(a.lent) > 0 && a.refused > 0 {
			needed = append(needed, customer)
		}
	}
	return needed
}

func sortedKeys(m map[key]*held) []key {
	keys := make([]key, 0, len(m))
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
