package sched

import (
	"time"

	glade "indigoglade"
)

// firstContactTime is how long a new leader waits at least for the first answers of its runners, which may list work that is
// done: a lost answer, and the next one.
const firstContactTime = 1500 * time.Millisecond

// A runner's clock may run up to 2 % slow (the platform's bound), which
// clockDriftFactor covers. leaseMargin covers the rounding of both clocks.
const (
	clockDriftFactor = 1.025
	leaseMargin      = 50 * time.Millisecond
)

// leasesExpired reports whether every lease of this leader on the runner has
// certainly ended.
func (r *runner) leasesExpired(now time.Time) bool {
	if r.clockAt.IsZero() {
		return r.leaseEnd == 0
	}
	return now.After(r.lapse())
}

// lapse returns when, on the leader's clock, every lease of this leader on the
// runner has ended, even if the runner's clock is slow.
func (r *runner) lapse() time.Time {
	return r.clockAt.Add(onSlowClock(time.Duration(r.leaseEnd-r.clock) * time.Millisecond))
}

// clockNow estimates the runner's clock in milliseconds. The estimate may be ahead
// by 2 % of the time since the last answer.
func (r *runner) clockNow(now time.Time) int64 {
	return r.clock + now.Sub(r.clockAt).Milliseconds()
}

// grantLease returns the end of a lease that is granted now, on the runner's
// clock, or 0 if none may be granted.
func (s *Scheduler) grantLease(r *runner, now time.Time) int64 {
	if r.clockAt.IsZero() || s.grantsNothing {
		return 0
	}
	length := min(s.config.LeaseTime, s.config.MaxLease, s.config.RenewalTTL-now.Sub(s.rowRenewedAt))
	if length <= 0 {
		return 0
	}
	return r.clockNow(now) + length.Milliseconds()
}

// inheritedLeases is what this leader knows of the leases that earlier leaders have granted.
type inheritedLeases struct {
	// reborn holds the runners that had restarted under their ids lately by the row of an earlier leader.
	reborn map[glade.RunnerID]bool
	// awaitsLongest means that a registered runner may have a lease on the clock of before its restart and has not answered.
	awaitsLongest bool
	// isLogged means that the log has the end of the wait.
	isLogged bool
}

// inheritedLeasesOver reports whether every lease that earlier leaders have granted has ended,
// and none was renewed: a newer leader may have done so on a runner that this one has not
// reached, so that the leader row must have been renewed after that time.
func (s *Scheduler) inheritedLeasesOver(now time.Time) bool {
	over := s.inheritedLeaseEnd()
	if s.inherited.awaitsLongest {
		over = s.longestLeaseEnd()
	}
	return now.After(over) && s.confirmedSince(over)
}

// IsSettled reports whether no lease of an earlier leader counts any more.
func (s *Scheduler) IsSettled(now time.Time) bool { return s.inheritedLeasesOver(now) }

// inheritedLeaseEnd returns when the leases end that earlier leaders have granted on clocks that they knew.
func (s *Scheduler) inheritedLeaseEnd() time.Time {
	longest := s.config.RenewalTTL
	if s.config.InheritedLeases > 0 {
		longest = s.config.InheritedLeases
	}
	end := s.config.InheritedSince.Add(onSlowClock(longest))
	if answered := s.leaderSince.Add(min(firstContactTime, onSlowClock(longest))); answered.After(end) {
		return answered
	}
	return end
}

// longestLeaseEnd returns when the inherited leases on the clocks of before a restart end, too. An earlier leader that is cut
// off from the store may have granted one up to the takeover.
func (s *Scheduler) longestLeaseEnd() time.Time {
	end, longest := s.inheritedLeaseEnd(), s.leaderSince.Add(onSlowClock(s.config.MaxLease))
	if longest.After(end) {
		return longest
	}
	return end
}

// onSlowClock returns the longest time that a lease takes on a runner's clock.
func onSlowClock(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockDriftFactor) + leaseMargin
}

// inheritedLeaseEndOn returns when the leases that earlier leaders have granted on a runner end.
func (s *Scheduler) inheritedLeaseEndOn(r *runner) time.Time {
	if s.mayBeReborn(r) {
		return s.longestLeaseEnd()
	}
	return s.inheritedLeaseEnd()
}

// mayBeReborn reports whether a runner may have restarted under its id shortly before the takeover: the row says so, or the
// platform lists another incarnation than the row names.
func (s *Scheduler) mayBeReborn(r *runner) bool {
	id := r.info.ID
	tag := s.losses.loaded[id]
	return s.inherited.reborn[id] || r.info.Born != 0 && tag != 0 && bornTag(r.info.Born) != tag
}

// updateInherited notes whether a lease on the clock of before a restart may count on a runner that has not answered.
func (s *Scheduler) updateInherited() {
	s.inherited.awaitsLongest = false
	for id := range s.registered {
		if r, ok := s.runners[id]; ok && !r.contacted && s.mayBeReborn(r) {
			s.inherited.awaitsLongest = true
			return
		}
	}
}

// rebornTime is how long after a restart under the same id a lease on the clock of before may count.
func (s *Scheduler) rebornTime() time.Duration {
	return onSlowClock(s.config.MaxLease)
}

// isReborn reports whether the row has to say that a runner has restarted under its id lately.
func (s *Scheduler) isReborn(id glade.RunnerID, now time.Time) bool {
	if r, ok := s.runners[id]; ok && r.contacted {
		return !r.rebornAt.IsZero() && now.Sub(r.rebornAt) <= s.rebornTime()
	}
	return s.inherited.reborn[id] && now.Sub(s.leaderSince) <= s.rebornTime()
}

// noteReborn records that a runner has restarted under its id, for the row.
func (s *Scheduler) noteReborn(r *runner, now time.Time) {
	r.rebornAt, s.rebornAt = now, now
	if s.registered[r.info.ID] {
		s.registryGen++
	}
}

// forgetReborn makes the row say no more that runners have restarted once their leases are as long as others.
func (s *Scheduler) forgetReborn(now time.Time) {
	if !s.rebornAt.IsZero() && now.Sub(s.rebornAt) > s.rebornTime() {
		s.rebornAt = time.Time{}
		s.registryGen++
	}
}

// logInherited logs once that the leases of earlier leaders are over, and how many of their runners have not answered by then:
// what ran there may be started again from now on.
func (s *Scheduler) logInherited(now time.Time) {
	if s.inherited.isLogged || !s.inheritedLeasesOver(now) {
		return
	}
	s.inherited.isLogged = true
	silent := 0
	for id := range s.registered {
		if r, ok := s.runners[id]; !ok || !r.contacted {
			silent++
		}
	}
	if silent > 0 {
		s.addEvent("inherited", "silent", silent, "waited", sinceMillis(now, s.leaderSince), "since", sinceMillis(now, s.config.InheritedSince),
			"told", s.config.InheritedLeases.Milliseconds(), "longest", s.inherited.awaitsLongest)
	}
}

// EndLeases makes the scheduler grant no lease any more, and returns how long those that it and the leaders before it have
// granted may last. It is for a leader that releases the service.
func (s *Scheduler) EndLeases(now time.Time) time.Duration {
	s.grantsNothing = true
	longest := time.Duration(0)
	for id, r := range s.runners {
		switch {
		case r.contacted:
			longest = max(longest, r.lapse().Sub(now))
		case s.registered[id]:
			longest = max(longest, s.inheritedLeaseEndOn(r).Sub(now))
		}
	}
	return longest
}
