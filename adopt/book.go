// Package adopt keeps the contracts that are in force in a process and writes
// new ones to the table service.
//
// Knowledge of contracts only grows: of two versions the later one is kept, so
// the order, repetition and delay of messages do not matter.
package adopt

import (
	"sort"
	"sync"
	"time"

	glade "indigoglade"
)

// Book holds the newest known contract of each customer.
//
// A contract is first known and then in force. In between the process tells a
// peer of it: a version that was in force at a process that died is then known
// to another one, and its zone does not go back to an older version even while
// the table service is down.
type Book struct {
	mu        sync.RWMutex
	known     map[glade.Customer]glade.ContractRow
	contracts map[glade.Customer]glade.Contract
	// pending holds the customers whose known contract is not in force yet.
	pending   map[glade.Customer]bool
	change    uint64
	confirmed time.Time
}

// Head tells how new a book is.
type Head struct {
	// Change is the number of the newest known change.
	Change uint64 `json:"change"`
	// Age is the time since the table service confirmed it, in milliseconds;
	// -1 when it never did.
	Age int64 `json:"age"`
}

// IsConfirmed tells whether the table service ever confirmed the book.
func (h Head) IsConfirmed() bool { return h.Age >= 0 }

// New returns an empty book.
func New() *Book {
	return &Book{
		known:     make(map[glade.Customer]glade.ContractRow),
		contracts: make(map[glade.Customer]glade.Contract),
		pending:   make(map[glade.Customer]bool),
	}
}

// Adopt puts a contract in force if it is later than the known one, and tells
// whether it did.
func (b *Book) Adopt(contract glade.Contract) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.learn(glade.ContractRow{Version: contract.Version(), Spec: contract.Spec()})
	return b.adopt(contract)
}

func (b *Book) adopt(contract glade.Contract) bool {
	current, ok := b.contracts[contract.Customer()]
	if ok && current.Version() >= contract.Version() {
		return false
	}
	b.contracts[contract.Customer()] = contract
	if contract.Version() >= b.known[contract.Customer()].Version {
		delete(b.pending, contract.Customer())
	}
	return true
}

// Learn takes up rows, of which later ones are not in force yet, and the number
// of the change up to which they are whole.
func (b *Book) Learn(rows []glade.ContractRow, change uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range rows {
		b.learn(row)
	}
	b.change = max(b.change, change)
}

func (b *Book) learn(row glade.ContractRow) {
	if row.Version > b.known[row.Spec.Customer].Version {
		b.known[row.Spec.Customer] = row
		b.pending[row.Spec.Customer] = true
	}
}

// Enforce puts everything known in force and returns how many contracts
// changed.
func (b *Book) Enforce() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	adopted := 0
	for customer := range b.pending {
		row := b.known[customer]
		if b.adopt(glade.NewContract(row.Spec, row.Version)) {
			adopted++
		}
	}
	return adopted
}

// IsPending tells whether a known contract is not in force yet.
func (b *Book) IsPending() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.pending) > 0
}

// After returns at most limit known rows that changed after a change, oldest
// first, and the change up to which the rows are whole.
func (b *Book) After(change uint64, limit int) ([]glade.ContractRow, uint64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var rows []glade.ContractRow
	for _, row := range b.known {
		if row.Change > change && row.Change <= b.change {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Change < rows[j].Change })
	if len(rows) > limit {
		rows = rows[:limit]
		return rows, rows[limit-1].Change
	}
	return rows, b.change
}

// Confirm records that the table service showed change as its newest at a
// time.
func (b *Book) Confirm(change uint64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.change = max(b.change, change)
	if at.After(b.confirmed) {
		b.confirmed = at
	}
}

// IsConfirmed tells whether the table service ever confirmed the book.
func (b *Book) IsConfirmed() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return !b.confirmed.IsZero()
}

// IsReady tells whether answers can rest on the book: the table service
// confirmed it, and a first set of contracts is not still waiting to come in
// force.
func (b *Book) IsReady() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	isFilling := len(b.contracts) == 0 && len(b.pending) > 0
	return !b.confirmed.IsZero() && !isFilling
}

// Head returns how new the book is.
func (b *Book) Head(now time.Time) Head {
	head := Head{Change: b.Change(), Age: -1}
	if age, confirmed := b.Age(now); confirmed {
		// A clock that jumped back shows no negative age.
		head.Age = max(age.Milliseconds(), 0)
	}
	return head
}

// Find returns the contract in force for a customer.
func (b *Book) Find(customer glade.Customer) (glade.Contract, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	contract, ok := b.contracts[customer]
	return contract, ok
}

// All returns every contract in force, ordered by customer.
func (b *Book) All() []glade.Contract {
	b.mu.RLock()
	defer b.mu.RUnlock()
	all := make([]glade.Contract, 0, len(b.contracts))
	for _, contract := range b.contracts {
		all = append(all, contract)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Customer() < all[j].Customer() })
	return all
}

// Change returns the number of the newest change that is known.
func (b *Book) Change() uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.change
}

// Age returns the time since the table service last confirmed the book. The
// second result is false while it never did.
func (b *Book) Age(now time.Time) (time.Duration, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.confirmed.IsZero() {
		return 0, false
	}
	return now.Sub(b.confirmed), true
}
