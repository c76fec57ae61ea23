package sched

import (
	"time"

	glade "indigoglade"
)

// Summary is what the admission of a batch depends on, without the batch's text and tasks.
type Summary struct {
	// ChainMs is the longest chain of declared run times of dependent steps, in
	// milliseconds.
	ChainMs float64 `json:"chain"`
	// Work is the declared work of all tasks that end, in millicores times milliseconds.
	Work float64 `json:"work"`
	// StartBytes is about how many bytes the starts of these tasks take.
	StartBytes float64 `json:"bytes"`
	// Tasks is the number of tasks of all occurrences.
	Tasks int `json:"tasks,omitempty"`
	// HasNoObjective means that the batch repeats or is long-running. Such batches are
	// never refused for lack of capacity.
	HasNoObjective bool `json:"always,omitempty"`
	// Tenant is the tenant that the batch belongs to.
	Tenant glade.Tenant `json:"tenant,omitempty"`
	// Memory and Accels are the declared work of all tasks that end in megabytes and
	// accelerators, times milliseconds, and Largest is the largest task or whole gang. All
	// three are set for batches of a tenant only.
	Memory  float64    `json:"mem,omitempty"`
	Accels  float64    `json:"acc,omitempty"`
	Largest glade.Need `json:"largest,omitzero"`
}

// Summarize returns the summary of a batch.
func Summarize(work glade.Batch) Summary {
	summary := Summary{
		HasNoObjective: work.Times > 0, Tenant: work.Tenant, Tasks: taskRuns(&work),
		ChainMs: longestChain(work.Steps, func(int) bool { return true }),
	}
	for i := range work.Steps {
		step := &work.Steps[i]
		if step.LongRunning {
			summary.HasNoObjective = true
		} else {
			summary.StartBytes += float64(step.Count) * startBytes(&work)
			summary.Work += float64(step.Count) * float64(step.Need.CPU) * float64(step.Estimate)
			if work.Tenant != "" {
				summary.Memory += float64(step.Count) * float64(step.Need.Memory) * float64(step.Estimate)
				summary.Accels += float64(step.Count) * float64(step.Need.Accels) * float64(step.Estimate)
			}
		}
	}
	if work.Tenant != "" {
		summary.Largest = largestUnit(&work)
	}
	return summary
}

// expectedPath returns the expected time of a batch's longest chain.
func (s *Scheduler) expectedPath(queue glade.Queue, batch Summary) time.Duration {
	return time.Duration(batch.ChainMs * s.estimates.factor(queue) * float64(time.Millisecond))
}

// expectedBatch is a batch that was offered and asked for, and has not arrived yet.
type expectedBatch struct {
	entry     backlogEntry // its slack is that at offeredAt
	offeredAt time.Time
}

// expectedTime is how long a batch that was asked for is waited for.
const expectedTime = 500 * time.Millisecond

// Offer decides on a batch by its summary, so that most batches of an overload need not be
// sent to the leader. It returns false if the batch has to be sent. It is then accepted
// if it arrives in time, and until then its work counts as accepted: otherwise every
// offer of the meantime is asked for as well, for the same room.
func (s *Scheduler) Offer(id glade.BatchID, queue glade.Queue, batch Summary, now time.Time) (Admission, bool) {
	if admission, ok := s.admitKnown(id, queue, batch.Tenant); ok {
		return admission, true
	}
	t := s.tenant(batch.Tenant)
	reason, wait := s.refusal(queue, batch, t, now)
	if reason == "" {
		s.expect(id, queue, batch, t, now)
		return Admission{}, false
	}
	if !s.refused[id] && !isLimitReason(reason) {
		s.recordArrival(queue, batch, t, now)
	}
	return s.refuse(id, queue, t, reason, wait), true
}

// expect counts a batch as accepted until it arrives, or until expectedTime has passed.
func (s *Scheduler) expect(id glade.BatchID, queue glade.Queue, batch Summary, t *tenant, now time.Time) {
	if _, ok := s.expected[id]; ok || batch.HasNoObjective {
		return
	}
	path := s.expectedPath(queue, batch)
	e := backlogEntry{
		tenant:  t,
		slack:   objectiveOf(s.rules[queue], path) - path,
		waiting: s.work(queue, batch),
	}
	s.expected[id] = expectedBatch{entry: e, offeredAt: now}
	s.addToBacklog(e, now)
}

// isExpected reports whether a batch that arrives now was asked for, and forgets it.
func (s *Scheduler) isExpected(id glade.BatchID, queue glade.Queue, now time.Time) bool {
	e, ok := s.expected[id]
	delete(s.expected, id)
	_, known := s.rules[queue] // it may have been removed meanwhile
	return ok && known && now.Sub(e.offeredAt) < expectedTime
}
