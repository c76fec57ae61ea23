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

// timeout returns the present timeout.
func (t *answerTimer) timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		return maxOrderTimeout
	}
	return min(max(t.mean+deviationsWaited*t.deviation, minOrderTimeout), maxOrderTimeout)
}

// observe adds the time that an order took until it was answered or given up. Orders that
// were given up count as well: if a link turns slow, the timeout must grow although no
// answer comes in time any more.
func (t *answerTimer) observe(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mean == 0 {
		t.mean, t.deviation = max(took, 1), took/2
		return
	}
	difference := took - t.mean
	t.deviation += (difference.Abs() - t.deviation) / deviationDivisor
	t.mean += difference / meanDivisor
}
