package lead

import (
	"sync"
	"time"
)

// activity counts what a service leader did since its last log line, so that the log shows
// what takes the time of a leader that falls behind.
type activity struct {
	mu     sync.Mutex
	since  time.Time
	counts activityCounts
	// wokenAt is when the next step was first asked for, zero if it was not.
	wokenAt time.Time
}

type activityCounts struct {
	// steps counts scheduling steps, stepTime is their sum, and maxStepDelay the longest
	// time from when a step was due or asked for until it ran, the rest before it included.
	steps                  int
	stepTime, maxStepDelay time.Duration
	orders, heartbeats     callCounts
	submissions, offers    int
}

// callCounts counts calls to runners that have ended.
type callCounts struct {
	answered, unanswered int
	// time is the sum of the times that answers took, without the time for which a
	// runner was allowed to delay them; longest is the longest one.
	time, longest time.Duration
}

func (c *callCounts) add(took time.Duration, err error) {
	if err != nil {
		c.unanswered++
		return
	}
	took = max(took, 0)
	c.answered++
	c.time += took
	c.longest = max(c.longest, took)
}

func (c *callCounts) mean() time.Duration { return c.time / time.Duration(max(c.answered, 1)) }

// recordWake records that a step was asked for.
func (a *activity) recordWake(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.wokenAt.IsZero() {
		a.wokenAt = now
	}
}

// beginStep records that a step begins that was due at a time, unless it was asked for
// earlier.
func (a *activity) beginStep(due, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.wokenAt.IsZero() && a.wokenAt.Before(due) {
		due = a.wokenAt
	}
	a.wokenAt = time.Time{}
	a.counts.maxStepDelay = max(a.counts.maxStepDelay, now.Sub(due))
}

func (a *activity) endStep(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.steps++
	a.counts.stepTime += took
}

func (a *activity) recordOrder(took time.Duration, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.orders.add(took, err)
}

func (a *activity) recordHeartbeat(took time.Duration, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.heartbeats.add(took, err)
}

func (a *activity) recordSubmission() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.submissions++
}

func (a *activity) recordOffer() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.offers++
}

// activityPeriod is the time between two log lines about a leader's activity.
const activityPeriod = time.Second

// take returns the counts of the period that has ended, and false if none has.
func (a *activity) take(now time.Time) (activityCounts, time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.since.IsZero() {
		a.since = now
	}
	period := now.Sub(a.since)
	if period < activityPeriod {
		return activityCounts{}, 0, false
	}
	counts := a.counts
	a.since, a.counts = now, activityCounts{}
	return counts, period, true
}

// logActivity logs what this leader did in the last period, if that has ended.
func (s *ServiceLeader) logActivity() {
	n, period, ended := s.activity.take(s.clock.Now())
	if !ended {
		return
	}
	s.manager.config.Log.Info("activity", "service", s.service, "epoch", s.term.Epoch, "periodMs", period.Milliseconds(),
		"steps", n.steps, "stepMs", n.stepTime.Milliseconds(), "maxStepDelayMs", n.maxStepDelay.Milliseconds(),
		"submissions", n.submissions, "offers", n.offers,
		"orders", n.orders.answered, "ordersUnanswered", n.orders.unanswered,
		"orderMs", n.orders.mean().Milliseconds(), "maxOrderMs", n.orders.longest.Milliseconds(),
		"heartbeats", n.heartbeats.answered, "heartbeatsUnanswered", n.heartbeats.unanswered,
		"heartbeatMs", n.heartbeats.mean().Milliseconds(), "maxHeartbeatMs", n.heartbeats.longest.Milliseconds())
}
