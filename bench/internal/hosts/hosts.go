// Package hosts defines the benchmarks of pool sizing, availability budgets and maintenance waves.
package hosts

import (
	"sync"

	"indigoglade/bench/internal/gauge"
	"indigoglade/bench/internal/hosts/days"
	"indigoglade/bench/internal/hosts/large"
	"indigoglade/bench/internal/hosts/roll"
	"indigoglade/bench/internal/hosts/sched"
)

// scheduleCount is the number of random failure schedules in one run.
const scheduleCount = 10_000

// Measures returns the measures of this package.
func Measures() []gauge.Measure {
	runs := &cachedExperiment[sched.Report]{execute: func(seed uint64) sched.Report { return sched.RunMany(seed, scheduleCount) }}
	all := []gauge.Measure{
		runs.measure("hosts.schedules", "schedules", func(r sched.Report) float64 { return float64(r.Schedules) }),
		runs.measure("hosts.twopools", "hosts", func(r sched.Report) float64 { return float64(r.OwnershipConflicts) }),
		runs.measure("hosts.overspent", "steps", func(r sched.Report) float64 { return float64(r.BudgetViolations) }),
		runs.measure("hosts.cut", "requests", func(r sched.Report) float64 { return float64(r.InterruptedRequests) }),
		runs.measure("hosts.staleepochs", "rows", func(r sched.Report) float64 { return float64(r.StaleEpochs) }),
	}
	all = append(all,
		gauge.Measure{Name: "hosts.wave", Unit: "of serial", Run: roll.WaveTimeRatio},
		gauge.Measure{Name: "hosts.change", Unit: "of serial", Run: roll.ChangeTimeRatio},
		gauge.Measure{Name: "hosts.writes.26000", Unit: "rows/s", Run: roll.WritesPerSecond},
		gauge.Measure{Name: "hosts.weeks", Unit: "days", Run: large.WaveDays},
	)
	all = append(all, costMeasures()...)
	all = append(all, sizingMeasures("gunescati", days.Gunescati())...)
	return append(all, sizingMeasures("monsoon", days.Monsoon())...)
}

// costMeasures returns the cost of a keeper in steady state over the large fleet.
func costMeasures() []gauge.Measure {
	runs := &cachedExperiment[large.Costs]{execute: func(uint64) large.Costs { return large.MeasureAll() }}
	measure := func(name, unit string, value func(large.Costs) float64) gauge.Measure {
		return gauge.Measure{Name: name, Unit: unit, Run: func(seed uint64) (float64, error) {
			costs := runs.result(seed)
			if err := costs.Err(); err != nil {
				return 0, err
			}
			return value(costs), nil
		}}
	}
	return []gauge.Measure{
		measure("hosts.core.26000", "% of a core", large.Costs.CPUPercent),
		measure("hosts.heap.26000", "MB", large.Costs.HeapMB),
		measure("hosts.reads.26000", "rows/s", large.Costs.ReadsPerSecond),
		measure("hosts.growth", "of linear", large.Costs.WorkGrowth),
	}
}

// sizingMeasures compares the pool sizes chosen for a deployment over several virtual days with
// sizes fixed at the peak and with sizes that follow the current load.
func sizingMeasures(name string, d days.Deployment) []gauge.Measure {
	runs := &cachedExperiment[days.Comparison]{execute: func(seed uint64) days.Comparison { return days.Compare(d, seed) }}
	return []gauge.Measure{
		runs.measure("hosts.buffer."+name, "of fixed", days.Comparison.IdleHosts),
		runs.measure("hosts.broken."+name, "over fixed", days.Comparison.DeadlineMisses),
		runs.measure("hosts.moves."+name, "of follow", days.Comparison.Moves),
	}
}

// cachedExperiment is an experiment that several measures read. It runs once for each seed.
type cachedExperiment[T any] struct {
	mu      sync.Mutex
	execute func(seed uint64) T
	results map[uint64]T
}

func (s *cachedExperiment[T]) result(seed uint64) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	if got, ok := s.results[seed]; ok {
		return got
	}
	if s.results == nil {
		s.results = make(map[uint64]T)
	}
	got := s.execute(seed)
	s.results[seed] = got
	return got
}

func (s *cachedExperiment[T]) measure(name, unit string, value func(T) float64) gauge.Measure {
	return gauge.Measure{Name: name, Unit: unit, Run: func(seed uint64) (float64, error) { return value(s.result(seed)), nil }}
}
