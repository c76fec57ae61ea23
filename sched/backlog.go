package sched

import (
	"cmp"
	"slices"
	"time"
)

// waitingWork is accepted work that is not done.
type waitingWork struct {
	work       float64 // in millicores times milliseconds
	startBytes float64 // of the tasks that are still to be started
}

func (w *waitingWork) add(other waitingWork) {
	w.work += other.work
	w.startBytes += other.startBytes
}

// backlog is the waiting work of all batches at one time, by the slack that they had
// then. Each submission asks it. It is made for an overload, when many batches wait and
// most submissions are refused: a refusal must not cost more the more work waits.
type backlog struct {
	at time.Time
	// slacks are the slacks of the batches that wait, in order, and totals[i] is the work
	// of the first i of them.
	slacks []time.Duration
	totals []waitingWork
	// recent are the batches that were accepted or asked for since.
	recent []backlogEntry
}

type backlogEntry struct {
	slack   time.Duration
	waiting waitingWork
}

// Limits of the age of a backlog.
const (
	backlogTTL       = 20 * time.Millisecond
	maxRecentBatches = 64
)

// backlogAt returns the backlog, which may be as old as backlogTTL but includes every
// batch that was accepted or asked for since.
func (s *Scheduler) backlogAt(now time.Time) *backlog {
	if b := s.backlog; b != nil && now.Sub(b.at) < backlogTTL && len(b.recent) < maxRecentBatches {
		return b
	}
	var entries []backlogEntry
	for b := range s.live {
		entries = s.appendWaiting(entries, b, now)
	}
	for id, e := range s.expected {
		age := now.Sub(e.offeredAt)
		if age >= expectedTime {
			delete(s.expected, id)
			continue
		}
		entries = append(entries, backlogEntry{slack: e.entry.slack - age, waiting: e.entry.waiting})
	}
	slices.SortFunc(entries, func(a, b backlogEntry) int { return cmp.Compare(a.slack, b.slack) })
	s.backlog = &backlog{at: now, slacks: make([]time.Duration, len(entries)), totals: make([]waitingWork, len(entries)+1)}
	for i, e := range entries {
		s.backlog.slacks[i] = e.slack
		s.backlog.totals[i+1] = s.backlog.totals[i]
		s.backlog.totals[i+1].add(e.waiting)
	}
	return s.backlog
}

// addToBacklog adds work that was just accepted, with the slack that it has now.
func (s *Scheduler) addToBacklog(e backlogEntry, now time.Time) {
	if s.backlog != nil {
		e.slack += now.Sub(s.backlog.at)
		s.backlog.recent = append(s.backlog.recent, e)
	}
}

// appendWaiting appends the waiting work of each started occurrence of a batch, with the
// slack that it has at a time.
func (s *Scheduler) appendWaiting(entries []backlogEntry, b *batch, at time.Time) []backlogEntry {
	factor := s.estimates.factor(b.queue)
	objective := s.objective(b)
	for _, o := range b.occurrences {
		if !o.started && !o.due.IsZero() {
			continue
		}
		var waiting waitingWork
		for _, st := range o.steps {
			if !st.rule.LongRunning {
				waiting.work += float64(st.left) * float64(st.rule.Need.CPU) * float64(st.rule.Estimate) * factor
				waiting.startBytes += float64(st.pending) * startBytes(&b.work)
			}
		}
		if waiting.work > 0 {
			slack := b.submittedAt.Add(objective).Sub(at) - s.criticalPath(o, false)
			entries = append(entries, backlogEntry{slack: slack, waiting: waiting})
		}
	}
	return entries
}

// before returns all waiting work, and the part that goes before a batch with the given
// slack: that with as little slack or less that can still be in time.
func (b *backlog) before(slack time.Duration, now time.Time) (ahead, all waitingWork) {
	age := now.Sub(b.at)
	first, _ := slices.BinarySearch(b.slacks, age)
	end, _ := slices.BinarySearch(b.slacks, age+max(slack, -1)+1)
	all = b.totals[len(b.slacks)]
	ahead = waitingWork{
		work:       b.totals[end].work - b.totals[first].work,
		startBytes: b.totals[end].startBytes - b.totals[first].startBytes,
	}
	for _, e := range b.recent {
		all.add(e.waiting)
		if e.slack >= age && e.slack <= age+slack {
			ahead.add(e.waiting)
		}
	}
	return ahead, all
}
