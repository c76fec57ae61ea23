package sched

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	glade "indigoglade"
	"indigoglade/seeds"
)

func TestSchedules(t *testing.T) {
	seeds.Check(t, 60, func(r *rapid.T) {
		w := simulate(Schedules().Draw(r, "schedule"))
		expectNoViolations(r, w.auditor.report)
	})
}

func TestFleetComesToRestAfterFaults(t *testing.T) {
	seeds.Check(t, 8, func(r *rapid.T) {
		w := simulate(Schedules().Draw(r, "schedule"))
		w.recoverFleet(200)
		expectNoViolations(r, w.auditor.report)
		for host, row := range w.auditor.hosts {
			if row.Pool != "" && row.Phase != glade.HostServing && row.Phase != glade.HostDraining {
				r.Errorf("%s is in phase %s after the faults ended", host, row.Phase)
			}
		}
	})
}

func expectNoViolations(r *rapid.T, report Report) {
	r.Helper()
	if report.OwnershipConflicts+report.BudgetViolations+report.InterruptedRequests+report.StaleEpochs > 0 {
		r.Errorf("%+v", report)
	}
}

func TestManyDoesNotDependOnTheOrder(t *testing.T) {
	first := RunMany(1, 20)
	qt.Check(t, RunMany(1, 20), qt.Equals, first)
	qt.Check(t, first.PlannedSteps > 0, qt.IsTrue)
	qt.Check(t, first.Failures > 0, qt.IsTrue)
}
