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
	// EventRun records that the worker accepted the task.
	EventRun
	// EventDone publishes a result.
	EventDone
	// EventFail records that the run failed.
	EventFail
	// EventStopped records that the run was stopped, with or without a checkpoint.
	EventStopped
	// EventRefused records that the worker refused the task, which did not run.
	EventRefused
	// EventGone records that the run ended without a result: the worker answers
	// but no longer reports the task, for example after a restart of the host.
	EventGone
	// EventLost records that the worker was unreachable for lostTime, so the run
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
	// Spot is the host of an EventPlace.
	Spot Spot
	// Reason explains a failure, a stop or a parked job.
	Reason string
	// Saved is the checkpoint of a stopped run.
	Saved []byte
	// Result is the key of a published result.
	Result string
	// Cancel is set when the cancellation of the job was requested.
	Cancel bool
	// Blamed reports whether a host is suspect. Failures on suspect hosts do not
	// count against the job. Without it, all failures count.
	Blamed func(host glade.Host) bool
}

// Spot is the host that a job is placed on, with the epoch and incarnation that it
// had then.
type Spot struct {
	Host        glade.Host
	Rack        glade.Rack
	Epoch       uint64
	Incarnation uint64
}

// Reasons of parked jobs.
const (
	ReasonSize  = "size"  // no host of the pool is large enough
	ReasonFails = "fails" // failed in maxRacks racks on hosts that are not suspect
	ReasonLost  = "lost"  // the run was lost, and the job is not repeatable
	ReasonKind  = "kind"  // the contract has no pool for the job's kind
)

// maxRacks is the number of different racks after failures in which a job is
// parked.
const maxRacks = 3

// maxTries is the maximum number of failures that a row holds, the newest ones.
const maxTries = 12

// Apply returns the row after an event. It returns false when the event does not
// apply to the row in its phase, or when it belongs to an earlier run.
func Apply(row glade.JobRow, e Event, now time.Time) (glade.JobRow, bool) {
	switch e.Kind {
	case EventPlace:
		return placed(row, e.Spot, now)
	case EventCancel:
		return cancel(row, now)
	case EventPark:
		return park(row, e.Reason, now)
	}
	if !isRun(row, e.Fence) {
		return row, false
	}
	row.Cancel = row.Cancel || e.Cancel
	switch e.Kind {
	case EventRun:
		return started(row, now)
	case EventDone:
		return publish(row, e.Result, now), true
	case EventFail:
		return fail(row, e, now), true
	case EventStopped:
		return stopped(row, e.Saved, now), true
	case EventRefused, EventGone:
		return again(row, now), true
	case EventLost:
		return lost(row, now)
	}
	return row, false
}

// isRun reports whether the run with this fencing token is the newest run of the
// job and has not ended.
func isRun(row glade.JobRow, fence uint64) bool {
	return (row.Phase == glade.JobPlaced || row.Phase == glade.JobRunning) && row.Fence == fence
}

func to(row glade.JobRow, phase glade.JobPhase, now time.Time) glade.JobRow {
	row.Phase = phase
	row.Since = now.UnixMilli()
	return row
}

func placed(row glade.JobRow, spot Spot, now time.Time) (glade.JobRow, bool) {
	if row.Phase != glade.JobAccepted {
		return row, false
	}
	row.Host = spot.Host
	row.Rack = spot.Rack
	row.Epoch = spot.Epoch
	row.Incarnation = spot.Incarnation
	row.Fence++
	return to(row, glade.JobPlaced, now), true
}

func started(row glade.JobRow, now time.Time) (glade.JobRow, bool) {
	if row.Phase == glade.JobRunning {
		return row, false
	}
	return to(row, glade.JobRunning, now), true
}

func publish(row glade.JobRow, result string, now time.Time) glade.JobRow {
	if row.Cancel {
		return to(row, glade.JobCancelled, now)
	}
	row.Result = result
	return to(row, glade.JobDone, now)
}

// fail fails a job that is not repeatable. A repeatable job runs again, until it
// has failed in maxRacks racks on hosts that are not suspect; then it is parked.
func fail(row glade.JobRow, e Event, now time.Time) glade.JobRow {
	row.Tries = append(append([]glade.Try(nil), row.Tries...), glade.Try{Host: row.Host, Rack: row.Rack, Reason: e.Reason})
	if len(row.Tries) > maxTries {
		row.Tries = row.Tries[1:]
	}
	if row.Cancel {
		return to(row, glade.JobCancelled, now)
	}
	if !row.Repeatable {
		row.Reason = e.Reason
		return to(row, glade.JobFailed, now)
	}
	if countRacks(row.Tries, e.Blamed) >= maxRacks {
		row.Reason = ReasonFails
		return to(row, glade.JobParked, now)
	}
	return to(row, glade.JobAccepted, now)
}

// countRacks counts the racks in which the job failed on hosts that are not
// suspect.
func countRacks(tries []glade.Try, blamed func(glade.Host) bool) int {
	racks := make(map[glade.Rack]bool)
	for _, try := range tries {
		if blamed == nil || !blamed(try.Host) {
			racks[try.Rack] = true
		}
	}
	return len(racks)
}

func stopped(row glade.JobRow, saved []byte, now time.Time) glade.JobRow {
	if len(saved) > 0 {
		row.Saved = saved
	}
	return again(row, now)
}

// again returns a job to the accepted phase, in which it waits for a host. The
// result of its last run can't be published, because the job has then left the
// phases of a run, and the next run has a higher fencing token.
func again(row glade.JobRow, now time.Time) glade.JobRow {
	if row.Cancel {
		return to(row, glade.JobCancelled, now)
	}
	return to(row, glade.JobAccepted, now)
}

// lost runs a repeatable job again. A job that is not repeatable is parked,
// because the lost run may still be going on. A job whose cancellation was
// requested stays as it is until its run is known to have ended.
func lost(row glade.JobRow, now time.Time) (glade.JobRow, bool) {
	if row.Cancel {
		return row, false
	}
	if row.Repeatable {
		return to(row, glade.JobAccepted, now), true
	}
	row.Reason = ReasonLost
	return to(row, glade.JobParked, now), true
}

// cancel cancels a job that is accepted or parked. A placed or running job is only
// marked, and is cancelled when its run is known to have ended.
func cancel(row glade.JobRow, now time.Time) (glade.JobRow, bool) {
	switch {
	case row.Phase == glade.JobAccepted, row.Phase == glade.JobParked:
		return to(row, glade.JobCancelled, now), true
	case row.Phase.IsOpen() && !row.Cancel:
		row.Cancel = true
		return row, true
	}
	return row, false
}

func park(row glade.JobRow, reason string, now time.Time) (glade.JobRow, bool) {
	if row.Phase != glade.JobAccepted {
		return row, false
	}
	row.Reason = reason
	return to(row, glade.JobParked, now), true
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
