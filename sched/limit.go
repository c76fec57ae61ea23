package sched

import (
	"math"
	"time"

	glade "indigoglade"
)

// Reasons of refusals for which a tenant's limit is the cause.
const (
	// refusedLimit means that the tenant's limit can't take the batch in time.
	refusedLimit = "limit"
	// refusedLimitSize means that a task or gang is larger than the limit: the batch can
	// never run.
	refusedLimitSize = "limitsize"
)

// isLimitReason reports whether a refusal has nothing to do with the pool: its work must not
// count as load.
func isLimitReason(reason string) bool { return reason == refusedLimit || reason == refusedLimitSize }

// isBounded reports whether a tenant can't use the whole pool.
func (t *tenant) isBounded() bool { return t.isLimited() || t.isBeyond() }

// limitRefusal returns why the limit of a batch's tenant can't take the batch, and how long
// until the tenant's own accepted work leaves room for it. The pool plays no part in it.
func (s *Scheduler) limitRefusal(queue glade.Queue, batch Summary, t *tenant, now time.Time) (string, time.Duration) {
	if !t.isLimited() {
		return "", 0
	}
	if !t.isPossible(batch.Largest) {
		return refusedLimitSize, maxRetryAfter
	}
	if batch.HasNoObjective {
		return "", 0
	}
	path := s.expectedPath(queue, batch)
	objective := objectiveOf(s.rules[queue], path)
	// A service with accepted work holds at least what its largest task needs.
	rate := most(t.reachable(), batch.Largest)
	own := max(path, t.timeAt(s.work(queue, batch), rate))
	var ahead, all waitingWork
	b := s.backlogAt(now)
	if sums, ok := b.tenants[t]; ok {
		ahead, all = sums.before(objective-path, now.Sub(b.at))
	}
	if t.timeAt(ahead, rate)+own <= objective {
		return "", 0
	}
	latest := time.Duration(admitFactor * float64(objective))
	if expected := t.timeAt(all, rate) + own; expected > latest {
		return refusedLimit, expected - latest
	}
	return "", 0
}

// timeAt returns how long work takes that a part of the limit is used for, in the resource
// that binds.
func (t *tenant) timeAt(w waitingWork, part glade.Need) time.Duration {
	worst := 0.0
	for i, work := range [...]float64{w.work, w.memory, w.accels} {
		if of := resources[i]; of(t.limit) > 0 && work > 0 {
			worst = max(worst, work/float64(max(of(part), 1)))
		}
	}
	return time.Duration(min(worst, maxRunTime) * float64(time.Millisecond))
}

// maxRunTime bounds the time of work that hardly gets any capacity, in milliseconds.
const maxRunTime = float64(time.Hour / time.Millisecond)

// runTime returns how long work of the tenant takes if nothing but its own bounds delays it.
func (t *tenant) runTime(w waitingWork) time.Duration {
	takes := t.timeAt(w, t.reachable())
	if t.isBeyond() {
		takes = max(takes, time.Duration(min(w.work/max(t.part, 1), maxRunTime)*float64(time.Millisecond)))
	}
	return takes
}

// withinLimit returns the part of a batch's work that its tenant's limit leaves room for: the
// average of what counts as load stays below what the tenant can run.
func (t *tenant) withinLimit(work float64, batch waitingWork, now time.Time) float64 {
	takes := time.Duration(0)
	if t.isLimited() {
		takes = t.timeAt(batch, t.reachable())
	}
	if takes == 0 {
		return work
	}
	f := &t.counted
	f.window = minLoadWindow
	f.decay(now)
	window := float64(f.window.Milliseconds())
	room := (work/(float64(takes)/float64(time.Millisecond)) - f.load) * window
	work = math.Max(math.Min(work, room), 0)
	f.load += work / window
	return work
}
