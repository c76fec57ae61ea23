package sched

import (
	"time"

	glade "indigoglade"
)

// givenUp describes an incarnation of a runner whose runs were given up without a word of its own. If that
// incarnation answers later, they may have gone on beside their successors.
type givenUp struct {
	born int64
	how  string
	at   time.Time
	// lease is what was left of the leases by the reckoning of this leader, in milliseconds; negative if they had ended.
	lease int64
	runs  []*run
}

// leaseLeft returns how long runs may go on on a runner, in milliseconds. On one that has not answered this leader, only
// leases of earlier leaders count.
func (s *Scheduler) leaseLeft(r *runner, now time.Time) int64 {
	end := r.lapse()
	if r.clockAt.IsZero() {
		end = s.inheritedLeaseEndOn(r)
	}
	return end.Sub(now).Milliseconds()
}

// noteGivenUp remembers for orderLateness that the runs of a runner were given up.
func (s *Scheduler) noteGivenUp(r *runner, how string, runs []*run, now time.Time) {
	for id, g := range s.givenUp {
		if now.Sub(g.at) > orderLateness {
			delete(s.givenUp, id)
		}
	}
	s.givenUp[r.info.ID] = givenUp{born: r.incarnation, how: how, at: now, lease: s.leaseLeft(r, now), runs: runs}
}

// reportReturn logs that a runner whose runs were given up has answered. One that had not answered this leader before is
// reported whatever its incarnation. A runner that answers as the same incarnation was only cut off.
func (s *Scheduler) reportReturn(r *runner, answer glade.HeartbeatAnswer, now time.Time) {
	g, ok := s.givenUp[r.info.ID]
	if !ok {
		return
	}
	delete(s.givenUp, r.info.ID)
	if g.born == answer.Born {
		s.dropCrashes(g.runs)
	}
	if g.born == answer.Born || g.born == 0 {
		s.addEvent("returned", "runner", r.info.ID, "how", g.how, "ago", sinceMillis(now, g.at), "lease", g.lease,
			"runs", len(g.runs), "running", len(answer.Running), "ended", len(answer.Ended), "known", g.born != 0, "born", answer.Born)
	}
}

// dropCrashes removes the entries of runs whose runner has not crashed.
func (s *Scheduler) dropCrashes(runs []*run) {
	for _, n := range runs {
		if b := n.step.occurrence.batch; s.batches[b.id] == b {
			s.dropCrash(n.step, n.task(), n.number)
		}
	}
}
