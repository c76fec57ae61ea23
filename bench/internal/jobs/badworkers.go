package jobs

import (
	"time"

	glade "indigoglade"
	"indigoglade/memory"
)

// throughputWithBadWorkers returns the throughput with 2 % of the workers failing every task, in
// percent of the throughput without such workers. The first minute is not counted.
func throughputWithBadWorkers(seed uint64) (float64, error) {
	healthy := completedAfterMinute(seed, 0)
	mixed := completedAfterMinute(seed, 2)
	return 100 * float64(mixed) / float64(healthy), nil
}

func completedAfterMinute(seed uint64, percent int) int {
	s := newSim(seed, fleetSpec{hosts: 100, pools: 1, cores: 32, memory: 128 * gigabyte}, 1)
	for _, i := range s.rand.Perm(100)[:percent] {
		s.workers.SetFault(s.hosts[i].Host, memory.Failing)
	}
	s.warmUp()
	submit := func() {
		for range 12 {
			size := glade.Resources{Cores: 4 + s.rand.IntN(8), Memory: gigabyte}
			work := time.Duration(10+s.rand.IntN(20)) * time.Second
			s.accept(jobSpec{priority: glade.Normal, declared: size, actual: memory.TaskBehavior{RunTime: glade.Span(work), Memory: gigabyte}})
		}
	}
	s.runFor(time.Minute, submit)
	before := s.countPhase(glade.JobDone)
	s.runFor(2*time.Minute, submit)
	return s.countPhase(glade.JobDone) - before
}
