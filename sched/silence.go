package sched

import (
	"slices"
	"time"
)

// Limits of silences.
const (
	// pollSettle is how long after a heartbeat was sent its long poll is certainly held by
	// the runner, or has failed.
	pollSettle = 100 * time.Millisecond
	// otherSilences is the number of other runners that go silent within silencePeriod
	// of each other for one cause that they share.
	otherSilences = 2
	silencePeriod = 150 * time.Millisecond
	// silenceTTL is how long a silence is remembered.
	silenceTTL = 10 * time.Second
)

// silence is the time at which a runner went silent without a trial on it.
type silence struct {
	runner *runner
	at     time.Time
	// hasYoung means that a run on it was young, which may have been the cause.
	hasYoung bool
}

// noteSilence records that a runner went silent.
func (s *Scheduler) noteSilence(r *runner, now time.Time) {
	if !r.silentAt.IsZero() {
		return
	}
	r.silentAt = now
	s.silences = slices.DeleteFunc(s.silences, func(other silence) bool { return now.Sub(other.at) > silenceTTL })
	if s.hasTrial(r) || r.wasLeaving() {
		return
	}
	hasYoung := false
	for n := range r.runs {
		hasYoung = hasYoung || n.isYoung(now)
	}
	s.silences = append(s.silences, silence{runner: r, at: now, hasYoung: hasYoung})
}

// noteAlive records that a runner was alive at a time.
func (r *runner) noteAlive(at time.Time) {
	if at.After(r.aliveAt) {
		r.aliveAt = at
	}
}

// isPolled reports whether a runner holds a heartbeat that was sent at the given time, to
// answer it later: its connection breaks when the runner crashes.
func isPolled(sent time.Time, wait time.Duration, now time.Time) bool {
	return now.Sub(sent) >= pollSettle && now.Sub(sent) < wait
}

// lastAlive returns the latest time at which a runner is known to have been alive.
func (r *runner) lastAlive(now time.Time) time.Time {
	if r.heartbeatInFlight && isPolled(r.heartbeatSentAt, r.heartbeatWait, now) {
		return now
	}
	return r.aliveAt
}

// isYoung reports whether a run may still crash its runner, or may have done so.
func (n *run) isYoung(now time.Time) bool {
	return n.runner.lastAlive(now).Sub(n.startedAt) <= crashWindow
}

// hasOtherCause reports whether runners crash at this time for a cause that has nothing to
// do with what they start: one has gone silent without a young run, or several at once.
func (s *Scheduler) hasOtherCause(r *runner) bool {
	atOnce := 0
	for _, other := range s.silences {
		if other.runner == r {
			continue
		}
		if !other.hasYoung {
			return true
		}
		if other.at.Sub(r.silentAt).Abs() <= silencePeriod {
			atOnce++
		}
	}
	return atOnce >= otherSilences
}
