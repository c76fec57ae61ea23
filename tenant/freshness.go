package tenant

import (
	"sync/atomic"
	"time"
)

// Shares of the revocation time. When a path to the table service breaks, the newest confirming read may be two
// polls old, and keyed calls are owed for another 0.6; with the margin that must be less than 1.
const (
	// pollShare is the wait of one long poll, and also the time that its answer may take beyond that.
	pollShare = 0.15
	// marginShare covers clocks that run at different rates.
	marginShare = 0.05
)

// PollTime returns how long a read of the contract's feed may wait for a change, so that a host with a path
// to the table service is always fresh; 0 without a revocation time.
func PollTime(revoke time.Duration) time.Duration { return share(revoke, pollShare) }

func share(d time.Duration, of float64) time.Duration { return time.Duration(float64(d) * of) }

// Freshness tells whether this host may rely on its contract: whether it would know a contract that was
// confirmed to the operator a revocation time ago. All times are of the boot clock (glade.Clock.Uptime),
// which also counts suspension. Its methods may be called concurrently.
type Freshness struct {
	limit time.Duration
	// sent is when the newest confirming read was sent, plus 1 ns; 0 before the first one.
	sent atomic.Int64
}

// NewFreshness returns the freshness of a host that has not read the contract yet. A contract is fresh for the
// revocation time after the sending of the read that confirmed it, less a margin.
func NewFreshness(revoke time.Duration) *Freshness {
	return &Freshness{limit: revoke - share(revoke, marginShare)}
}

// Confirm records that a read which was sent at a time returned the contract in force. The contract must be
// in force before this call: whoever finds it fresh and then loads it gets that version or a newer one.
func (f *Freshness) Confirm(sent time.Duration) {
	for {
		old := f.sent.Load()
		if int64(sent)+1 <= old || f.sent.CompareAndSwap(old, int64(sent)+1) {
			return
		}
	}
}

// Age returns the time since the newest confirming read was sent, and false before the first one.
func (f *Freshness) Age(now time.Duration) (time.Duration, bool) {
	sent := f.sent.Load()
	return now - time.Duration(sent-1), sent > 0
}

// IsFresh reports whether a call that had arrived by now may be admitted under the contract in force.
func (f *Freshness) IsFresh(now time.Duration) bool {
	age, ok := f.Age(now)
	return ok && age < f.limit
}

// RetryAfter returns when a refused caller may retry: other hosts serve it at once, and the load balancer
// takes some 2 s to notice that this one is not ready.
func (*Freshness) RetryAfter() time.Duration { return time.Second }
