package sched

import (
	"fmt"
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/effect"
)

// applyEnds applies the end reports that are newer than the last one processed.
func (s *Scheduler) applyEnds(r *runner, list []glade.EndedRun, now time.Time) {
	for _, end := range list {
		if end.Seq <= r.processed {
			continue
		}
		r.processed = end.Seq
		b := s.applyEnd(r, end, now)
		entry := unwrittenEnd{number: end.Seq, batch: b}
		if b != nil {
			entry.gen = b.gen
		}
		r.unwrittenEnds = append(r.unwrittenEnds, entry)
	}
}

// applyEnd applies one end report. It returns the batch whose row must be written
// before the report is acknowledged, or nil.
func (s *Scheduler) applyEnd(r *runner, end glade.EndedRun, now time.Time) *batch {
	st, t := s.findTask(end.Task)
	n := s.findRun(r, end.Task, end.Run)
	if t != nil {
		s.dropCrash(st, t, end.Run) // the runner has survived the run
	}
	if t != nil && n == nil && end.Reason == glade.EndDone && !t.done && end.Run > s.runNumber(0) {
		s.recordUnread(r, t, end)
	}
	lasted := healthyRun
	if n != nil {
		lasted = now.Sub(n.startedAt)
		n.start.Record(effect.Applied, now)
		s.recordOutcome(n, end.Reason, now)
		if end.Reason == glade.EndStopped || end.Reason == glade.EndLeaseExpired {
			s.stats.Stopped++
		}
		s.removeRun(n, now)
	}
	if t == nil {
		return nil
	}
	b := st.occurrence.batch
	if end.Checkpoint != "" {
		t.checkpoint, st.checkpoint = end.Checkpoint, end.Checkpoint
	}
	if t.done || b.state.IsFinal() {
		return b
	}
	s.markStarted(b, now)
	switch end.Reason {
	case glade.EndDone:
		s.recordDone(st, end.Task.Index, now)
	case glade.EndFailed:
		s.recordFailure(r, st, end, lasted, now)
	default:
		s.addEvent("ended", "batch", b.id, "step", st.index, "task", end.Task.Index, "run", end.Run,
			"how", string(end.Reason), "runner", r.info.ID)
		if st.rule.SavesCheckpoints {
			s.markChanged(b)
		}
	}
	return b
}

// recordUnread records that a run of this leader had ended as done when it was given up. Starts of its successors that
// may still be carried out are the danger.
func (s *Scheduler) recordUnread(r *runner, t *task, end glade.EndedRun) {
	s.stats.Unread++
	successors := make([]string, 0, len(t.runs))
	for _, n := range t.runs {
		successors = append(successors, fmt.Sprintf("%d on %s, phase %d, start %d", n.number, n.runner.info.ID, n.phase, n.start.State()))
	}
	s.addEvent("unread", "runner", r.info.ID, "batch", end.Task.Batch, "step", end.Task.Step, "task", end.Task.Index, "run", end.Run,
		"lease", r.leaseEnd-r.clock, "successors", successors)
}

// recordDone marks a task as done. In a gang, one done task completes all.
func (s *Scheduler) recordDone(st *step, index int, now time.Time) {
	if !st.rule.Gang {
		s.taskDone(st, index, now)
		return
	}
	for i := range st.tasks {
		s.taskDone(st, i, now)
	}
}

// recordFailure records that a run has failed after it has lasted for a time.
func (s *Scheduler) recordFailure(r *runner, st *step, end glade.EndedRun, lasted time.Duration, now time.Time) {
	b, t := st.occurrence.batch, &st.tasks[end.Task.Index]
	if slices.Contains(t.failed, end.Run) {
		return
	}
	s.stats.Failed++
	if len(t.failedOn) < maxFailedOn {
		t.failedOn = append(t.failedOn, r.info.ID)
	}
	s.addEvent("failed", "batch", b.id, "step", st.index, "task", end.Task.Index, "run", end.Run, "fails", len(t.failed)+1, "runner", r.info.ID)
	if st.rule.LongRunning {
		t.delayRestart(end.Task.Index, lasted, now)
		return // long-running tasks have no limit of attempts
	}
	t.failed = append(t.failed, end.Run)
	s.markChanged(b)
	if b.rule.MaxFailures > 0 && st.failures(end.Task.Index) >= b.rule.MaxFailures {
		s.finish(b, glade.BatchFailed, now)
	}
}

// maxFailedOn bounds the runners that are remembered for one task because it
// failed there.
const maxFailedOn = 8
