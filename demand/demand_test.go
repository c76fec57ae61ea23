package demand_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/demand"
	"indigoglade/memory"
	"indigoglade/table"
)

func TestRefusedRequestsCountAsDemand(t *testing.T) {
	start := time.Unix(1000, 0)
	m := demand.NewMeter(start)
	for range 10 {
		m.Record("quotes", glade.Answered, time.Second)
		m.Record("quotes", glade.Refused, time.Millisecond)
	}
	qt.Check(t, m.Take(start.Add(10 * time.Second))["quotes"], qt.Equals, 2.0)
	qt.Check(t, m.Take(start.Add(20 * time.Second))["quotes"], qt.Equals, 0.0)
}

// TestAllRefused guards against a pool that shrinks because it is overloaded: when every
// request of a period is refused, none has a duration.
func TestAllRefused(t *testing.T) {
	start := time.Unix(1000, 0)
	m := demand.NewMeter(start)
	m.Record("quotes", glade.Answered, time.Second)
	m.Take(start.Add(10 * time.Second))
	for range 10 {
		m.Record("quotes", glade.Refused, time.Millisecond)
	}
	qt.Check(t, m.Take(start.Add(20 * time.Second))["quotes"], qt.Equals, 1.0)
}

func TestRowsOfEntryHostsAddUp(t *testing.T) {
	ctx := context.Background()
	fake := clock.NewFake(time.Unix(1000, 0))
	store := memory.NewTable()
	for _, node := range []glade.Node{"e1", "e2"} {
		m := demand.NewMeter(fake.Now())
		m.Record("quotes", glade.Answered, 30*time.Second)
		fake.Advance(demand.Period)
		result, err := demand.NewPublisher(demand.Config{Node: node, Table: store, Meter: m, Clock: fake}).Write(ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, result, qt.Equals, glade.Committed)
	}
	expectBusy(t, store, fake.Now(), 2, true)
	expectBusy(t, store, fake.Now().Add(time.Hour), 0, false)
}

func expectBusy(t *testing.T, store glade.Table, now time.Time, want float64, known bool) {
	t.Helper()
	records, err := table.LoadAll[glade.DemandRow](context.Background(), store, glade.PrefixDemand)
	qt.Assert(t, err, qt.IsNil)
	var rows []glade.DemandRow
	for _, record := range records {
		rows = append(rows, record.Data())
	}
	busy, ok := demand.Sum(rows, now).Busy("quotes")
	qt.Check(t, busy, qt.Equals, want)
	qt.Check(t, ok, qt.Equals, known)
}
