// Package jobs measures long work: what must always hold under random
// schedules, how fast urgent work starts, what bad workers and wrong sizes
// cost, and how long a wave of cancellations takes.
package jobs

import "indigoglade/bench/internal/gauge"

// Measures returns the measures of this package.
func Measures() []gauge.Measure {
	cancels := &waveRun{}
	sizes := &sizesRun{}
	schedule := &scheduleRun{}
	return []gauge.Measure{
		{Name: "jobs.lost", Unit: "jobs", Run: schedule.get(func() int { return schedule.lost })},
		{Name: "jobs.twice", Unit: "jobs", Run: schedule.get(func() int { return schedule.twice })},
		{Name: "jobs.late", Unit: "runs", Run: schedule.get(func() int { return schedule.late })},
		{Name: "jobs.stale", Unit: "jobs", Run: schedule.get(func() int { return schedule.stale })},
		{Name: "jobs.urgent", Unit: "s", Run: urgentStart},
		{Name: "jobs.urgentfull", Unit: "s", Run: urgentStartOnFullHosts},
		{Name: "jobs.round", Unit: "ratio", Run: roundGrowth},
		{Name: "jobs.wave", Unit: "s", Run: cancels.time},
		{Name: "jobs.waverows", Unit: "rows/s", Run: cancels.most},
		{Name: "jobs.failers", Unit: "percent", Run: failersThroughput},
		{Name: "jobs.sizes", Unit: "percent", Run: sizes.perfect},
		{Name: "jobs.firstfit", Unit: "ratio", Run: sizes.firstFit},
		{Name: "jobs.random", Unit: "ratio", Run: sizes.random},
		{Name: "jobs.overmemory", Unit: "lags", Run: sizes.over},
	}
}
