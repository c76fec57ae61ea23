package jobs

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/memory"
	"indigoglade/place"
)

// Sizes of the fleet in two years.
const (
	allWorkers = 26_000
	allAccels  = 56_000
	allPools   = 196
	perHost    = 4
)

func largeFleet() fleetSpec {
	return fleetSpec{hosts: allWorkers, pools: allPools, cores: 32, memory: 128 * gigabyte, accels: perHost, accelHosts: allAccels / perHost}
}

// urgentStart returns the longest time from the acceptance of an urgent job to
// its start, in seconds, while other jobs keep the writes at their limit.
func urgentStart(seed uint64) (float64, error) {
	s := newSim(seed, largeFleet(), 1)
	s.warm()
	accepted := make(map[glade.Ticket]time.Time)
	s.each(20*time.Second, func() {
		var others []offer
		for range 30 {
			others = append(others, s.anyOffer(glade.Normal), s.anyOffer(glade.Bulk))
		}
		s.accept(others...)
		for _, ticket := range s.accept(s.anyOffer(glade.Urgent), s.anyOffer(glade.Urgent), s.anyOffer(glade.Urgent), s.anyOffer(glade.Urgent)) {
			accepted[ticket] = s.clock.Now()
		}
	})
	s.each(5*time.Second, nil)
	return s.slowest(accepted)
}

// anyOffer returns a job of any kind with an honest size.
func (s *sim) anyOffer(priority glade.Priority) offer {
	size := glade.Size{Cores: 1 + s.rand.IntN(8), Memory: int64(1+s.rand.IntN(16)) * gigabyte, Accels: s.rand.IntN(3)}
	return offer{
		kind: s.rand.IntN(allPools), priority: priority, declared: size,
		truth: memory.Truth{Work: glade.Span(time.Duration(20+s.rand.IntN(60)) * time.Second), Memory: size.Memory},
	}
}

// slowest returns the longest time to the start of a job, in seconds.
func (s *sim) slowest(accepted map[glade.Ticket]time.Time) (float64, error) {
	var longest time.Duration
	for ticket, at := range accepted {
		began, ok := s.started[ticket]
		if !ok {
			return 0, errors.Errorf("urgent job %s never started", ticket)
		}
		longest = max(longest, began.Sub(at))
	}
	return longest.Seconds(), nil
}

// urgentStartOnFullHosts is urgentStart in a pool whose hosts are full of batch
// work that has to be stopped with a checkpoint.
func urgentStartOnFullHosts(seed uint64) (float64, error) {
	s := newSim(seed, fleetSpec{hosts: 20, pools: 1, cores: 32, memory: 128 * gigabyte, accels: perHost, accelHosts: 20}, 1)
	s.warm()
	size := glade.Size{Cores: 8, Memory: 32 * gigabyte, Accels: 1}
	hour := memory.Truth{Work: glade.Span(time.Hour), Memory: size.Memory}
	for range 20 * perHost {
		s.accept(offer{priority: glade.Bulk, declared: size, truth: hour})
	}
	s.each(30*time.Second, nil)
	if n := s.countPhase(glade.JobRunning); n != 20*perHost {
		return 0, errors.Errorf("%d of %d batch jobs run", n, 20*perHost)
	}
	accepted := make(map[glade.Ticket]time.Time)
	s.each(10*time.Second, func() {
		if s.rand.IntN(2) == 0 {
			ticket := s.accept(offer{priority: glade.Urgent, declared: size, truth: hour})[0]
			accepted[ticket] = s.clock.Now()
		}
	})
	s.each(5*time.Second, nil)
	return s.slowest(accepted)
}

// roundGrowth returns how many times as many nodes of the index a placement
// looks at with 26,000 workers as with 1,000. A scan of all hosts would give 26.
func roundGrowth(seed uint64) (float64, error) {
	small, err := visitsPerPlacement(seed, 1_000)
	if err != nil {
		return 0, err
	}
	large, err := visitsPerPlacement(seed, allWorkers)
	return large / small, err
}

// visitsPerPlacement fills half of the cores of one pool.
func visitsPerPlacement(seed uint64, hosts int) (float64, error) {
	s := sim{}
	for i := range hosts {
		s.hosts = append(s.hosts, glade.Listed{Host: glade.Host(fmt.Sprintf("h%05d", i))})
	}
	f := place.New(place.Config{})
	f.SetHosts(placeHosts(hosts))
	tasks := hosts * 2
	for i := range tasks {
		cores := 1 + int((uint64(i)*2654435761+seed)%15)
		f.Enqueue(place.Task{
			ID: glade.Ticket(fmt.Sprintf("c.%d", i)), Pool: "p", Group: "g", Priority: glade.Normal,
			Size: glade.Size{Cores: cores, Memory: gigabyte},
		})
	}
	placed := len(f.Round(place.Limits{Urgent: tasks, Others: tasks}).Placements())
	if placed != tasks {
		return 0, errors.Errorf("%d of %d tasks placed on %d hosts", placed, tasks, hosts)
	}
	return float64(f.NodeVisits()) / float64(placed), nil
}

func placeHosts(n int) []place.Host {
	hosts := make([]place.Host, 0, n)
	for i := range n {
		hosts = append(hosts, place.Host{
			Host: glade.Host(fmt.Sprintf("h%05d", i)), Zone: glade.Zone(fmt.Sprintf("z%d", i/4%10)), Rack: glade.Rack(fmt.Sprintf("r%05d", i/4)),
			Pool: "p", Size: glade.Size{Cores: 32, Memory: 128 * gigabyte}, Open: true,
		})
	}
	return hosts
}
