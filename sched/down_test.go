package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// crashUnder crashes the runner of the only task of a batch as soon as it runs, and waits until the task runs elsewhere.
// It returns false if the task does not run any more.
func (r *harness) crashUnder(batch glade.BatchID, listedAsDown bool) bool {
	for end := r.now.Add(5 * time.Second); r.running(batch) == 0; r.advance(20 * time.Millisecond) {
		if r.now.After(end) {
			return false
		}
	}
	id := r.runnerOf(batch)
	r.runners[id].unresponsive, r.runners[id].running = true, nil
	for end := r.now.Add(6 * time.Second); r.now.Before(end) && r.running(batch) == 0; r.advance(20 * time.Millisecond) {
		if listedAsDown {
			r.sched.RunnersDown([]glade.RunnerID{id}, r.now)
		}
	}
	return true
}

// TestCrashesOnHostsListedAsDown guards against a task that is started again and again although it crashes its runners: no
// crash is certain while the hosts get no other runners.
func TestCrashesOnHostsListedAsDown(t *testing.T) {
	for _, c := range []struct {
		name         string
		listedAsDown bool
		crashes      int
	}{
		{"a task that crashes its runners is given up", true, 2},
		{"one whose runners may only be cut off is tried more often", false, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(qt.New(t), 8, twoCores)
			r.advance(time.Second)
			r.submit("a", oneTask(60_000))
			crashes := 0
			for r.crashUnder("a", c.listedAsDown) {
				crashes++
			}
			r.c.Assert(crashes, qt.Equals, c.crashes)
			r.expectState("a", glade.BatchFailed)
		})
	}
}
