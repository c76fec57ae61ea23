package jobs

import (
	"time"

	glade "indigoglade"
	"indigoglade/memory"
)

// failersThroughput returns the jobs that are done with 2 % of the workers
// failing everything, in percent of those without such workers, counted from a
// minute after the start.
func failersThroughput(seed uint64) (float64, error) {
	sound := doneAfterMinute(seed, 0)
	mixed := doneAfterMinute(seed, 2)
	return 100 * float64(mixed) / float64(sound), nil
}

func doneAfterMinute(seed uint64, percent int) int {
	s := newSim(seed, fleetSpec{hosts: 100, pools: 1, cores: 32, memory: 128 * gigabyte}, 1)
	for _, i := range s.rand.Perm(100)[:percent] {
		s.workers.SetFault(s.hosts[i].Host, memory.Bad)
	}
	s.warm()
	offers := func() {
		for range 12 {
			size := glade.Size{Cores: 4 + s.rand.IntN(8), Memory: gigabyte}
			work := time.Duration(10+s.rand.IntN(20)) * time.Second
			s.accept(offer{priority: glade.Normal, declared: size, truth: memory.Truth{Work: glade.Span(work), Memory: gigabyte}})
		}
	}
	s.each(time.Minute, offers)
	before := s.countPhase(glade.JobDone)
	s.each(2*time.Minute, offers)
	return s.countPhase(glade.JobDone) - before
}
