package sched

import (
	"time"

	glade "indigoglade"
)

// Limits of checks of runners' kinds. A runner that restarts under its id may be of another kind, and a start can't
// name the incarnation that it is meant for. A restart shows late if the connection of the heartbeat that the earlier
// incarnation held was not closed.
const (
	// kindTTL is how long after a heartbeat was sent its answer stands for the runner's present incarnation. A
	// restart that takes less is not noticed.
	kindTTL = 200 * time.Millisecond
	// kindWait is how long a step waits for the answers of all runners that it can use, before it makes do with
	// those that have answered.
	kindWait = 50 * time.Millisecond
	// kindRetry is the pause after a check that has confirmed nothing.
	kindRetry = 300 * time.Millisecond
	// maxKindChecks bounds the checks of one tick.
	maxKindChecks = 64
)

// ofKnownKind returns the usable runners on which a step may start now: if it asks for a label, those that have it
// and have room, and whose present incarnation has just answered. The others of these are asked. ok is false while
// their answers are awaited.
func (s *Scheduler) ofKnownKind(st *step, usable []*runner, now time.Time) (known []*runner, ok bool) {
	if st.rule.Label == "" {
		return usable, true
	}
	ok = true
	for _, r := range usable {
		switch {
		case !s.allows(r, st, now) || !allocation(st.rule).Fits(r.info.Capacity.Minus(r.used)):
		case now.Sub(r.kindSeenAt) <= kindTTL:
			known = append(known, r)
			if now.Sub(r.kindSeenAt) > kindTTL/2 {
				s.checkKind(r, now) // or the step waits again for one runner after the other
			}
		default:
			s.checkKind(r, now)
			ok = ok && (!r.kindCheckInFlight || now.Sub(r.kindCheckedAt) >= kindWait)
		}
	}
	return known, ok
}

// checkKind asks a runner for its incarnation, beside the heartbeat that it may hold.
func (s *Scheduler) checkKind(r *runner, now time.Time) {
	if r.kindCheckInFlight || now.Before(r.nextKindCheck) || len(s.kindChecks) == maxKindChecks {
		return
	}
	r.kindCheckInFlight, r.kindCheckedAt = true, now
	s.kindChecks = append(s.kindChecks, Heartbeat{To: r.info, Order: glade.HeartbeatOrder{Fence: s.config.Epoch, KindCheck: true}})
}

// kindChecked processes the answer to a check of a runner's kind. It returns false if the runner has seen a newer
// leader. The lists in the answer may be older than those of a heartbeat, and are not used.
func (s *Scheduler) kindChecked(r *runner, sent time.Time, answer glade.HeartbeatAnswer, err error, now time.Time) bool {
	r.kindCheckInFlight = false
	if err == nil && answer.Refused == glade.RefusedFence {
		return false
	}
	s.needsPlacement = true
	switch {
	case err != nil || answer.Refused != glade.RunAccepted:
		r.nextKindCheck = now.Add(kindRetry)
	case answer.Born != r.incarnation:
		r.nextKindCheck = now.Add(kindRetry)
		r.maybeRestarted, r.failedAt = true, now
		s.addEvent("kind", "runner", r.info.ID, "known", r.incarnation, "born", answer.Born)
	default:
		r.noteKind(sent)
	}
	return true
}

// noteKind records that a heartbeat that was sent at the given time was answered by the incarnation that is known.
func (r *runner) noteKind(sent time.Time) {
	if sent.After(r.kindSeenAt) {
		r.kindSeenAt = sent
	}
}
