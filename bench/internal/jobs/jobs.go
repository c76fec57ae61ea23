// Package jobs defines the benchmarks of long-running jobs: invariants under random fault
// schedules, the start of urgent jobs, the cost of failing workers and wrong declared sizes, and
// the duration of mass cancellations.
package jobs

import "indigoglade/bench/internal/gauge"

// Measures returns the measures of this package.
func Measures() []gauge.Measure {
	cancelWave := &waveRun{}
	sizes := &sizesRun{}
	schedule := &scheduleRun{}
	return []gauge.Measure{
		{Name: "jobs.lost", Unit: "jobs", Run: schedule.measureOf(func() int { return schedule.lost })},
		{Name: "jobs.twice", Unit: "jobs", Run: schedule.measureOf(func() int { return schedule.doneTwice })},
		{Name: "jobs.late", Unit: "runs", Run: schedule.measureOf(func() int { return schedule.startedAfterCancel })},
		{Name: "jobs.stale", Unit: "jobs", Run: schedule.measureOf(func() int { return schedule.staleEpoch })},
		{Name: "jobs.urgent", Unit: "s", Run: urgentStartTime},
		{Name: "jobs.urgentfull", Unit: "s", Run: urgentStartTimeOnFullHosts},
		{Name: "jobs.round", Unit: "ratio", Run: placementGrowth},
		{Name: "jobs.wave", Unit: "s", Run: cancelWave.seconds},
		{Name: "jobs.waverows", Unit: "rows/s", Run: cancelWave.maxRowRate},
		{Name: "jobs.failers", Unit: "percent", Run: throughputWithBadWorkers},
		{Name: "jobs.sizes", Unit: "percent", Run: sizes.percentOfExact},
		{Name: "jobs.firstfit", Unit: "ratio", Run: sizes.ratioToFirstFit},
		{Name: "jobs.random", Unit: "ratio", Run: sizes.ratioToRandom},
		{Name: "jobs.overmemory", Unit: "lags", Run: sizes.overMemoryLags},
	}
}
