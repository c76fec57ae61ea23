package sched

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// LoadBatch restores a batch from the rows that an earlier leader wrote; either row
// may be nil. It must be called once for each batch with a row, before any other
// method.
func (s *Scheduler) LoadBatch(id glade.BatchID, work *WorkRow, progress *ProgressRow, now time.Time) error {
	if work == nil {
		b := newBatch(id, "", glade.Batch{}, now)
		b.accepted = progress != nil && progress.Accepted
		if progress != nil {
			b.owner, b.path = progress.Owner, progress.Path
			b.cancelledBy = progress.CancelledBy // nobody in rows of versions without tenants: known to all
			b.state, b.writtenState, b.endedAt = progress.State, progress.State, progress.endedAt(now)
		}
		s.batches[id] = b
		return nil
	}
	b := newBatch(id, work.Queue, work.Work, fromUnixMillis(work.SubmittedAt, now))
	b.accepted, b.inherited, b.hasWorkRow = true, true, true
	b.path, b.rule = work.Path, work.Rule.decode(work.Queue)
	s.updateRule(b)
	s.setTenant(b)
	s.batches[id] = b
	s.hold(b)
	if progress != nil && progress.State.IsFinal() {
		b.started = progress.Started
		b.state, b.writtenState, b.endedAt = progress.State, progress.State, progress.endedAt(now)
		b.isStateComplete = progress.Accepted
		s.ended = append(s.ended, b)
		return nil
	}
	s.hasGangs = s.hasGangs || hasGang(work.Work)
	s.addLive(b)
	if progress == nil {
		s.startDue(b, now)
		return nil
	}
	b.started = progress.Started
	for _, row := range progress.Occurrences {
		if err := b.loadOccurrence(row); err != nil {
			return errors.Wrapf(err, "batch %s", id)
		}
		if len(row.Crashes) > 0 {
			s.suspects[b] = true
		}
	}
	s.startDue(b, now)
	return nil
}

// endedAt returns when the batch ended; now if that is not known.
func (p *ProgressRow) endedAt(now time.Time) time.Time {
	if p.EndedAt == 0 {
		return now
	}
	return fromUnixMillis(p.EndedAt, now)
}

// fromUnixMillis converts a stored wall-clock time to a time on the scheduler's
// clock. A time in the future becomes now.
func fromUnixMillis(at int64, now time.Time) time.Time {
	age := now.UnixMilli() - at
	return now.Add(-time.Duration(max(age, 0)) * time.Millisecond)
}

func (b *batch) loadOccurrence(row OccurrenceRow) error {
	if row.Occurrence == allOccurrences && len(row.Done) == 1 {
		b.loadDone(row.Done[0])
		return nil
	}
	if row.Occurrence < 0 || row.Occurrence >= len(b.occurrences) {
		return errors.Errorf("occurrence %d is out of range: the batch has %d", row.Occurrence, len(b.occurrences))
	}
	o := b.occurrences[row.Occurrence]
	o.loadDone(func(step, task int) bool {
		return row.All || step < len(row.Done) && hasBit(row.Done[step], task)
	})
	for key, numbers := range row.FailedRuns {
		if t := o.findTask(key); t != nil {
			t.failed = numbers
		}
	}
	for key, crashes := range row.Crashes {
		if t := o.findTask(key); t != nil {
			for _, c := range crashes {
				if !c.Unseen {
					t.crashes = append(t.crashes, crash{run: c.Run, late: c.Late, alone: c.Alone, started: c.Started})
				}
			}
		}
	}
	for key, checkpoint := range row.Checkpoints {
		if t := o.findTask(key); t != nil {
			t.checkpoint = checkpoint
		}
	}
	return nil
}

// loadDone restores which tasks of all occurrences are done.
func (b *batch) loadDone(bits []byte) {
	n := 0
	for _, o := range b.occurrences {
		o.loadDone(func(int, int) bool {
			n++
			return hasBit(bits, n-1)
		})
	}
}

// loadDone restores which tasks of an occurrence are done. isDone is asked once for each task, in order.
func (o *occurrence) loadDone(isDone func(step, task int) bool) {
	for si, st := range o.steps {
		for i := range st.tasks {
			if isDone(si, i) && !st.tasks[i].done {
				st.tasks[i].done = true
				st.left--
				st.pending--
				if st.left == 0 {
					o.left--
				}
			}
		}
	}
}

// hasBit reports whether a bit of a bitmap is set.
func hasBit(bits []byte, i int) bool { return i/8 < len(bits) && bits[i/8]&(1<<(i%8)) != 0 }

// findTask returns the task with the key "step.index", or nil.
func (o *occurrence) findTask(key string) *task {
	a, c, _ := strings.Cut(key, ".")
	si, err := strconv.Atoi(a)
	if err != nil || si < 0 || si >= len(o.steps) {
		return nil
	}
	i, err := strconv.Atoi(c)
	if err != nil || i < 0 || i >= len(o.steps[si].tasks) {
		return nil
	}
	return &o.steps[si].tasks[i]
}
