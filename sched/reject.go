package sched

import (
	"cmp"
	"slices"
	"time"

	glade "indigoglade"
)

// rejects isolates the rows that the store rejects. A rejected write would be rejected again as it is,
// and with it all other writes of the service.
type rejects struct {
	// groups are parts of rejected writes, to be written one after the other, the last first.
	groups [][]*batch
	// aside holds until when batches are not written, because their rows alone were rejected.
	aside map[*batch]time.Time
	// registryAlone means that the row of the runners is written by itself, registryHeld until
	// when it is not.
	registryAlone bool
	registryHeld  time.Time
	loggedAt      time.Time
}

const (
	// rejectedPause is how long a row that was rejected is not written: it may be smaller by then.
	rejectedPause = 5 * time.Second
	// rejectedLogPeriod is the least time between two log lines about rejected rows.
	rejectedLogPeriod = time.Second
	// maxUnstorable bounds the batches that are remembered because their work can't be stored.
	maxUnstorable = 1024
)

// next takes the next group, and returns nil if there is none.
func (r *rejects) next() []*batch {
	if len(r.groups) == 0 {
		return nil
	}
	last := len(r.groups) - 1
	group := r.groups[last]
	r.groups = r.groups[:last]
	return group
}

// requeue puts a group, or what is left of it, back to where it was.
func (r *rejects) requeue(group []*batch) {
	if len(group) > 0 {
		r.groups = append(r.groups, group)
	}
}

// remove forgets a batch that is withdrawn.
func (r *rejects) remove(b *batch) {
	delete(r.aside, b)
	for i := range r.groups {
		r.groups[i] = slices.DeleteFunc(r.groups[i], func(other *batch) bool { return other == b })
	}
	r.groups = slices.DeleteFunc(r.groups, func(group []*batch) bool { return len(group) == 0 })
}

// holdsRegistry reports whether the row of the runners is not written now.
func (r *rejects) holdsRegistry(now time.Time) bool { return now.Before(r.registryHeld) }

// RejectWrite records that the store has rejected a write, none of which is stored. Its batches are
// written in smaller groups, until the one whose row is rejected is found. That one is set aside for
// rejectedPause, and a submitted batch is withdrawn.
func (s *Scheduler) RejectWrite(w Write, now time.Time) {
	var group []*batch
	for b := range s.writes.inFlight {
		group = append(group, b)
	}
	slices.SortFunc(group, func(a, b *batch) int { return cmp.Compare(a.id, b.id) })
	s.writes.inFlight = nil
	s.finishDeletions(w.Deletions, false)
	r := &s.writes.rejects
	switch {
	case w.Registered != nil && len(group) == 0:
		r.registryHeld = now.Add(rejectedPause)
		s.logRejected(now, "runners", len(w.Registered.Runners), "bytes", len(w.Rows[0].Value))
	case w.Registered != nil:
		r.registryAlone = true
	case len(group) == 1 && w.Deletions.Len() == 0:
		bytes := 0
		for _, row := range w.Rows {
			bytes = max(bytes, len(row.Value))
		}
		s.setAside(group[0], bytes, now)
		return
	}
	// A batch that has changed since then is in the queue again.
	s.writes.list = slices.DeleteFunc(s.writes.list, func(b *batch) bool { return slices.Contains(group, b) })
	for _, b := range group {
		b.writeQueued = true
	}
	half := (len(group) + 1) / 2
	r.requeue(group[half:])
	r.requeue(slices.Clip(group[:half]))
}

// setOversizeAside sets the batches aside that a write has left out.
func (s *Scheduler) setOversizeAside(w *Write) {
	for _, row := range w.oversize {
		s.setAside(row.batch, row.bytes, s.steppedAt)
	}
}

// setAside keeps the rows of a batch from being written for some time.
func (s *Scheduler) setAside(b *batch, bytes int, now time.Time) {
	s.logRejected(now, "batch", b.id, "queue", b.queue, "accepted", !b.workUnwritten, "bytes", bytes)
	s.writes.list = slices.DeleteFunc(s.writes.list, func(other *batch) bool { return other == b })
	b.writeQueued = true
	if b.workUnwritten {
		if len(s.unstorable) >= maxUnstorable {
			clear(s.unstorable)
		}
		s.unstorable[b.id] = true
		s.Withdraw(b.id)
		return
	}
	s.writes.rejects.aside[b] = now.Add(rejectedPause)
}

// logRejected names a row that the store rejects.
func (s *Scheduler) logRejected(now time.Time, pairs ...any) {
	r := &s.writes.rejects
	if now.Sub(r.loggedAt) < rejectedLogPeriod {
		return
	}
	r.loggedAt = now
	s.addEvent("rejected", append(pairs, "aside", len(r.aside))...)
}

// reviewRejects queues batches again that were set aside.
func (s *Scheduler) reviewRejects(now time.Time) {
	for b, until := range s.writes.rejects.aside {
		if now.Before(until) {
			continue
		}
		delete(s.writes.rejects.aside, b)
		if s.batches[b.id] == b {
			s.writes.list = append(s.writes.list, b)
		}
	}
}

// IsUnstorable reports whether a submitted batch was withdrawn because the store rejects its row.
func (s *Scheduler) IsUnstorable(id glade.BatchID) bool { return s.unstorable[id] }
