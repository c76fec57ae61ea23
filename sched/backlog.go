package sched

import (
	"cmp"
	"slices"
	"time"

	glade "indigoglade"
)

// waitingWork is accepted work that is not done.
type waitingWork struct {
	work       float64 // in millicores times milliseconds
	startBytes float64 // of the tasks that are still to be started
	// memory and accels are in megabytes and accelerators, times milliseconds; they are kept
	// for batches of tenants only.
	memory, accels float64
}

func (w *waitingWork) add(other waitingWork) { w.addTimes(1, other) }

func (w *waitingWork) addTimes(factor float64, other waitingWork) {
	w.work += factor * other.work
	w.startBytes += factor * other.startBytes
	w.memory += factor * other.memory
	w.accels += factor * other.accels
}

// work returns the expected work of a batch.
func (s *Scheduler) work(queue glade.Queue, batch Summary) waitingWork {
	factor := s.estimates.factor(queue)
	return waitingWork{work: batch.Work * factor, startBytes: batch.StartBytes, memory: batch.Memory * factor, accels: batch.Accels * factor}
}

// backlog is the waiting work of all batches at one time. Each submission asks it. It is
// made for an overload, when many batches wait and most submissions are refused: a refusal
// must not cost more the more work waits.
type backlog struct {
	at time.Time
	// common is the work of all batches that may use the whole pool, tenants that of those
	// tenants that may not.
	common  workSums
	tenants map[*tenant]*workSums
	order   []*tenant // of tenants
	// recent is the number of batches that were accepted or asked for since.
	recent int
}

// workSums is waiting work by the slack that its batches had at one time.
type workSums struct {
	// slacks are the slacks of the batches, in order, and totals[i] is the work of the first
	// i of them.
	slacks []time.Duration
	totals []waitingWork
	// recent are the batches that were added since.
	recent []backlogEntry
}

type backlogEntry struct {
	tenant  *tenant
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
	if b := s.backlog; b != nil && now.Sub(b.at) < backlogTTL && b.recent < maxRecentBatches {
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
		e.entry.slack -= age
		entries = append(entries, e.entry)
	}
	slices.SortFunc(entries, func(a, b backlogEntry) int { return cmp.Compare(a.slack, b.slack) })
	s.backlog = &backlog{at: now, tenants: make(map[*tenant]*workSums)}
	for _, e := range entries {
		s.backlog.sums(e.tenant).append(e)
	}
	return s.backlog
}

// sums returns the sums that the work of a tenant belongs to.
func (b *backlog) sums(t *tenant) *workSums {
	if !t.isBounded() {
		return &b.common
	}
	sums, ok := b.tenants[t]
	if !ok {
		sums = &workSums{}
		b.tenants[t] = sums
		b.order = append(b.order, t)
	}
	return sums
}

// append adds the batch with the next larger slack.
func (w *workSums) append(e backlogEntry) {
	total := e.waiting
	if n := len(w.totals); n > 0 {
		total.add(w.totals[n-1])
	}
	w.slacks, w.totals = append(w.slacks, e.slack), append(w.totals, total)
}

// upTo returns the work of the first n batches.
func (w *workSums) upTo(n int) waitingWork {
	if n == 0 {
		return waitingWork{}
	}
	return w.totals[n-1]
}

// addToBacklog adds work that was just accepted, with the slack that it has now.
func (s *Scheduler) addToBacklog(e backlogEntry, now time.Time) {
	if s.backlog != nil {
		e.slack += now.Sub(s.backlog.at)
		sums := s.backlog.sums(e.tenant)
		sums.recent = append(sums.recent, e)
		s.backlog.recent++
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
			left, pending := st.left, st.pending
			if b.tenant != nil && !b.tenant.isPossible(unit(st.rule)) {
				left, pending = left-pending, 0 // they wait for a higher limit, and leave no room by ending
			}
			if !st.rule.LongRunning {
				waiting.work += float64(left) * float64(st.rule.Need.CPU) * float64(st.rule.Estimate) * factor
				waiting.startBytes += float64(pending) * startBytes(&b.work)
				if b.tenant != nil {
					waiting.memory += float64(left) * float64(st.rule.Need.Memory) * float64(st.rule.Estimate) * factor
					waiting.accels += float64(left) * float64(st.rule.Need.Accels) * float64(st.rule.Estimate) * factor
				}
			}
		}
		if waiting.work > 0 || waiting.memory > 0 || waiting.accels > 0 {
			slack := o.askedAt().Add(objective).Sub(at) - s.criticalPath(o, false)
			entries = append(entries, backlogEntry{tenant: b.tenant, slack: slack, waiting: waiting})
		}
	}
	return entries
}

// before returns all waiting work, and the part that goes before a batch with the given
// slack: that with as little slack or less that can still be in time. age is the time since
// the sums were made.
func (w *workSums) before(slack, age time.Duration) (ahead, all waitingWork) {
	first, _ := slices.BinarySearch(w.slacks, age)
	end, _ := slices.BinarySearch(w.slacks, age+max(slack, -1)+1)
	all = w.upTo(len(w.slacks))
	ahead = w.upTo(end)
	ahead.addTimes(-1, w.upTo(first))
	for _, e := range w.recent {
		all.add(e.waiting)
		if e.slack >= age && e.slack <= age+slack {
			ahead.add(e.waiting)
		}
	}
	return ahead, all
}

// before returns the waiting work of all batches that may use the whole pool, and the part
// that goes before a batch with the given slack.
func (b *backlog) before(slack time.Duration, now time.Time) (ahead, all waitingWork) {
	return b.common.before(slack, now.Sub(b.at))
}

// waitingBefore returns the work that a batch of a tenant has to wait for: all of it until
// horizon, and the part that goes before a batch with the given slack. Other tenants that
// can't use the whole pool count with what they can run until then.
func (s *Scheduler) waitingBefore(t *tenant, slack, horizon time.Duration, now time.Time) (ahead, all waitingWork) {
	b := s.backlogAt(now)
	ahead, all = b.before(slack, now)
	age := now.Sub(b.at)
	for _, other := range b.order {
		first, rest := b.tenants[other].before(slack, age)
		if other == t {
			ahead.add(first)
			all.add(rest)
			continue
		}
		ahead.addTimes(share(slack, other.runTime(first)), first)
		all.addTimes(share(horizon, other.runTime(rest)), rest)
	}
	return ahead, all
}

// share returns the part of work that takes a time which is done within another.
func share(within, takes time.Duration) float64 {
	if takes <= within || takes <= 0 {
		return 1
	}
	return max(float64(within)/float64(takes), 0)
}
