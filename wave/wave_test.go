package wave_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/wave"
)

var now = time.Unix(1_000_000, 0)

func spec(state string) glade.ContractSpec {
	return glade.ContractSpec{
		Pools:  []glade.PoolSpec{{Hosts: 6, MinHosts: 2, MaxHosts: 10}},
		Budget: glade.BudgetSpec{Down: 4, Minutes: 600, Window: glade.Span(24 * time.Hour), Domain: "host"},
		Wave:   glade.WaveSpec{Name: "w", State: state, DrainTime: glade.Span(time.Minute)},
	}
}

// account returns six hosts in two zones, two in zone a and four in zone b.
func account() glade.AccountRow {
	return glade.AccountRow{Members: map[glade.Host]glade.Member{
		"a1": {Zone: "a", Rack: "1"}, "a2": {Zone: "a", Rack: "1"},
		"b1": {Zone: "b", Rack: "2"}, "b2": {Zone: "b", Rack: "3"}, "b3": {Zone: "b", Rack: "2"}, "b4": {Zone: "b", Rack: "3"},
	}}
}

// expectStep checks the next host of the wave, or the reason why there is none.
func expectStep(t *testing.T, s glade.ContractSpec, a glade.AccountRow, host glade.Host, wait budget.WaitReason) {
	t.Helper()
	step := wave.Next(s, s.Pools[0], a, now)
	got, ok := step.Host()
	qt.Check(t, ok, qt.Equals, wait == budget.WaitNone)
	qt.Check(t, got, qt.Equals, host)
	qt.Check(t, step.Wait(), qt.Equals, wait)
}

func set(a glade.AccountRow, host glade.Host, cause glade.DownCause, done string) {
	m := a.Members[host]
	m.Cause, m.Wave, m.Since = cause, done, now.UnixMilli()
	a.Members[host] = m
}

func TestWaveGoesByRackAndSpreadsByZone(t *testing.T) {
	a := account()
	expectStep(t, spec("run"), a, "b1", budget.WaitNone)
	set(a, "b1", glade.CausePlan, "w")
	expectStep(t, spec("run"), a, "b3", budget.WaitNone)
	set(a, "b1", glade.CauseNone, "w")
	set(a, "b3", glade.CauseNone, "w")
	expectStep(t, spec("run"), a, "a1", budget.WaitNone)
}

func TestWaveWaits(t *testing.T) {
	expectStep(t, spec("pause"), account(), "", budget.WaitPaused)
	expectStep(t, spec("cancel"), account(), "", budget.WaitCanceled)
	a := account()
	for host := range a.Members {
		set(a, host, glade.CauseNone, "w")
	}
	expectStep(t, spec("run"), a, "", budget.WaitDone)
	set(a, "a1", glade.CauseFail, "")
	expectStep(t, spec("run"), a, "", budget.WaitNoneServing)
}
