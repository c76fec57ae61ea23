package sched

import (
	"slices"
	"time"

	glade "indigoglade"
)

// crash is a runner's crash while a task ran on it, or a trial that may end in one. The
// crash of a runner says little of the tasks on it: it may have another cause, and a task
// that crashes its runners takes those beside it along.
type crash struct {
	run int64 // number of the run
	// pending means that the run is a trial that has not ended. Its entry is stored
	// before it starts, so that the next leader counts it if this one dies with it.
	pending bool
	// late means that the run was not young any more.
	late bool
	// alone means that no other batch and no other cause explains the crash.
	alone bool
	// started means that the task has certainly run there: a start without an answer may
	// have found its runner dead.
	started bool
}

// Limits of crashes.
const (
	// crashWindow is the age up to which a run is held responsible for the crash of its
	// runner. A run is young until its runner is known to have been alive at a later time.
	crashWindow = 100 * time.Millisecond
	// promptCrash is the age up to which a crash is unlikely to be a coincidence.
	promptCrash = 50 * time.Millisecond
	// lateSuspicion is the number of late crashes that make a task a suspect.
	lateSuspicion = 3
	// minCrashes is the number of crashes, the last of them alone, after which a task
	// is given up. With certainCrashes another cause for the last one is no longer
	// looked for.
	minCrashes     = 2
	certainCrashes = 3
	// maxCrashes is the number of crashes after which a task is given up in any case, those
	// included that no row tells of.
	maxCrashes = 5
)

// recordCrash records that a runner has crashed with all that it ran. If certain is not
// set, it may only have been cut off. Batches with a task that crashes its runners are
// given up.
func (s *Scheduler) recordCrash(r *runner, how string, certain bool, now time.Time) {
	if r.wasLeaving() {
		return
	}
	youngBatches := make(map[*batch]bool)
	for n := range r.runs {
		if n.isYoung(now) {
			youngBatches[n.step.occurrence.batch] = true
		}
	}
	explained := s.hasOtherCause(r)
	for n := range r.runs {
		if n.crashed {
			continue // recorded when the run was given up on an earlier incarnation
		}
		n.crashed = true
		c := crash{run: n.number, late: !n.isYoung(now)}
		// A runner that was not alive when the run started has crashed for another cause.
		c.alone = certain && !c.late && len(youngBatches) == 1 && r.aliveAt.Sub(n.startedAt) >= -crashWindow
		c.started = n.started || c.alone
		s.addCrash(n, c, explained || r.aliveAt.Sub(n.startedAt) > promptCrash, now)
		s.addEvent("crashed", "runner", r.info.ID, "batch", n.step.occurrence.batch.id, "step", n.step.index, "task", n.index,
			"run", n.number, "age", r.aliveAt.Sub(n.startedAt).Milliseconds(), "crashes", n.task().crashCount(), "alone", c.alone,
			"explained", explained, "unseen", s.unseenCrashes(n.step), "how", how)
	}
	s.holdLost(r)
}

// addCrash adds a crash to the task of a run. doubtful means that the crash may well have
// another cause.
func (s *Scheduler) addCrash(n *run, c crash, doubtful bool, now time.Time) {
	t, b := n.task(), n.step.occurrence.batch
	if t.done || b.state.IsFinal() {
		return
	}
	if c.late && n.step.rule.LongRunning {
		return // in a long life many runners end for causes of their own
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(other crash) bool { return other.run == c.run })
	c.alone = c.alone && (!doubtful || t.crashCount()+1 >= certainCrashes)
	t.crashes = append(t.crashes, c)
	s.stats.Crashed++
	s.suspects[b], n.step.survived = true, false
	s.markChanged(b)
	s.losses.unwritten[b] = b.gen
	s.giveUpCrashLoop(n.step, n.index, now)
}

// giveUpCrashLoop gives up a batch if one of its tasks has crashed its runners.
func (s *Scheduler) giveUpCrashLoop(st *step, index int, now time.Time) bool {
	t, b := &st.tasks[index], st.occurrence.batch
	if !t.isCrashLoop(s.unseenCrashes(st)) {
		return false
	}
	s.stats.CrashLoops++
	s.addEvent("crashloop", "batch", b.id, "queue", b.queue, "step", st.index, "task", index, "crashes", t.crashCount(),
		"unseen", s.unseenCrashes(st), "image", st.rule.Image)
	s.finish(b, glade.BatchFailed, now)
	return true
}

// wasLeaving reports whether a runner was about to end for a planned cause when it went
// silent.
func (r *runner) wasLeaving() bool {
	return r.info.Draining || (!r.evacuatingSince.IsZero() && (r.silentAt.IsZero() || r.evacuatingSince.Before(r.silentAt)))
}

// crashCount returns the number of runners that have crashed under a task.
func (t *task) crashCount() int {
	count := 0
	for _, c := range t.crashes {
		if !c.pending {
			count++
		}
	}
	return count
}

// isCrashLoop reports whether a task has crashed enough runners, the last one alone, or so
// many, with those that were not seen, that it is given up in any case.
func (t *task) isCrashLoop(unseen int) bool {
	count, started, alone := 0, 0, false
	for _, c := range t.crashes {
		if c.pending {
			continue
		}
		count++
		alone = c.alone
		if c.started {
			started++
		}
	}
	return count+unseen >= maxCrashes || (started >= minCrashes && alone)
}

// isSuspect reports whether a task may have crashed its runners, so that it must not start
// beside others.
func (t *task) isSuspect() bool {
	if t.done {
		return false
	}
	late := 0
	for _, c := range t.crashes {
		if !c.late {
			return true
		}
		late++
	}
	return late >= lateSuspicion
}

// crashesLate reports whether a suspect task has only crashed its runners when it was not
// young any more.
func (t *task) crashesLate() bool {
	late := 0
	for _, c := range t.crashes {
		if !c.pending && !c.late {
			return false
		}
		if c.late {
			late++
		}
	}
	return late >= lateSuspicion
}

// dropCrash removes the entry of a run that did not crash its runner.
func (s *Scheduler) dropCrash(st *step, t *task, number int64) {
	i := slices.IndexFunc(t.crashes, func(c crash) bool { return c.run == number })
	if i >= 0 {
		t.crashes = slices.Delete(t.crashes, i, i+1)
		s.markChanged(st.occurrence.batch)
	}
}

// dropPending removes the entry of a trial that ended otherwise than in a crash.
func (s *Scheduler) dropPending(n *run) {
	if slices.Contains(n.task().crashes, crash{run: n.number, pending: true}) {
		s.dropCrash(n.step, n.task(), n.number)
	}
}

// clearSuspicion forgets the crashes under a task: a run of it has survived its trial.
func (s *Scheduler) clearSuspicion(n *run) {
	delete(s.trials, n)
	n.task().crashes, n.step.survived = nil, true
	s.markChanged(n.step.occurrence.batch)
	s.needsPlacement = true
	s.addEvent("cleared", "runner", n.runner.info.ID, "batch", n.step.occurrence.batch.id, "step", n.step.index, "task", n.index, "run", n.number)
}
