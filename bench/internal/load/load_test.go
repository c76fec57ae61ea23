package load

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	glade "indigoglade"
)

func TestShapeKeepsItsMean(t *testing.T) {
	// Over 20 rounds of turns of five services, the rate of a service stays near its mean, and at
	// least five sixths of its requests fall into its own turn.
	const rounds, services = 20, 5
	s := arrivalPattern{meanRate: 100, turn: 3 * time.Second, index: 2, count: services}
	random := newRandom(1, 2)
	length := rounds * services * s.turn
	total, inTurn := 0, 0
	for at := s.nextArrival(0, random); at < length; at = s.nextArrival(at, random) {
		total++
		if s.rateFactor(at) == peakFactor {
			inTurn++
		}
	}
	mean := float64(total) / length.Seconds()
	quicktest.Assert(t, mean > 95 && mean < 113, quicktest.IsTrue, quicktest.Commentf("mean %g", mean))
	quicktest.Assert(t, inTurn*6 > total*5, quicktest.IsTrue, quicktest.Commentf("%d of %d", inTurn, total))
}

func expectOutcome(t *testing.T, want glade.Outcome, attempts ...attempt) {
	t.Helper()
	quicktest.Assert(t, record{attempts: attempts}.outcome(), quicktest.Equals, want)
}

func TestOutcomeOfTries(t *testing.T) {
	answered := attempt{outcome: glade.Answered, intact: true}
	refused := attempt{outcome: glade.Refused, reason: glade.ReasonQueueFull}
	elsewhere := attempt{outcome: glade.Refused, reason: glade.ReasonDuplicate}
	unknown := attempt{outcome: glade.Unknown}
	failed := attempt{outcome: glade.Failed}
	t.Run("answer settles", func(t *testing.T) { expectOutcome(t, glade.Answered, unknown, refused, answered) })
	t.Run("unknown stays", func(t *testing.T) { expectOutcome(t, glade.Unknown, unknown, refused) })
	t.Run("unknown before failed", func(t *testing.T) { expectOutcome(t, glade.Unknown, failed, unknown) })
	t.Run("failed before refused", func(t *testing.T) { expectOutcome(t, glade.Failed, refused, failed) })
	t.Run("all refused", func(t *testing.T) { expectOutcome(t, glade.Refused, refused, refused) })
	t.Run("run elsewhere", func(t *testing.T) { expectOutcome(t, glade.Unknown, elsewhere) })
	t.Run("answered elsewhere", func(t *testing.T) { expectOutcome(t, glade.Answered, elsewhere, answered) })
}

func expectTotals(t *testing.T, r record, count Executions, twice, lost int) {
	t.Helper()
	var totals Totals
	totals.add(r, count)
	quicktest.Assert(t, totals.RanTwice, quicktest.Equals, twice)
	quicktest.Assert(t, totals.Contradicted, quicktest.Equals, lost)
}

func TestTotalsAgainstLedger(t *testing.T) {
	intact := record{attempts: []attempt{{outcome: glade.Answered, intact: true}}}
	foreign := record{attempts: []attempt{{outcome: glade.Answered}}}
	refused := record{attempts: []attempt{{outcome: glade.Refused}}}
	repeatable := intact
	repeatable.target.repeatable = true
	t.Run("answered", func(t *testing.T) { expectTotals(t, intact, Executions{Started: 1, Completed: 1}, 0, 0) })
	t.Run("answered, did not run", func(t *testing.T) { expectTotals(t, intact, Executions{}, 0, 1) })
	t.Run("answer of another", func(t *testing.T) { expectTotals(t, foreign, Executions{Started: 1, Completed: 1}, 0, 1) })
	t.Run("ran twice", func(t *testing.T) { expectTotals(t, intact, Executions{Started: 2, Completed: 2}, 1, 0) })
	t.Run("repeatable ran twice", func(t *testing.T) { expectTotals(t, repeatable, Executions{Started: 2, Completed: 2}, 0, 0) })
	t.Run("refused", func(t *testing.T) { expectTotals(t, refused, Executions{}, 0, 0) })
	t.Run("refused, ran", func(t *testing.T) { expectTotals(t, refused, Executions{Started: 1}, 0, 1) })
}

func TestTrackerCountsHostsDown(t *testing.T) {
	specs := []glade.ContractSpec{{Pools: []glade.PoolSpec{{Name: "quotes"}}, Budget: glade.BudgetSpec{Down: 1}}}
	rows := []glade.HostRow{
		{Host: "h1", Pool: "quotes", Service: "quotes"},
		{Host: "h2", Pool: "quotes", Service: "quotes"},
	}
	up := func(host glade.Host) hostState { return hostState{Host: host, Service: "quotes", Open: true} }
	tracker := newDownTracker()
	expectMost := func(t *testing.T, most int, broken bool) {
		t.Helper()
		budget := tracker.report()[0]
		quicktest.Assert(t, budget.PeakDown, quicktest.Equals, most)
		quicktest.Assert(t, budget.IsExceeded(), quicktest.Equals, broken)
	}
	tracker.update(specs, rows, nil)
	t.Run("never up", func(t *testing.T) { expectMost(t, 0, false) })
	tracker.update(specs, rows, []hostState{up("h1"), up("h2")})
	tracker.update(specs, rows, []hostState{up("h2")})
	t.Run("one down", func(t *testing.T) { expectMost(t, 1, false) })
	tracker.update(specs, rows, nil)
	t.Run("two down", func(t *testing.T) { expectMost(t, 2, true) })
}
