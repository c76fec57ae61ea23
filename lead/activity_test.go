package lead

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestActivity guards against a log that hides what a leader does while it falls behind.
func TestActivity(t *testing.T) {
	start := time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)
	var a activity
	expectNone := func(t *testing.T, now time.Time) {
		t.Helper()
		_, _, ended := a.take(now)
		qt.Assert(t, ended, qt.IsFalse)
	}
	expectNone(t, start)
	a.beginStep(start, start.Add(10*time.Millisecond))
	a.endStep(2 * time.Millisecond)
	a.recordWake(start.Add(20 * time.Millisecond))
	a.recordWake(start.Add(45 * time.Millisecond))
	a.beginStep(start.Add(time.Second), start.Add(50*time.Millisecond)) // asked for 30 ms ago
	a.endStep(4 * time.Millisecond)
	a.beginStep(start.Add(60*time.Millisecond), start.Add(60*time.Millisecond))
	a.endStep(0)
	a.recordOrder(10*time.Millisecond, nil)
	a.recordOrder(30*time.Millisecond, nil)
	a.recordOrder(time.Second, errors.New("no answer"))
	a.recordHeartbeat(-200*time.Millisecond, nil) // a run ended before the wait was over
	a.recordHeartbeat(50*time.Millisecond, nil)
	a.recordSubmission()
	expectNone(t, start.Add(activityPeriod/2))
	n, period, ended := a.take(start.Add(2 * activityPeriod))
	qt.Assert(t, ended, qt.IsTrue)
	qt.Assert(t, period, qt.Equals, 2*activityPeriod)
	qt.Assert(t, n, qt.Equals, activityCounts{
		steps: 3, stepTime: 6 * time.Millisecond, maxStepDelay: 30 * time.Millisecond, submissions: 1,
		orders:     callCounts{answered: 2, unanswered: 1, time: 40 * time.Millisecond, longest: 30 * time.Millisecond},
		heartbeats: callCounts{answered: 2, time: 50 * time.Millisecond, longest: 50 * time.Millisecond},
	})
	qt.Assert(t, n.orders.mean(), qt.Equals, 20*time.Millisecond)
	expectNone(t, start.Add(2*activityPeriod))
}
