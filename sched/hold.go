package sched

import (
	"cmp"
	"time"
)

// limitHold is how long a step with nothing running waits for its limit until the room
// within the limit is kept for it. Otherwise small tasks of its tenant take each gap, and a
// gang never starts; after 3 s without a run the step counts as starved.
const limitHold = time.Second

// limitHoldTime is how long the room is kept, and then not kept, in turn: the tasks that take
// it may run for minutes, and their tenant's other steps would starve meanwhile. A step counts
// as starved after 3 s.
const limitHoldTime = 2500 * time.Millisecond

// isHolding reports whether it is the turn in which room is kept. The turns are those of the
// tenant: with turns of their own, several steps would keep the room all the time.
func (t *tenant) isHolding(now time.Time) bool {
	if t.holdBegan.IsZero() {
		t.holdBegan = now
	}
	return now.Sub(t.holdBegan)/limitHoldTime%2 == 0
}

// holdRoom chooses for each tenant the step that its room is kept for: the one that has
// waited longest, if it fits into the share once others end.
func (s *Scheduler) holdRoom(now time.Time) {
	for _, t := range s.tenants {
		t.heldFor = nil
	}
	for st := range s.ready {
		t := st.occurrence.batch.tenant
		if !t.isLimited() || st.limitedSince.IsZero() || st.pending < len(st.tasks) || now.Sub(st.limitedSince) < limitHold {
			continue
		}
		if t.room(unit(st.rule), t.unseen.Plus(t.lasting), t.allowance.Share, 1) == 1 && (t.heldFor == nil || st.waitedLonger(t.heldFor)) {
			t.heldFor = st
		}
	}
	for _, t := range s.tenants {
		switch {
		case t.heldFor != nil && !t.isHolding(now):
			t.heldFor = nil
		case t.heldFor == nil && now.Sub(t.holdBegan) >= 2*limitHoldTime:
			t.holdBegan = time.Time{}
		}
	}
}

// waitedLonger orders steps by their wait for their limit, and then by their ids.
func (st *step) waitedLonger(other *step) bool {
	return cmp.Or(st.limitedSince.Compare(other.limitedSince), cmp.Compare(st.occurrence.batch.id, other.occurrence.batch.id),
		cmp.Compare(st.index, other.index)) < 0
}

// noteLimited records whether a step waits for its limit alone.
func (s *Scheduler) noteLimited(st *step, limited bool, now time.Time) {
	switch {
	case !limited:
		st.limitedSince = time.Time{}
	case st.limitedSince.IsZero():
		st.limitedSince = now
		s.demandGen++
	}
}

// limitLogPeriod is the least time between two reports of one tenant's waits.
const limitLogPeriod = 2 * time.Second

// logLimits reports which tenants begin and stop to wait for their limits.
func (s *Scheduler) logLimits(now time.Time) {
	since := make(map[*tenant]time.Time)
	steps := make(map[*tenant]int)
	for st := range s.ready {
		t := st.occurrence.batch.tenant
		if t == nil || st.limitedSince.IsZero() || st.pending == 0 {
			continue
		}
		if at, ok := since[t]; !ok || st.limitedSince.Before(at) {
			since[t] = st.limitedSince
		}
		steps[t]++
	}
	for _, t := range s.tenants {
		at, limited := since[t]
		if !t.limitedSince.IsZero() {
			t.stats.LimitedMs += now.Sub(t.countedAt).Milliseconds()
		}
		t.countedAt = now
		if !limited {
			t.limitedSince = time.Time{}
		} else if t.limitedSince.IsZero() {
			t.limitedSince = at
		}
		if limited == t.logged || now.Sub(t.loggedAt) < limitLogPeriod {
			continue
		}
		t.logged, t.loggedAt = limited, now
		if limited {
			s.addEvent("limited", append([]any{"tenant", t.name, "steps", steps[t], "known", t.hasShare}, t.numbers()...)...)
		} else {
			s.addEvent("unlimited", append([]any{"tenant", t.name, "limitedMs", t.stats.LimitedMs}, t.numbers()...)...)
		}
	}
}
