package lead

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestAnswerTimer guards against tasks that wait long for an answer that never comes,
// and against orders that are given up although the link is only slow.
func TestAnswerTimer(t *testing.T) {
	now := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	observe := func(timer *answerTimer, took time.Duration, times int) {
		for range times {
			now = now.Add(20 * time.Millisecond)
			timer.observe(min(took, timer.timeout()), now)
		}
	}
	t.Run("waits long before the first answer", func(t *testing.T) {
		var timer answerTimer
		qt.Assert(t, timer.timeout(), qt.Equals, maxOrderTimeout)
	})
	t.Run("gives a lost order up soon while others are answered at once", func(t *testing.T) {
		var timer answerTimer
		observe(&timer, 3*time.Millisecond, 20)
		qt.Assert(t, timer.timeout(), qt.Equals, minOrderTimeout)
	})
	t.Run("grows when a link turns slow, though no order is answered in time", func(t *testing.T) {
		var timer answerTimer
		observe(&timer, 3*time.Millisecond, 20)
		observe(&timer, 500*time.Millisecond, 20)
		qt.Assert(t, timer.timeout() > 500*time.Millisecond, qt.IsTrue)
	})
	t.Run("shrinks again once answers are quick", func(t *testing.T) {
		var timer answerTimer
		observe(&timer, 500*time.Millisecond, 20)
		observe(&timer, 3*time.Millisecond, 60)
		qt.Assert(t, timer.timeout(), qt.Equals, minOrderTimeout)
	})
	t.Run("grows beyond the usual limit when every answer of an overloaded leader is slow", func(t *testing.T) {
		var timer answerTimer
		observe(&timer, time.Second, 100)
		qt.Assert(t, timer.timeout() > time.Second, qt.IsTrue, qt.Commentf("%v", timer.timeout()))
		qt.Assert(t, timer.timeout() <= maxOwnTimeout, qt.IsTrue)
	})
	t.Run("keeps the usual limit while some orders are answered at once", func(t *testing.T) {
		var timer answerTimer
		for range 50 {
			observe(&timer, 3*time.Millisecond, 1)
			observe(&timer, time.Second, 3)
		}
		qt.Assert(t, timer.timeout(), qt.Equals, maxOrderTimeout)
	})
}
