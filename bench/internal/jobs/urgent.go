package jobs

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/memory"
	"indigoglade/place"
)

// Dimensions of the fleet that the users expect in two years.
const (
	workerCount   = 26_000
	accelCount    = 56_000
	poolCount     = 196
	accelsPerHost = 4
)

func largeFleet() fleetSpec {
	return fleetSpec{hosts: workerCount, pools: poolCount, cores: 32, memory: 128 * gigabyte, accels: accelsPerHost, accelHosts: accelCount / accelsPerHost}
}

// urgentStartTime returns the longest time from the acceptance of an urgent job to its start, in
// seconds, while other jobs keep the writes at their rate limit.
func urgentStartTime(seed uint64) (float64, error) {
	s := newSim(seed, largeFleet(), 1)
	s.warmUp()
	accepted := make(map[glade.Ticket]time.Time)
	s.runFor(20*time.Second, func() {
		var others []jobSpec
		for range 30 {
			others = append(others, s.randomJob(glade.Normal), s.randomJob(glade.Bulk))
		}
		s.accept(others...)
		for _, ticket := range s.accept(s.randomJob(glade.Urgent), s.randomJob(glade.Urgent), s.randomJob(glade.Urgent), s.randomJob(glade.Urgent)) {
			accepted[ticket] = s.clock.Now()
		}
	})
	s.runFor(5*time.Second, nil)
	return s.longestStart(accepted)
}

// randomJob returns a job of a random kind that declares its actual size.
func (s *sim) randomJob(priority glade.Priority) jobSpec {
	size := glade.Resources{Cores: 1 + s.rand.IntN(8), Memory: int64(1+s.rand.IntN(16)) * gigabyte, Accels: s.rand.IntN(3)}
	return jobSpec{
		kind: s.rand.IntN(poolCount), priority: priority, declared: size,
		actual: memory.TaskBehavior{RunTime: glade.Span(time.Duration(20+s.rand.IntN(60)) * time.Second), Memory: size.Memory},
	}
}

// longestStart returns the longest time from acceptance to start, in seconds. It fails if a job
// never started.
func (s *sim) longestStart(accepted map[glade.Ticket]time.Time) (float64, error) {
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

// urgentStartTimeOnFullHosts is like urgentStartTime for a pool whose hosts are full of batch jobs,
// which have to be stopped with a checkpoint first.
func urgentStartTimeOnFullHosts(seed uint64) (float64, error) {
	s := newSim(seed, fleetSpec{hosts: 20, pools: 1, cores: 32, memory: 128 * gigabyte, accels: accelsPerHost, accelHosts: 20}, 1)
	s.warmUp()
	size := glade.Resources{Cores: 8, Memory: 32 * gigabyte, Accels: 1}
	hourLong := memory.TaskBehavior{RunTime: glade.Span(time.Hour), Memory: size.Memory}
	for range 20 * accelsPerHost {
		s.accept(jobSpec{priority: glade.Bulk, declared: size, actual: hourLong})
	}
	s.runFor(30*time.Second, nil)
	if n := s.countPhase(glade.JobRunning); n != 20*accelsPerHost {
		return 0, errors.Errorf("only %d of %d batch jobs are running", n, 20*accelsPerHost)
	}
	accepted := make(map[glade.Ticket]time.Time)
	s.runFor(10*time.Second, func() {
		if s.rand.IntN(2) == 0 {
			ticket := s.accept(jobSpec{priority: glade.Urgent, declared: size, actual: hourLong})[0]
			accepted[ticket] = s.clock.Now()
		}
	})
	s.runFor(5*time.Second, nil)
	return s.longestStart(accepted)
}

// placementGrowth returns how many times more index nodes a placement visits with 26,000 workers
// than with 1,000. A scan of all hosts would give 26.
func placementGrowth(seed uint64) (float64, error) {
	small, err := visitsPerPlacement(seed, 1_000)
	if err != nil {
		return 0, err
	}
	large, err := visitsPerPlacement(seed, workerCount)
	return large / small, err
}

// visitsPerPlacement places two tasks per host in one pool, which fills half of its cores, and
// returns the index nodes visited for each.
func visitsPerPlacement(seed uint64, hosts int) (float64, error) {
	s := sim{}
	for i := range hosts {
		s.hosts = append(s.hosts, glade.HostListing{Host: glade.Host(fmt.Sprintf("h%05d", i))})
	}
	f := place.New(place.Config{})
	f.SetHosts(indexedHosts(hosts))
	tasks := hosts * 2
	for i := range tasks {
		cores := 1 + int((uint64(i)*2654435761+seed)%15)
		f.Enqueue(place.Task{
			ID: glade.Ticket(fmt.Sprintf("c.%d", i)), Pool: "p", Group: "g", Priority: glade.Normal,
			Size: glade.Resources{Cores: cores, Memory: gigabyte},
		})
	}
	placed := len(f.Round(place.Limits{Urgent: tasks, Others: tasks}).Placements())
	if placed != tasks {
		return 0, errors.Errorf("%d of %d tasks placed on %d hosts", placed, tasks, hosts)
	}
	return float64(f.NodeVisits()) / float64(placed), nil
}

func indexedHosts(n int) []place.Host {
	hosts := make([]place.Host, 0, n)
	for i := range n {
		hosts = append(hosts, place.Host{
			Host: glade.Host(fmt.Sprintf("h%05d", i)), Zone: glade.Zone(fmt.Sprintf("z%d", i/4%10)), Rack: glade.Rack(fmt.Sprintf("r%05d", i/4)),
			Pool: "p", Size: glade.Resources{Cores: 32, Memory: 128 * gigabyte}, Open: true,
		})
	}
	return hosts
}
