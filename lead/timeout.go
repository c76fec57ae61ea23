package lead

import (
	"sync"
	"time"
)

// answerTimer estimates how long the answer to an order may take before it counts as
// lost, from the times that answers have taken: their mean and four times their mean
// deviation, as in TCP. It is made for runners that leave some orders unanswered: a
// task waits for the end of the timeout until it can be started elsewhere.
type answerTimer struct {
	mu              sync.Mutex
	mean, deviation time.Duration
	// fastest is the shortest time of the period since periodStart, lastFastest that of
	// the period before.
	fastest, lastFastest time.Duration
	periodStart          time.Time
}

// Bounds of the timeout, and the averages behind it.
const (
	minOrderTimeout = 200 * time.Millisecond
	maxOrderTimeout = 700 * time.Millisecond
	// One answer moves the mean by an eighth of its difference, and the mean deviation by
	// a quarter.
	meanDivisor      = 8
	deviationDivisor = 4
	deviationsWaited = 4 // added to the mean
)

// If even the fastest answer of a period takes longer than ownDelay, this leader's link or
// processor delays all of them, and no runner is to blame: the timeout may then grow to
// maxOwnTimeout. A lease outlasts a heartbeat that is given up after it.
const (
	ownDelay      = 100 * time.Millisecond
	answerPeriod  = 500 * time.Millisecond
	maxOwnTimeout = 2 * time.Second
)

// timeout returns the present timeout.
func (t *answerTimer) timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		return maxOrderTimeout
	}
	longest := maxOrderTimeout
	if min(t.fastest, t.lastFastest) > ownDelay {
		longest = maxOwnTimeout
	}
	return min(max(t.mean+deviationsWaited*t.deviation, minOrderTimeout), longest)
}

// observe adds the time that an order took until it was answered or given up. Orders that
// were given up count as well: if a link turns slow, the timeout must grow although no
// answer comes in time any more.
func (t *answerTimer) observe(took time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.periodStart) >= answerPeriod {
		t.periodStart, t.lastFastest, t.fastest = now, t.fastest, took
	}
	t.fastest = min(t.fastest, took)
	if t.mean == 0 {
		t.mean, t.deviation = max(took, 1), took/2
		return
	}
	difference := took - t.mean
	t.deviation += (difference.Abs() - t.deviation) / deviationDivisor
	t.mean += difference / meanDivisor
}
