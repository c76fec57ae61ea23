package limit

import (
	"time"

	"golang.org/x/time/rate"

	glade "indigoglade"
)

// quota is the part of one contract's limits that this process may use.
//
//	own      = fixed share - units lent out
//	capacity = own + units borrowed
//
// The fixed shares of all nodes sum to exactly the limit. Borrowed units were
// subtracted from the lender's own units before, so the capacities of all nodes
// never sum to more than the limit.
type quota struct {
	contract glade.Contract
	share    int
	inFlight int
	lent     map[uint64]Loan
	held     map[loanKey]*heldLoan
	bucket   *rate.Limiter
	// refused counts the refusals since the last tick. peak is the greatest
	// number of requests in flight since its last reset, which happens after
	// every returnTicks ticks without a refusal.
	refused           int
	peak              int
	ticksSinceRefusal int
}

// loanKey identifies a loan. The sequence numbers are unique within one process
// of the lender.
type loanKey struct {
	lender glade.Node
	run    uint64
	seq    uint64
}

// heldLoan is a loan on the borrower's side. An ending loan adds no capacity
// and is returned as soon as no request in flight needs its units.
type heldLoan struct {
	loan   Loan
	ending bool
}

// reserveDivisor gives the part of the fixed share that is never lent: one
// eighth, rounded up.
const reserveDivisor = 8

// reserveUnits returns the units of a share that are never lent. A process that
// does not know what its predecessor lent may use only these.
func reserveUnits(share int) int { return (share + reserveDivisor - 1) / reserveDivisor }

// evenShare splits total evenly over n nodes; the first total%n nodes get one
// unit more. A share never falls when total rises, so while some nodes use an
// older contract version, the shares sum to at most the greater of the two
// limits.
func evenShare(total, index, n int) int {
	share := total / n
	if index < total%n {
		share++
	}
	return share
}

func (q *quota) lentUnits() int {
	units := 0
	for _, loan := range q.lent {
		units += loan.Units
	}
	return units
}

// ownUnits returns the units of the fixed share that are not lent out.
func (q *quota) ownUnits(recovered bool) int {
	share := q.share
	if !recovered {
		share = reserveUnits(share)
	}
	return max(share-q.lentUnits(), 0)
}

func (q *quota) borrowedUnits() int {
	units := 0
	for _, h := range q.held {
		if !h.ending {
			units += h.loan.Units
		}
	}
	return units
}

func (q *quota) capacity(recovered bool) int { return q.ownUnits(recovered) + q.borrowedUnits() }

// updateContract switches to a later version of the contract. Loans under an
// older version end.
func (q *quota) updateContract(contract glade.Contract, share int) {
	if contract.Version() <= q.contract.Version() {
		return
	}
	q.contract = contract
	q.share = share
	for _, h := range q.held {
		h.ending = true
	}
}

// updateRate sets the token bucket's rate to the contract's rate in proportion
// to the capacity. The bucket holds the tokens of one second, but at least one.
func (q *quota) updateRate(now time.Time, recovered bool) {
	answer := q.contract.Spec().Answer
	part := answer.Rate * float64(q.capacity(recovered)) / float64(max(answer.MaxInFlight, 1))
	if rate.Limit(part) == q.bucket.Limit() {
		return
	}
	q.bucket.SetLimitAt(now, rate.Limit(part))
	q.bucket.SetBurstAt(now, max(int(part), 1))
}

// releaseEnding removes and returns the ending loans whose units no request in
// flight needs.
func (q *quota) releaseEnding(recovered bool) []Loan {
	var returned []Loan
	free := q.capacity(recovered) - q.inFlight
	for _, k := range sortedKeys(q.held) {
		h := q.held[k]
		if h.ending {
			free += h.loan.Units
		}
	}
	for _, k := range sortedKeys(q.held) {
		h := q.held[k]
		if h.ending && free >= h.loan.Units {
			free -= h.loan.Units
			delete(q.held, k)
			returned = append(returned, h.loan)
		}
	}
	return returned
}
