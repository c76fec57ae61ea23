package limit

import (
	"time"

	"golang.org/x/time/rate"

	glade "indigoglade"
)

// account is the part of one contract's limits that this process may use.
//
//	own      = fixed share - units lent out
//	capacity = own + units borrowed
//
// The fixed shares of all nodes sum to exactly the limit, and a unit that is
// borrowed was taken off the lender's own part before, so the capacities of
// all nodes never sum to more than the limit.
type account struct {
	contract glade.Contract
	share    int
	flight   int
	lent     map[uint64]Loan
	held     map[key]*held
	bucket   *rate.Limiter
	// refused counts refusals since the last tick, peak the most in flight
	// over the last ticks.
	refused int
	peak    int
	calm    int
}

// key names a loan for good: a lender's process numbers its loans.
type key struct {
	lender glade.Node
	run    uint64
	seq    uint64
}

// held is a loan at the borrower. One that is ending gives no more capacity
// and is given back as soon as nothing in flight rests on it.
type held struct {
	loan   Loan
	ending bool
}

// reserveParts is the part of the fixed share that is never lent: one eighth,
// rounded up.
const reserveParts = 8

// reserveOf returns the units of a share that are never lent. A process that
// does not know what its predecessor lent may use no more than these.
func reserveOf(share int) int { return (share + reserveParts - 1) / reserveParts }

// shareOf splits total evenly over n nodes; the first ones get what is left.
// It never falls when total rises, so that while some nodes are at an older
// version, the shares sum to at most the greater of the two limits.
func shareOf(total, index, n int) int {
	share := total / n
	if index < total%n {
		share++
	}
	return share
}

func (a *account) lentUnits() int {
	units := 0
	for _, loan := range a.lent {
		units += loan.Units
	}
	return units
}

// own returns the units of the fixed share that are not lent out.
func (a *account) own(settled bool) int {
	share := a.share
	if !settled {
		share = reserveOf(share)
	}
	return max(share-a.lentUnits(), 0)
}

func (a *account) borrowed() int {
	units := 0
	for _, h := range a.held {
		if !h.ending {
			units += h.loan.Units
		}
	}
	return units
}

func (a *account) capacity(settled bool) int { return a.own(settled) + a.borrowed() }

// adopt takes up a later version of the contract. Loans of an older version
// end.
func (a *account) adopt(contract glade.Contract, share int) {
	if contract.Version() <= a.contract.Version() {
		return
	}
	a.contract = contract
	a.share = share
	for _, h := range a.held {
		h.ending = true
	}
}

// pace sets the bucket's rate to the capacity's part of the contract's rate.
// Its depth is what the rate gives in one second.
func (a *account) pace(now time.Time, settled bool) {
	answer := a.contract.Spec().Answer
	part := answer.Rate * float64(a.capacity(settled)) / float64(max(answer.Flight, 1))
	if rate.Limit(part) == a.bucket.Limit() {
		return
	}
	a.bucket.SetLimitAt(now, rate.Limit(part))
	a.bucket.SetBurstAt(now, max(int(part), 1))
}

// release gives back ending loans that nothing in flight rests on.
func (a *account) release(settled bool) []Loan {
	var done []Loan
	free := a.capacity(settled) - a.flight
	for _, k := range sortedKeys(a.held) {
		h := a.held[k]
		if h.ending {
			free += h.loan.Units
		}
	}
	for _, k := range sortedKeys(a.held) {
		h := a.held[k]
		if h.ending && free >= h.loan.Units {
			free -= h.loan.Units
			delete(a.held, k)
			done = append(done, h.loan)
		}
	}
	return done
}
