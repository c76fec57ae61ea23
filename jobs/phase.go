// Package jobs takes jobs from acceptance to a result or an honest end.
//
// The row of a job is its state machine. Every event is a pure function from
// one row to the next, and every change is one transaction that is conditional
// on the row that the event was applied to, on the lead of the job's shard, and
// for a placement on the row of the host. Whoever is late only meets a
// conflict.
package jobs

import (
	"strconv"
	"time"

	glade "indigoglade"
)

// EventKind is what happened to a job.
type EventKind int

// Kinds of events.
const (
	// EventPlace gives an accepted job a host and a new fence.
	EventPlace EventKind = iota + 1
	// EventRun records that the worker took the task.
	EventRun
	// EventDone publishes a result.
	EventDone
	// EventFail records that the run failed.
	EventFail
	// EventStopped records that the run was stopped, with a checkpoint or none.
	EventStopped
	// EventRefused records that the worker refused the task: it did not run.
	EventRefused
	// EventGone records that the run ended without a report, by proof: its host
	// runs a newer incarnation.
	EventGone
	// EventLost records that the host was not heard of for long.
	EventLost
	// EventCancel asks for the end of the job.
	EventCancel
	// EventPark sets an accepted job aside.
	EventPark
)

// Event is one event in the life of a job.
type Event struct {
	Kind EventKind
	// Fence is the run that the event is about. Place, Cancel and Park have
	// none.
	Fence uint64
	// Spot is where a job is placed.
	Spot Spot
	// Reason explains a failure, a stop or a parked job.
	Reason string
	// Saved is the checkpoint of a stopped run.
	Saved []byte
	// Result is the key of a published result.
	Result string
	// Cancel tells that the end of the job was asked for.
	Cancel bool
	// Blamed tells of a host that failed a job whether the host is at fault,
	// so that its failures are not held against the job.
	Blamed func(host glade.Host) bool
}

// Spot is a host at an epoch.
type Spot struct {
	Host        glade.Host
	Rack        glade.Rack
	Epoch       uint64
	Incarnation uint64
}

// Reasons of jobs that ended or were set aside.
const (
	ReasonSize  = "size"  // no host of the pool is large enough
	ReasonFails = "fails" // failed on several hosts in different racks
	ReasonLost  = "lost"  // its host was not heard of, and it can't run twice
	ReasonKind  = "kind"  // the contract has no pool for this kind any more
)

// maxRacks is the number of different racks on whose hosts a job may fail.
const maxRacks = 3

// maxTries bounds the failures that a row remembers.
const maxTries = 12

// Apply returns the row after an event. It returns false when the event does
// not apply to the row as it stands.
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

// isRun tells whether the run with this fence is the job's newest and open.
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

// fail ends a job that must not run twice. Any other runs again elsewhere,
// until it has failed in several racks on hosts that are not to blame.
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

// countRacks counts the racks of hosts that failed the job. Hosts that are to
// blame for it do not count.
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

// again makes a job wait for a host once more. Its last run can't publish,
// because the next one has a higher fence.
func again(row glade.JobRow, now time.Time) glade.JobRow {
	if row.Cancel {
		return to(row, glade.JobCancelled, now)
	}
	return to(row, glade.JobAccepted, now)
}

// lost runs a repeatable job again. Another one is set aside: its run may still
// go on, and nobody can tell.
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

// cancel ends a job that is not placed. For a placed one it leaves a mark: the
// job is cancelled when its run is known to have ended.
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

// TaskID names the run of a job on a worker.
func TaskID(ticket glade.Ticket, fence uint64) string {
	return string(ticket) + "#" + strconv.FormatUint(fence, 10)
}

// ResultKey names the result of a run in the object store.
func ResultKey(ticket glade.Ticket, fence uint64) string {
	return glade.PrefixResult + string(ticket) + "/" + strconv.FormatUint(fence, 10)
}
