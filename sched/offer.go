package sched

import (
	"time"

	glade "indigoglade"
)

// closedQueue is a queue whose batches are refused unseen until a time.
type closedQueue struct {
	until   time.Time
	refusal Admission
}

// maxClosedTime bounds how long a queue stays closed after a refusal: the estimate behind
// it becomes less reliable with time.
const maxClosedTime = 500 * time.Millisecond

// closeQueue closes a queue of which a batch was refused for lack of capacity, until there
// could be some.
func (s *Scheduler) closeQueue(queue glade.Queue, refusal Admission, wait time.Duration, now time.Time) {
	if wait > 0 {
		s.closed[queue] = closedQueue{until: now.Add(min(wait, maxClosedTime)), refusal: refusal}
	}
}

// Offer decides on a batch by its id and queue alone, so that most batches of an overload
// need not be sent to the leader. It returns false if the decision needs the batch.
func (s *Scheduler) Offer(id glade.BatchID, queue glade.Queue, now time.Time) (Admission, bool) {
	if b, ok := s.batches[id]; ok {
		return Admission{Accepted: true, Gen: b.gen}, true
	}
	closed, ok := s.closed[queue]
	if !ok || !now.Before(closed.until) {
		return Admission{}, false
	}
	if !s.refused[id] {
		s.rememberRefused(id)
		s.recordUnseen(queue, now)
	}
	s.stats.Refused++
	s.addEvent("refuse", "batch", id, "queue", queue, "why", closed.refusal.Reason, "unseen", true, "after", closed.refusal.After.Milliseconds())
	return closed.refusal, true
}

// recordUnseen adds the average work of a queue's batches to its offered load, for a batch
// that was refused unseen.
func (s *Scheduler) recordUnseen(queue glade.Queue, now time.Time) {
	if f, ok := s.loadAverages[queue]; ok {
		f.add(f.meanWork, now)
	}
}
