// Package jobs runs customers' jobs on their hosts, from acceptance to a result, a
// failure or a cancellation.
//
// The state of a job is its row in the table service. An event is a pure function
// from one row to the next. The leader of the job's shard writes each change in a
// transaction that is conditional on the versions of the job's row, of the leader
// row and, for a placement, of the host's row. A writer with stale data therefore
// gets a conflict.
package jobs

import (
	"strconv"
	"time"

	glade "indigoglade"
)

// EventKind is the kind of an Event.
type EventKind int

// Kinds of events.
const (
	// EventPlace assigns an accepted job to a host, with a new fencing token.
	EventPlace EventKind = iota + 1
	// EventStarted records that the worker accepted the task.
	EventStarted
	// EventDone publishes a result.
	EventDone
	// EventFailed records that the run failed.
	EventFailed
	// EventStopped records that the run was stopped, with or without a checkpoint.
	EventStopped
	// EventRefused records that the worker refused the task, which did not run.
	EventRefused
	// EventMissing records that the run ended without a result: the worker answers
	// but no longer reports the task, for example after a restart of the host. As
	// the run can't still be going on, the job may run again.
	EventMissing
	// EventLost records that the worker was unreachable for lostTimeout, so the run
	// may still be going on.
	EventLost
	// EventCancel requests the cancellation of the job.
	EventCancel
	// EventPark parks an accepted job that can't be placed.
	EventPark
)

// Event is an input to the state machine of a job. See Apply.
type Event struct {
	Kind EventKind
	// Fence is the fencing token of the run that the event belongs to. It is not
	// used by EventPlace, EventCancel and EventPark.
	Fence uint64
	// Target is the host of an EventPlace.
	Target Target
	// Reason explains a failure, or why a job is parked.
	Reason string
	// Checkpoint is the checkpoint of a stopped run.
	Checkpoint []byte
	// Result is the key of a published result.
	Result string
	// Cancel is set when the cancellation of the job was requested.
	Cancel bool
	// IsSuspect reports whether a host is suspect. Failures on suspect hosts do not
	// count against the job. When it is nil, all failures count.
	IsSuspect func(host glade.Host) bool
}

// Target is the host that a job is placed on, with the epoch and incarnation
// that it had then.
type Target struct {
	Host        glade.Host
	Rack        glade.Rack
	Epoch       uint64
	Incarnation uint64
}

// Reasons of parked jobs.
const (
	ReasonSize     = "size"  // no host of the pool is large enough
	ReasonFailures = "fails" // failed in maxFailedRacks racks on hosts that are not suspect
	ReasonLost     = "lost"  // the run was lost, and the job is not repeatable
	ReasonKind     = "kind"  // the contract has no pool for the job's kind
)

// maxFailedRacks is the number of racks in which a job may fail before it is parked.
// Failures on suspect hosts don't count.
const maxFailedRacks = 3

// maxFailures is the maximum number of failures that a row holds, the newest ones.
const maxFailures = 12

// Apply returns the row after an event. It returns false when the event does not
// apply to the row in its phase, or when it belongs to an earlier run.
func Apply(row glade.JobRow, e Event, now time.Time) (glade.JobRow, bool) {
	switch e.Kind {
	case EventPlace:
		return applyPlace(row, e.Target, now)
	case EventCancel:
		return applyCancel(row, now)
	case EventPark:
		return applyPark(row, e.Reason, now)
	}
	if !isCurrentRun(row, e.Fence) {
		return row, false
	}
	row.Cancel = row.Cancel || e.Cancel
	switch e.Kind {
	case EventStarted:
		return applyRun(row, now)
	case EventDone:
		return applyDone(row, e.Result, now), true
	case EventFailed:
		return applyFail(row, e, now), true
	case EventStopped:
		return applyStopped(row, e.Checkpoint, now), true
	case EventRefused, EventMissing:
		return requeue(row, now), true
	case EventLost:
		return applyLost(row, now)
	}
	return row, false
}

// isCurrentRun reports whether the run with this fencing token is the newest
// run of the job and has not ended.
func isCurrentRun(row glade.JobRow, fence uint64) bool {
	return (row.Phase == glade.JobPlaced || row.Phase == glade.JobRunning) && row.Fence == fence
}

func withPhase(row glade.JobRow, phase glade.JobPhase, now time.Time) glade.JobRow {
	row.Phase = phase
	row.Since = now.UnixMilli()
	return row
}

func applyPlace(row glade.JobRow, target Target, now time.Time) (glade.JobRow, bool) {
	if row.Phase != glade.JobAccepted {
		return row, false
	}
	row.Host = target.Host
	row.Rack = target.Rack
	row.Epoch = target.Epoch
	row.Incarnation = target.Incarnation
	row.Fence++
	return withPhase(row, glade.JobPlaced, now), true
}

func applyRun(row glade.JobRow, now time.Time) (glade.JobRow, bool) {
	if row.Phase == glade.JobRunning {
		return row, false
	}
	return withPhase(row, glade.JobRunning, now), true
}

func applyDone(row glade.JobRow, result string, now time.Time) glade.JobRow {
	if row.Cancel {
		return withPhase(row, glade.JobCancelled, now)
	}
	row.Result = result
	return withPhase(row, glade.JobDone, now)
}

// applyFail fails a job that is not repeatable. A repeatable job runs again,
// until it has failed in maxFailedRacks racks on hosts that are not suspect;
// then it is parked.
func applyFail(row glade.JobRow, e Event, now time.Time) glade.JobRow {
	row.FailedRuns = append(append([]glade.FailedRun(nil), row.FailedRuns...), glade.FailedRun{Host: row.Host, Rack: row.Rack, Reason: e.Reason})
	if len(row.FailedRuns) > maxFailures {
		row.FailedRuns = row.FailedRuns[1:]
	}
	if row.Cancel {
		return withPhase(row, glade.JobCancelled, now)
	}
	if !row.Repeatable {
		row.Reason = e.Reason
		return withPhase(row, glade.JobFailed, now)
	}
	if countFailedRacks(row.FailedRuns, e.IsSuspect) >= maxFailedRacks {
		row.Reason = ReasonFailures
		return withPhase(row, glade.JobParked, now)
	}
	return withPhase(row, glade.JobAccepted, now)
}

// countFailedRacks counts the racks in which the job failed on hosts that are not
// suspect.
func countFailedRacks(failures []glade.FailedRun, isSuspect func(glade.Host) bool) int {
	racks := make(map[glade.Rack]bool)
	for _, failure := range failures {
		if isSuspect == nil || !isSuspect(failure.Host) {
			racks[failure.Rack] = true
		}
	}
	return len(racks)
}

func applyStopped(row glade.JobRow, checkpoint []byte, now time.Time) glade.JobRow {
	if len(checkpoint) > 0 {
		row.Checkpoint = checkpoint
	}
	return requeue(row, now)
}

// requeue returns a job to the accepted phase, in which it waits for a host. The
// result of its last run can't be published, because the job has then left the
// phases of a run, and the next run has a higher fencing token.
func requeue(row glade.JobRow, now time.Time) glade.JobRow {
	if row.Cancel {
		return withPhase(row, glade.JobCancelled, now)
	}
	return withPhase(row, glade.JobAccepted, now)
}

// applyLost requeues a repeatable job whose run was lost. A job that is not
// repeatable is parked, because the lost run may still be going on. A job whose
// cancellation was requested stays as it is until its run is known to have
// ended.
func applyLost(row glade.JobRow, now time.Time) (glade.JobRow, bool) {
	if row.Cancel {
		return row, false
	}
	if row.Repeatable {
		return withPhase(row, glade.JobAccepted, now), true
	}
	row.Reason = ReasonLost
	return withPhase(row, glade.JobParked, now), true
}

// applyCancel cancels a job that is accepted or parked. A placed or running job
// is only marked, and is cancelled when its run is known to have ended.
func applyCancel(row glade.JobRow, now time.Time) (glade.JobRow, bool) {
	switch {
	case row.Phase == glade.JobAccepted, row.Phase == glade.JobParked:
		return withPhase(row, glade.JobCancelled, now), true
	case row.Phase.IsOpen() && !row.Cancel:
		row.Cancel = true
		return row, true
	}
	return row, false
}

func applyPark(row glade.JobRow, reason string, now time.Time) (glade.JobRow, bool) {
	if row.Phase != glade.JobAccepted {
		return row, false
	}
	row.Reason = reason
	return withPhase(row, glade.JobParked, now), true
}

// TaskID returns the id that a run of a job has on its worker: the ticket, "#" and
// the fencing token.
func TaskID(ticket glade.Ticket, fence uint64) string {
	return string(ticket) + "#" + strconv.FormatUint(fence, 10)
}

// ResultKey returns the key of a run's result in the object store.
func ResultKey(ticket glade.Ticket, fence uint64) string {
	return glade.PrefixResult + string(ticket) + "/" + strconv.FormatUint(fence, 10)
}
