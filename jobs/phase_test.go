package jobs_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/jobs"
)

var start = time.Unix(1000, 0)

func apply(row glade.JobRow, events ...jobs.Event) glade.JobRow {
	for _, e := range events {
		row, _ = jobs.Apply(row, e, start)
	}
	return row
}

func placeAt(host glade.Host, rack glade.Rack) jobs.Event {
	return jobs.Event{Kind: jobs.EventPlace, Target: jobs.Target{Host: host, Rack: rack, Epoch: 1}}
}

func expectPhase(t *testing.T, row glade.JobRow, phase glade.JobPhase, reason string) {
	t.Helper()
	qt.Check(t, row.Phase, qt.Equals, phase)
	qt.Check(t, row.Reason, qt.Equals, reason)
}

func TestApply(t *testing.T) {
	accepted := glade.JobRow{Ticket: "c.1", Phase: glade.JobAccepted, Repeatable: true}
	once := accepted
	once.Repeatable = false
	failed := jobs.Event{Kind: jobs.EventFailed, Fence: 1, Reason: "worker"}
	cancel := jobs.Event{Kind: jobs.EventCancel}
	for _, c := range []struct {
		name   string
		row    glade.JobRow
		events []jobs.Event
		phase  glade.JobPhase
		reason string
	}{
		{"done", accepted, []jobs.Event{placeAt("a", "r"), {Kind: jobs.EventDone, Fence: 1}}, glade.JobDone, ""},
		{"stale run can't publish", accepted, []jobs.Event{placeAt("a", "r"), {Kind: jobs.EventLost, Fence: 1}, placeAt("b", "r"), {Kind: jobs.EventDone, Fence: 1}}, glade.JobPlaced, ""},
		{"cancelled while waiting", accepted, []jobs.Event{cancel, placeAt("a", "r")}, glade.JobCancelled, ""},
		{"cancellation waits for the end of the run", accepted, []jobs.Event{placeAt("a", "r"), cancel}, glade.JobPlaced, ""},
		{"cancelled after the run", accepted, []jobs.Event{placeAt("a", "r"), cancel, {Kind: jobs.EventStopped, Fence: 1}}, glade.JobCancelled, ""},
		{"result of a cancelled job is not published", accepted, []jobs.Event{placeAt("a", "r"), cancel, {Kind: jobs.EventDone, Fence: 1, Result: "x"}}, glade.JobCancelled, ""},
		{"cancelled job stays open when its run is lost", accepted, []jobs.Event{placeAt("a", "r"), cancel, {Kind: jobs.EventLost, Fence: 1}}, glade.JobPlaced, ""},
		{"failure runs again", accepted, []jobs.Event{placeAt("a", "r"), failed}, glade.JobAccepted, ""},
		{"failure of a job that is not repeatable", once, []jobs.Event{placeAt("a", "r"), failed}, glade.JobFailed, "worker"},
		{"lost run of a job that is not repeatable", once, []jobs.Event{placeAt("a", "r"), {Kind: jobs.EventLost, Fence: 1}}, glade.JobParked, jobs.ReasonLost},
		{"missing run is repeated, also of a job that is not repeatable", once, []jobs.Event{placeAt("a", "r"), {Kind: jobs.EventMissing, Fence: 1}}, glade.JobAccepted, ""},
		{"parked can be cancelled", accepted, []jobs.Event{{Kind: jobs.EventPark, Reason: jobs.ReasonSize}, cancel}, glade.JobCancelled, jobs.ReasonSize},
	} {
		t.Run(c.name, func(t *testing.T) { expectPhase(t, apply(c.row, c.events...), c.phase, c.reason) })
	}
}

func failIn(racks []glade.Rack, isSuspect func(glade.Host) bool) glade.JobRow {
	row := glade.JobRow{Ticket: "c.1", Phase: glade.JobAccepted, Repeatable: true}
	for i, rack := range racks {
		row = apply(row, placeAt(glade.Host("h"+rack), rack), jobs.Event{Kind: jobs.EventFailed, Fence: uint64(i + 1), IsSuspect: isSuspect})
	}
	return row
}

func TestFailuresInThreeRacksPark(t *testing.T) {
	expectPhase(t, failIn([]glade.Rack{"1", "2"}, nil), glade.JobAccepted, "")
	expectPhase(t, failIn([]glade.Rack{"1", "2", "2"}, nil), glade.JobAccepted, "")
	expectPhase(t, failIn([]glade.Rack{"1", "2", "3"}, nil), glade.JobParked, jobs.ReasonFailures)
	isSuspect := func(host glade.Host) bool { return host == "h2" }
	expectPhase(t, failIn([]glade.Rack{"1", "2", "3"}, isSuspect), glade.JobAccepted, "")
}
