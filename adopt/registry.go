// Package adopt holds the contracts that are active in a process and commits new
// versions of contracts to the table service.
//
// Of two versions of a contract the higher one always wins, so messages about
// contracts may arrive late, repeatedly and in any order.
package adopt

import (
	"sort"
	"sync"
	"time"

	glade "indigoglade"
)

// Book holds the newest known contract version of each customer and the version
// that is active, by which requests are served. It is safe for concurrent use.
//
// A version that arrives is pending at first, and becomes active after the
// process had time to tell its peers of it. A version that was active in a
// process that died is then known to another process, and the zone does not go
// back to an older version even while the table service is down.
type Book struct {
	mu sync.RWMutex
	// known holds the newest known versions, active the active ones.
	known  map[glade.Customer]glade.ContractRow
	active map[glade.Customer]glade.Contract
	// pending holds the customers whose newest known version is not active yet.
	pending map[glade.Customer]bool
	// lastChange is the number of the last contract change up to which all are
	// known.
	lastChange uint64
	// confirmedAt is when the table service was last known to have nothing newer.
	confirmedAt time.Time
}

// Head says how recent the contracts of a process are.
type Head struct {
	// Change is the number of the last contract change up to which all are known.
	Change uint64 `json:"change"`
	// Age is the time since the table service last confirmed that there is nothing
	// newer, in milliseconds; -1 when it never did.
	Age int64 `json:"age"`
}

// IsConfirmed reports whether the table service ever confirmed the contracts.
func (h Head) IsConfirmed() bool { return h.Age >= 0 }

// New returns a registry without contracts, which is not confirmed.
func New() *Book {
	return &Book{
		known:   make(map[glade.Customer]glade.ContractRow),
		active:  make(map[glade.Customer]glade.Contract),
		pending: make(map[glade.Customer]bool),
	}
}

// Adopt activates a contract at once, unless the active version of the customer
// is as high or higher. It reports whether it did.
func (b *Book) Adopt(contract glade.Contract) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addRow(glade.ContractRow{Version: contract.Version(), Spec: contract.Spec()})
	return b.activate(contract)
}

func (b *Book) activate(contract glade.Contract) bool {
	current, ok := b.active[contract.Customer()]
	if ok && current.Version() >= contract.Version() {
		return false
	}
	b.active[contract.Customer()] = contract
	if contract.Version() >= b.known[contract.Customer()].Version {
		delete(b.pending, contract.Customer())
	}
	return true
}

// Learn adds contract versions. Those that are higher than the known ones become
// pending. change is the number of the last change up to which the process, with
// these rows, knows all.
func (b *Book) Learn(rows []glade.ContractRow, change uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, row := range rows {
		b.addRow(row)
	}
	b.lastChange = max(b.lastChange, change)
}

func (b *Book) addRow(row glade.ContractRow) {
	if row.Version > b.known[row.Spec.Customer].Version {
		b.known[row.Spec.Customer] = row
		b.pending[row.Spec.Customer] = true
	}
}

// Enforce activates all pending versions and returns the number of customers
// whose active contract changed.
func (b *Book) Enforce() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	activated := 0
	for customer := range b.pending {
		row := b.known[customer]
		if b.activate(glade.NewContract(row.Spec, row.Version)) {
			activated++
		}
	}
	return activated
}

// IsPending reports whether a known version is not active yet.
func (b *Book) IsPending() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.pending) > 0
}

// After returns the known rows of changes after the given one, oldest first and
// at most limit. The second result is the number of the change up to which the
// rows returned are complete.
func (b *Book) After(change uint64, limit int) ([]glade.ContractRow, uint64) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var rows []glade.ContractRow
	for _, row := range b.known {
		if row.Change > change && row.Change <= b.lastChange {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Change < rows[j].Change })
	if len(rows) > limit {
		rows = rows[:limit]
		return rows, rows[limit-1].Change
	}
	return rows, b.lastChange
}

// Confirm records that change was the newest one in the table service at a time.
func (b *Book) Confirm(change uint64, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastChange = max(b.lastChange, change)
	if at.After(b.confirmedAt) {
		b.confirmedAt = at
	}
}

// IsConfirmed reports whether the table service, or a peer that had read it, ever
// confirmed the contracts.
func (b *Book) IsConfirmed() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return !b.confirmedAt.IsZero()
}

// IsReady reports whether requests can be served by the active contracts: the
// contracts were confirmed, and it is not the case that some are pending while
// none is active yet.
func (b *Book) IsReady() bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	onlyPending := len(b.active) == 0 && len(b.pending) > 0
	return !b.confirmedAt.IsZero() && !onlyPending
}

// Head returns how recent the contracts are.
func (b *Book) Head(now time.Time) Head {
	head := Head{Change: b.Change(), Age: -1}
	if age, confirmed := b.Age(now); confirmed {
		// A clock that was set back must not lead to a negative age, which would
		// mean that the contracts were never confirmed.
		head.Age = max(age.Milliseconds(), 0)
	}
	return head
}

// Find returns the active contract of a customer. The second result is false when
// there is none.
func (b *Book) Find(customer glade.Customer) (glade.Contract, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	contract, ok := b.active[customer]
	return contract, ok
}

// All returns every active contract, ordered by customer.
func (b *Book) All() []glade.Contract {
	b.mu.RLock()
	defer b.mu.RUnlock()
	all := make([]glade.Contract, 0, len(b.active))
	for _, contract := range b.active {
		all = append(all, contract)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Customer() < all[j].Customer() })
	return all
}

// Change returns the number of the last contract change up to which all are known.
func (b *Book) Change() uint64 {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.lastChange
}

// Age returns the time since the contracts were last confirmed. The second result
// is false when they never were.
func (b *Book) Age(now time.Time) (time.Duration, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if b.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(b.confirmedAt), true
}
