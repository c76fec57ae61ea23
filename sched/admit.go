package sched

import (
	"math"
	"slices"
	"time"

	glade "indigoglade"
)

// Admission is the decision on a submitted batch.
type Admission struct {
	// Accepted batches may be confirmed to the caller once the change Gen of their
	// rows is written.
	Accepted bool
	Gen      int64
	// Reason is why the batch was refused.
	Reason string
	// After is how long the caller should wait before a retry; 0 if it was accepted.
	After time.Duration
}

// Limits of admission.
const (
	// admitFactor is the ratio of expected completion time to objective above which
	// a batch is refused. It exceeds 1 because estimates are imprecise and late
	// batches still earn.
	admitFactor = 2.5
	// linkSlackShare is the share of a batch's slack that may pass until all accepted
	// tasks are sent. The rest is for the batch's own tasks and for their answers.
	linkSlackShare = 0.7
	// maxRetryAfter and minRetryAfter bound the retry time of refused callers.
	maxRetryAfter = 10 * time.Second
	minRetryAfter = time.Second
	// maxLiveTasks bounds the tasks of all batches of a service that have not ended. Each takes
	// some 250 bytes, a host may lead five services, and a weak one has 184 MB.
	maxLiveTasks = 100_000
)

// refusedSize means that the service has as many tasks, or works as large, as the memory of any host holds that may
// have to lead it.
const refusedSize = "size"

// Submit accepts or refuses a batch. A batch that is already known is accepted
// again by its tenant, so that callers may retry.
func (s *Scheduler) Submit(id glade.BatchID, queue glade.Queue, work glade.Batch, now time.Time) Admission {
	if admission, ok := s.admitKnown(id, queue, work.Tenant); ok {
		return admission
	}
	summary := Summarize(work)
	t := s.tenant(work.Tenant)
	expected := s.isExpected(id, queue, now)
	reason, wait := s.workRefusal(queue, &work, summary, t, expected, now)
	if !s.refused[id] && !isLimitReason(reason) {
		s.recordArrival(queue, summary, t, now)
	}
	if reason != "" {
		return s.refuse(id, queue, t, reason, wait)
	}
	b := newBatch(id, queue, work, now)
	s.updateRule(b)
	s.setTenant(b)
	if !expected {
		for _, e := range s.appendWaiting(nil, b, now) {
			s.addToBacklog(e, now)
		}
	}
	s.hasGangs = s.hasGangs || hasGang(work)
	b.workUnwritten = true
	s.takeID(b)
	s.hold(b)
	s.addLive(b)
	s.markChanged(b)
	return Admission{Accepted: true, Gen: b.gen}
}

// refuse records a refusal. wait is how long it takes until the batch could be accepted.
func (s *Scheduler) refuse(id glade.BatchID, queue glade.Queue, t *tenant, reason string, wait time.Duration) Admission {
	s.rememberRefused(id)
	s.stats.Refused++
	after := retryAfter(wait)
	pairs := []any{"batch", id, "queue", queue, "why", reason, "wait", wait.Milliseconds(), "after", after.Milliseconds()}
	if t != nil {
		pairs = append(pairs, "tenant", t.name)
		if isLimitReason(reason) {
			t.stats.RefusedLimit++
			pairs = append(pairs, t.numbers()...)
		} else {
			t.stats.RefusedLoad++
			pairs = append(pairs, "excess", t.excess, "part", int(t.part))
		}
	}
	s.addEvent("refuse", pairs...)
	return Admission{Reason: reason, After: after}
}

// retryAfter returns when the caller of a refused batch may retry, that could be accepted after
// a wait.
func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// RecordRefused records a batch that is refused because it can't be written now.
// Its work counts as offered load, so that hosts are there when the caller retries.
func (s *Scheduler) RecordRefused(id glade.BatchID, queue glade.Queue, work glade.Batch, now time.Time) {
	if s.refused[id] {
		return
	}
	summary, t := Summarize(work), s.tenant(work.Tenant)
	if reason, _ := s.limitRefusal(queue, summary, t, now); reason == "" {
		s.recordArrival(queue, summary, t, now)
	}
	s.rememberRefused(id)
	s.stats.Refused++
}

// maxRefused bounds the refused batches that are remembered.
const maxRefused = 4096

// rememberRefused keeps a retry of a refused batch from being counted as new
// load.
func (s *Scheduler) rememberRefused(id glade.BatchID) {
	if len(s.refused) >= maxRefused {
		clear(s.refused)
	}
	s.refused[id] = true
}

// workRefusal is refusal for a batch whose work is known. An expected batch is refused for the size of its work only.
func (s *Scheduler) workRefusal(queue glade.Queue, work *glade.Batch, summary Summary, t *tenant, expected bool, now time.Time) (string, time.Duration) {
	if !expected {
		if reason, wait := s.refusal(queue, summary, t, now); reason != "" {
			return reason, wait
		}
	}
	if !s.hasRoom(work) {
		return refusedSize, maxRetryAfter
	}
	return "", 0
}

// refusal returns why a batch must be refused, and how long until it could be
// accepted. The reason is empty if the batch is to be accepted.
func (s *Scheduler) refusal(queue glade.Queue, batch Summary, t *tenant, now time.Time) (string, time.Duration) {
	rule, ok := s.rules[queue]
	if !ok {
		return "queue", 0
	}
	if s.liveTasks+batch.Tasks > maxLiveTasks {
		return refusedSize, maxRetryAfter
	}
	if reason, wait := s.limitRefusal(queue, batch, t, now); reason != "" {
		return reason, wait
	}
	if batch.HasNoObjective {
		return "", 0
	}
	pool := s.pool()
	if pool <= 0 {
		return "", 0
	}
	path := s.expectedPath(queue, batch)
	objective := objectiveOf(rule, path)
	latest := time.Duration(admitFactor * float64(objective))
	s.updateShares(now)
	if wait := s.shareRefusal(t, path, objective, now); wait > 0 {
		return "load", wait
	}
	ahead, all := s.waitingBefore(t, objective-path, latest-path, now)
	if wait, limit := s.pace.drainTime(all.startBytes), time.Duration(linkSlackShare*float64(objective-path)); wait > limit {
		// No host can be moved to help, and all that is accepted is started.
		return "link", wait - limit
	}
	if s.drainTime(ahead, float64(pool), now) <= objective-path {
		return "", 0
	}
	if expected := s.drainTime(all, float64(pool), now) + path; expected > latest {
		return "load", expected - latest
	}
	return "", 0
}

// Times of lending between pools.
const (
	// lendDelay is how long a lent host takes to become usable: the move, and its
	// entry into the list of runners.
	lendDelay = 2 * time.Second
	// lendableTTL is the age up to which the lendable capacity is relied on.
	lendableTTL = 2 * time.Second
)

// drainTime returns how long a backlog takes: with the pool's own capacity for
// the first lendDelay, then also with what other pools can lend, and as long at least
// as its starts take.
func (s *Scheduler) drainTime(backlog waitingWork, pool float64, now time.Time) time.Duration {
	return max(s.workTime(backlog.work, pool, float64(s.lendable), now), s.pace.drainTime(backlog.startBytes))
}

// workTime returns how long work takes at a rate, and after lendDelay also with what can be
// lent.
func (s *Scheduler) workTime(work, rate, lendable float64, now time.Time) time.Duration {
	own := time.Duration(min(work/rate, maxRunTime)) * time.Millisecond
	if own > lendDelay && now.Sub(s.lendableAt) <= lendableTTL {
		rest := work - rate*float64(lendDelay.Milliseconds())
		own = lendDelay + time.Duration(rest/(rate+lendable))*time.Millisecond
	}
	return own
}

// Lendable records how much capacity other pools can lend now, in millicores.
func (s *Scheduler) Lendable(capacity int, now time.Time) { s.lendable, s.lendableAt = capacity, now }

// loadAverage is an exponential moving average of a queue's offered load: the
// capacity that its arriving work needs.
type loadAverage struct {
	load float64 // in millicores, as of at
	// trailing is a moving average of load, so that load minus trailing tells how
	// fast the load rises.
	trailing float64
	at       time.Time
	// window is the time constant of both averages.
	window time.Duration
}

// Windows of a load average.
const (
	// minLoadWindow is short compared with load changes, which last some seconds,
	// and long compared with the gap between two short batches.
	minLoadWindow = 450 * time.Millisecond
	// loadWindowShare of the time that a batch can wait is the window if that is
	// longer: a few large batches arrive with gaps that the waiting evens out.
	loadWindowShare = 0.5
	// loadWindowBatches is the number of batches over which a queue's window is
	// averaged.
	loadWindowBatches = 8
)

// decay advances both averages to now.
func (f *loadAverage) decay(now time.Time) {
	x := float64(now.Sub(f.at)) / float64(f.window)
	f.trailing = (f.trailing + f.load*x) * math.Exp(-x)
	f.load *= math.Exp(-x)
	f.at = now
}

// recordArrival adds the work of a submitted batch, accepted or not, to the
// offered load.
func (s *Scheduler) recordArrival(queue glade.Queue, batch Summary, t *tenant, now time.Time) {
	work := batch.Work * s.estimates.factor(queue)
	s.pace.recordArrival(work, batch.StartBytes)
	work = t.withinLimit(work, s.work(queue, batch), now)
	s.recordTenantLoad(t, work, batch.StartBytes, now)
	path := s.expectedPath(queue, batch)
	slack := objectiveOf(s.rules[queue], path) - path
	window := max(minLoadWindow, time.Duration(loadWindowShare*float64(slack)))
	f, ok := s.loadAverages[queue]
	if !ok {
		f = &loadAverage{at: now, window: window}
		s.loadAverages[queue] = f
	}
	f.decay(now)
	f.window += (window - f.window) / loadWindowBatches
	f.load += work / float64(f.window.Milliseconds())
}

// offered returns the offered load of all queues in millicores, and its rise per
// second.
func (s *Scheduler) offered(now time.Time) (load, rise int) {
	for _, f := range s.loadAverages {
		f.decay(now)
		load += int(f.load)
		rise += int((f.load - f.trailing) / f.window.Seconds())
	}
	return load, rise
}

// pool returns the capacity for tasks that end, in millicores: that of all listed
// runners which are not draining and have been heard of, without what long-running tasks take.
func (s *Scheduler) pool() int {
	sum := 0
	for _, r := range s.ordered {
		if !r.listed || r.info.Draining || !s.isHeard(r) {
			continue
		}
		sum += max(r.info.Capacity.CPU-r.longRunningCPU, 0) // it may have shrunk below what runs there
	}
	return sum
}

// Cancel is CancelBy for callers without a tenant.
func (s *Scheduler) Cancel(id glade.BatchID, now time.Time) (known bool, gen int64) {
	return s.CancelBy("", id, now)
}

// CancelBy is CancelAt for callers whose queue has no path.
func (s *Scheduler) CancelBy(tenant glade.Tenant, id glade.BatchID, now time.Time) (known bool, gen int64) {
	return s.CancelAt("", tenant, id, now)
}

// CancelAt ends a batch, also one that has not arrived yet, which then never runs for the tenant.
// It returns false if the batch is unknown to the tenant. The caller may be answered once the
// change gen is written. path is that of the caller's queue.
func (s *Scheduler) CancelAt(path string, tenant glade.Tenant, id glade.BatchID, now time.Time) (known bool, gen int64) {
	b, ok := s.batches[id]
	switch {
	case !ok:
		b = newBatch(id, "", glade.Batch{}, now)
		b.state, b.endedAt, b.cancelledBy, b.path = glade.BatchCancelled, now, []glade.Tenant{tenant}, path
		s.batches[id] = b
		s.markChanged(b)
		return false, b.gen
	case len(b.cancelledBy) > 0:
		if !slices.Contains(b.cancelledBy, tenant) {
			b.cancelledBy = append(b.cancelledBy, tenant)
			s.markChanged(b)
		}
		return false, b.gen
	case !b.isKnownTo(tenant):
		return false, 0
	}
	if !b.state.IsFinal() {
		s.finish(b, glade.BatchCancelled, now)
	}
	return b.accepted || b.workUnwritten, b.gen
}
