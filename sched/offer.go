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
	// HasNoObjective means that the batch repeats or is long-running. Such batches are
	// never refused for lack of capacity.
	HasNoObjective bool `json:"always,omitempty"`
}

// Summarize returns the summary of a batch.
func Summarize(work glade.Batch) Summary {
	summary := Summary{
		HasNoObjective: work.Times > 0,
		ChainMs:        longestChain(work.Steps, func(int) bool { return true }),
	}
	for i := range work.Steps {
		step := &work.Steps[i]
		if step.LongRunning {
			summary.HasNoObjective = true
		} else {
			summary.StartBytes += float64(step.Count) * startBytes(&work)
			summary.Work += float64(step.Count) * float64(step.Need.CPU) * float64(step.Estimate)
		}
	}
	return summary
}

// expectedPath returns the expected time of a batch's longest chain.
func (s *Scheduler) expectedPath(queue glade.Queue, batch Summary) time.Duration {
	return time.Duration(batch.ChainMs * s.estimates.factor(queue) * float64(time.Millisecond))
}

// Offer decides on a batch by its summary, so that most batches of an overload need not be
// sent to the leader. It returns false if the batch may be accepted and has to be sent.
func (s *Scheduler) Offer(id glade.BatchID, queue glade.Queue, batch Summary, now time.Time) (Admission, bool) {
	if b, ok := s.batches[id]; ok {
		return Admission{Accepted: true, Gen: b.gen}, true
	}
	reason, wait := s.refusal(queue, batch, now)
	if reason == "" {
		return Admission{}, false
	}
	if !s.refused[id] {
		s.recordArrival(queue, batch, now)
	}
	return s.refuse(id, queue, reason, wait), true
}
