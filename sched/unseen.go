package sched

import (
	"time"

	glade "indigoglade"
)

// unseenTTL is the age up to which the bound on unseen runs is kept. It can only be too
// high meanwhile: silent runners answer, and start nothing that is unknown.
const unseenTTL = 20 * time.Millisecond

func (s *Scheduler) clearUnseen() {
	for _, t := range s.tenants {
		if t.unseen != (glade.Need{}) {
			t.unseen = glade.Need{}
			s.demandGen++
		}
	}
}

// countUnseen bounds what runs of earlier leaders may occupy on runners that have not
// answered yet: the pending tasks of inherited batches and the leftovers of ended ones, and
// no more than these runners can hold.
func (s *Scheduler) countUnseen(now time.Time) {
	if len(s.tenants) == 0 || s.unseenOver {
		return
	}
	if s.inheritedLeasesOver(now) {
		s.clearUnseen()
		s.unseenOver, s.needsPlacement = true, true
		return
	}
	silent := 0
	for id := range s.registered {
		if s.mayHaveUnknownRuns(id, now) {
			silent++
		}
	}
	if silent == s.silentRunners && now.Sub(s.unseenAt) < unseenTTL {
		return
	}
	s.clearUnseen()
	s.silentRunners, s.unseenAt = silent, now
	if silent == 0 {
		return
	}
	for _, b := range s.batches {
		if b.tenant != nil && b.inherited {
			b.tenant.unseen = b.tenant.unseen.Plus(b.maybeUnseen())
		}
	}
	// A silent runner may be unlisted, or have shrunk below what runs there.
	var largest glade.Need
	for _, r := range s.ordered {
		largest = most(largest, r.info.Capacity)
	}
	if largest == (glade.Need{}) {
		return
	}
	for _, t := range s.tenants {
		t.unseen = least(t.unseen, multiply(largest, silent))
	}
}

// maybeUnseen returns what the runs of an inherited batch that this leader has not seen
// may occupy.
func (b *batch) maybeUnseen() glade.Need {
	var sum glade.Need
	for _, o := range b.occurrences {
		for _, st := range o.steps {
			count := st.pending
			switch {
			case b.state == glade.BatchDone:
				count = st.leftovers(len(st.tasks))
			case !b.state.IsFinal():
				count += st.leftovers(len(st.tasks) - st.pending)
			}
			if st.rule.AllowsCopies && !st.rule.Gang && b.state != glade.BatchDone {
				count += st.pending // the second runs of tasks whose first ones are not seen either
			}
			sum = sum.Plus(multiply(whole(st.rule), count))
		}
	}
	return sum
}

// leftovers returns how many runs may be left of tasks that are done or run elsewhere: the
// copies of each, or the other members of a gang.
func (st *step) leftovers(count int) int {
	switch {
	case st.rule.Gang && count > 0:
		return count - 1
	case st.rule.AllowsCopies:
		return count
	}
	return 0
}
