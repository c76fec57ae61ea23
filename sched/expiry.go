package sched

import (
	"time"

	glade "indigoglade"
)

// rowDrops queues the rows of ended batches that a later leader needs no more. Writes carry as
// many deletions as they have room for, so that rows go as fast as they come.
type rowDrops struct {
	// works holds the batches whose tasks are released: of these, only the state is needed.
	works []*batch
	// expired holds the batches whose state need not be available any longer.
	expired []*batch
}

func (d *rowDrops) len() int { return len(d.works) + len(d.expired) }

// Deletions are the rows that a write deletes.
type Deletions struct {
	Work     []glade.BatchID
	Progress []glade.BatchID

	works, expired []*batch
}

// Len returns the number of rows.
func (d Deletions) Len() int { return len(d.Work) + len(d.Progress) }

// taskRetention is how long the tasks of an ended batch are kept: an order that was
// delayed may still start one of them, which must then be stopped.
const taskRetention = 15 * time.Second

// releaseTasks frees the tasks of batches that ended long ago, and queues their work rows for
// deletion. Their state stays until Sweep drops them.
func (s *Scheduler) releaseTasks(now time.Time) {
	for len(s.ended) > 0 {
		b := s.ended[0]
		if s.batches[b.id] == b {
			if now.Sub(b.releasedFrom(s.leaderSince)) < taskRetention || !b.writtenState.IsFinal() || len(b.runs) > 0 {
				return
			}
			b.work, b.occurrences = glade.Batch{}, nil
			s.drop(b)
			if b.hasWorkRow && b.isStateComplete {
				s.drops.works = append(s.drops.works, b)
			}
		} // else it was withdrawn
		s.ended = s.ended[1:]
	}
}

// releasedFrom returns when the retention of the batch's tasks begins. The end of an inherited
// batch is a time of another host's clock.
func (b *batch) releasedFrom(leaderSince time.Time) time.Time {
	if b.inherited && leaderSince.After(b.endedAt) {
		return leaderSince
	}
	return b.endedAt
}

// Sweep queues the rows of batches for deletion whose retention time has passed.
func (s *Scheduler) Sweep(now time.Time) {
	for _, b := range s.batches {
		if b.writtenState.IsFinal() && len(b.runs) == 0 && now.Sub(b.endedAt) > s.config.Retention && !b.isExpired {
			b.isExpired = true
			s.drops.expired = append(s.drops.expired, b)
		}
	}
}

// IsEmpty reports whether no batch is known and no row waits to be written or deleted.
func (s *Scheduler) IsEmpty() bool {
	return len(s.batches) == 0 && s.drops.len() == 0 && s.writes.inFlight == nil && !s.HasWrites()
}

// HasDeletions reports whether rows wait to be deleted and no write is in flight.
func (s *Scheduler) HasDeletions() bool { return s.writes.inFlight == nil && s.drops.len() > 0 }

// takeDeletions removes rows from the queue, at most room of them. Batches whose rows are written at
// the same time, or wait to be written, stay in it.
func (s *Scheduler) takeDeletions(room int) Deletions {
	var d Deletions
	isWritten := func(b *batch) bool {
		_, inFlight := s.writes.inFlight[b]
		return inFlight || b.writeQueued
	}
	keep := s.drops.expired[:0]
	for _, b := range s.drops.expired {
		if d.Len()+2 > room || isWritten(b) {
			keep = append(keep, b)
			continue
		}
		d.expired = append(d.expired, b)
		d.Progress = append(d.Progress, b.id)
		if b.hasWorkRow {
			d.Work = append(d.Work, b.id)
		}
	}
	s.drops.expired = keep
	keep = s.drops.works[:0]
	for _, b := range s.drops.works {
		switch {
		case b.isExpired || !b.hasWorkRow: // both of its rows are deleted
		case d.Len() == room || isWritten(b):
			keep = append(keep, b)
		default:
			d.works = append(d.works, b)
			d.Work = append(d.Work, b.id)
		}
	}
	s.drops.works = keep
	return d
}

// finishDeletions records whether rows were deleted.
func (s *Scheduler) finishDeletions(d Deletions, ok bool) {
	if !ok {
		s.drops.works = append(s.drops.works, d.works...)
		s.drops.expired = append(s.drops.expired, d.expired...)
		return
	}
	for _, b := range d.works {
		b.hasWorkRow = false
	}
	for _, b := range d.expired {
		b.hasWorkRow, b.isExpired = false, false
		if !b.writeQueued && s.batches[b.id] == b {
			delete(s.batches, b.id)
			s.drop(b)
		}
	}
}
