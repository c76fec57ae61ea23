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
type Book struct {
	mu        sync.RWMutex
	contracts map[glade.Customer]glade.Contract
	change    uint64
	confirmed time.Time
}

// New returns an empty book.
func New() *Book {
	return &Book{contracts: make(map[glade.Customer]glade.Contract)}
}

// Adopt puts a contract in force if it is later than the known one, and tells
// whether it did.
func (b *Book) Adopt(contract glade.Contract) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.contracts[contract.Customer()]
	if ok && known.Version() >= contract.Version() {
		return false
	}
	b.contracts[contract.Customer()] = contract
	return true
}

// Confirm records that the table service showed change as its newest at now.
func (b *Book) Confirm(change uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.change = max(b.change, change)
	if now.After(b.confirmed) {
		b.confirmed = now
	}
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

// Change returns the number of the newest change that was confirmed.
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
