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

// Registry holds the newest known contract version of each customer and the version
// that is active, by which requests are served. It is safe for concurrent use.
//
// A version that arrives is pending at first, and becomes active after the
// process had time to tell its peers of it. A version that was active in a
// process that died is then known to another process, and the zone does not go
// back to an older version even while the table service is down.
type Registry struct {
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

// Freshness says how recent the contracts of a process are.
type Freshness struct {
	// Change is the number of the last contract change up to which all are known.
	Change uint64 `json:"change"`
	// Age is the time since the table service last confirmed that there is nothing
	// newer, in milliseconds; -1 when it never did.
	Age int64 `json:"age"`
}

// IsConfirmed reports whether the table service ever confirmed the contracts.
func (f Freshness) IsConfirmed() bool { return f.Age >= 0 }

// New returns a registry without contracts, which is not confirmed.
func New() *Registry {
	return &Registry{
		known:   make(map[glade.Customer]glade.ContractRow),
		active:  make(map[glade.Customer]glade.Contract),
		pending: make(map[glade.Customer]bool),
	}
}

// ActivateIfNewer activates a contract at once, unless the active version of
// the customer is as high or higher. It reports whether it did.
func (r *Registry) ActivateIfNewer(contract glade.Contract) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addRow(glade.ContractRow{Version: contract.Version(), Spec: contract.Spec()})
	return r.activate(contract)
}

func (r *Registry) activate(contract glade.Contract) bool {
	current, ok := r.active[contract.Customer()]
	if ok && current.Version() >= contract.Version() {
		return false
	}
	r.active[contract.Customer()] = contract
	if contract.Version() >= r.known[contract.Customer()].Version {
		delete(r.pending, contract.Customer())
	}
	return true
}

// AddVersions adds contract versions. Those that are higher than the known ones
// become pending. change is the number of the last change up to which the
// process, with these rows, knows all.
func (r *Registry) AddVersions(rows []glade.ContractRow, change uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		r.addRow(row)
	}
	r.lastChange = max(r.lastChange, change)
}

func (r *Registry) addRow(row glade.ContractRow) {
	if row.Version > r.known[row.Spec.Customer].Version {
		r.known[row.Spec.Customer] = row
		r.pending[row.Spec.Customer] = true
	}
}

// ActivatePending activates all pending versions and returns the number of
// customers whose active contract changed.
func (r *Registry) ActivatePending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	activated := 0
	for customer := range r.pending {
		row := r.known[customer]
		if r.activate(glade.NewContract(row.Spec, row.Version)) {
			activated++
		}
	}
	return activated
}

// HasPending reports whether a known version is not active yet.
func (r *Registry) HasPending() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.pending) > 0
}

// ChangedAfter returns the known rows of changes after the given one, oldest
// first and at most limit. The second result is the number of the change up to
// which the rows returned are complete.
func (r *Registry) ChangedAfter(change uint64, limit int) ([]glade.ContractRow, uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var rows []glade.ContractRow
	for _, row := range r.known {
		if row.Change > change && row.Change <= r.lastChange {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Change < rows[j].Change })
	if len(rows) > limit {
		rows = rows[:limit]
		return rows, rows[limit-1].Change
	}
	return rows, r.lastChange
}

// Confirm records that change was the newest one in the table service at a time.
func (r *Registry) Confirm(change uint64, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastChange = max(r.lastChange, change)
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
	}
}

// IsConfirmed reports whether the table service, or a peer that had read it, ever
// confirmed the contracts.
func (r *Registry) IsConfirmed() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return !r.confirmedAt.IsZero()
}

// IsReady reports whether requests can be served by the active contracts: the
// contracts were confirmed, and it is not the case that some are pending while
// none is active yet.
func (r *Registry) IsReady() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	onlyPending := len(r.active) == 0 && len(r.pending) > 0
	return !r.confirmedAt.IsZero() && !onlyPending
}

// Freshness returns how recent the contracts are.
func (r *Registry) Freshness(now time.Time) Freshness {
	freshness := Freshness{Change: r.Change(), Age: -1}
	if age, confirmed := r.Age(now); confirmed {
		// A clock that was set back must not lead to a negative age, which would
		// mean that the contracts were never confirmed.
		freshness.Age = max(age.Milliseconds(), 0)
	}
	return freshness
}

// Find returns the active contract of a customer. The second result is false when
// there is none.
func (r *Registry) Find(customer glade.Customer) (glade.Contract, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	contract, ok := r.active[customer]
	return contract, ok
}

// All returns every active contract, ordered by customer.
func (r *Registry) All() []glade.Contract {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := make([]glade.Contract, 0, len(r.active))
	for _, contract := range r.active {
		all = append(all, contract)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Customer() < all[j].Customer() })
	return all
}

// Change returns the number of the last contract change up to which all are known.
func (r *Registry) Change() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.lastChange
}

// Age returns the time since the contracts were last confirmed. The second result
// is false when they never were.
func (r *Registry) Age(now time.Time) (time.Duration, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(r.confirmedAt), true
}
