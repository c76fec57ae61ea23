package moves_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/moves"
	"indigoglade/sched"
)

const spare glade.Service = "spare"

// simulation simulates the inventory and the leaders of the services for a planner.
type simulation struct {
	c       *qt.C
	now     time.Time
	planner *moves.Planner
	hosts   map[glade.Host]*fakeHost
	// demand is the demand of each service, in millicores.
	demand         map[glade.Service]int
	moved          int
	unplaced       int // long-running tasks of service a that fit nowhere
	unplacedCPU    int // what they need, in millicores and megabytes
	unplacedMemory int
	neverFits      bool                // more hosts don't help them
	memoryDemand   int                 // demand of service a, in megabytes
	shrunk         int                 // by how much the runners of service a have shrunk, in millicores
	maxDown        int                 // the most hosts that were down for maintenance at once
	lostAnswer     map[glade.Host]bool // hosts for which the next answer is lost
	// late maps hosts whose next order gets no answer to when it is carried out. Later orders for
	// them are refused until then.
	late map[glade.Host]time.Time
	held map[glade.Host]moves.Action
	// rise is the increase of each service's demand, in millicores per second.
	rise map[glade.Service]int
	// unheld are the hosts whose runner has not answered the leader of its service,
	// unlisted those whose runner that leader does not list.
	unheld, unlisted map[glade.Host]bool
}

type fakeHost struct {
	info glade.HostInfo
	runs int
	// longRunning is the number of runs that are of long-running tasks.
	longRunning int
	awayUntil   time.Time // end of the move or maintenance
	maintained  int       // number of maintenances
}

const (
	hostCPU    = 16000
	hostMemory = 32000
)

func newSimulation(c *qt.C, sizes map[glade.Service]int) *simulation {
	s := &simulation{
		c: c, now: time.Unix(1_000_000, 0), hosts: make(map[glade.Host]*fakeHost), demand: make(map[glade.Service]int),
		planner: moves.New(moves.Config{MoveDowntime: 1500 * time.Millisecond, MaintenanceDowntime: 2 * time.Second}),
		rise:    make(map[glade.Service]int), lostAnswer: make(map[glade.Host]bool), late: make(map[glade.Host]time.Time), held: make(map[glade.Host]moves.Action), unheld: make(map[glade.Host]bool), unlisted: make(map[glade.Host]bool),
	}
	s.planner.SetSparePools(glade.Rules{Services: []glade.ServiceRule{{Service: spare, Spare: true}}})
	for service, n := range sizes {
		for i := range n {
			host := glade.Host(fmt.Sprintf("%s%d", service, i))
			s.hosts[host] = &fakeHost{info: glade.HostInfo{
				Host: host, Pool: service, State: glade.HostUp, Runner: glade.RunnerID(host), Capacity: glade.Need{CPU: hostCPU, Memory: hostMemory},
			}}
		}
	}
	return s
}

// poolSize returns the number of hosts of a pool in any state.
func (s *simulation) poolSize(service glade.Service) int {
	n := 0
	for _, h := range s.hosts {
		if h.info.Pool == service {
			n++
		}
	}
	return n
}

// upCount returns the number of hosts of a pool that are up.
func (s *simulation) upCount(service glade.Service) int {
	n := 0
	for _, h := range s.hosts {
		if h.info.Pool == service && h.info.State == glade.HostUp {
			n++
		}
	}
	return n
}

// run lets the simulation run for a duration, in steps of 200 ms.
func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(200 * time.Millisecond) {
		s.step()
	}
}

func (s *simulation) step() {
	var list []glade.HostInfo
	for host, at := range s.late {
		if _, held := s.held[host]; held && !s.now.Before(at) {
			delete(s.late, host)
			h := s.hosts[host]
			h.info.State, h.awayUntil = glade.HostMaintenance, s.now.Add(2*time.Second)
			h.maintained++
		}
	}
	loads := make(map[glade.Service]sched.Load)
	evacuating := s.planner.Evacuating()
	down := 0
	for _, h := range s.hosts {
		if h.info.State != glade.HostUp && s.now.After(h.awayUntil) {
			h.info.State = glade.HostUp
		}
		if h.info.State == glade.HostMaintenance {
			down++
		}
		list = append(list, h.info)
		if h.info.Pool == spare {
			continue
		}
		load := loads[h.info.Pool]
		load.Capacity += hostCPU
		runner := sched.RunnerLoad{ID: h.info.Runner, Runs: h.runs, LongRunning: h.longRunning, Responsive: !s.unheld[h.info.Host]}
		for _, id := range evacuating[h.info.Pool] {
			if id == runner.ID {
				runner.Evacuating, runner.Runs = true, 0
				h.runs = 0
			}
		}
		if !s.unlisted[h.info.Host] {
			load.Runners = append(load.Runners, runner)
		}
		loads[h.info.Pool] = load
	}
	for service, demand := range s.demand { // a service without hosts has a leader
		if load, ok := loads[service]; !ok && demand > 0 {
			loads[service] = load
		}
	}
	s.maxDown = max(s.maxDown, down)
	s.planner.SetHosts(list)
	for service, load := range loads {
		load.Demand, load.Offered, load.OfferedRise = s.demand[service], s.demand[service], s.rise[service]
		if service == "a" {
			load.Unplaced, load.Memory, load.Shrunk = s.unplaced, s.memoryDemand, s.shrunk
			load.LongRunning, load.UnplacedCPU = s.unplacedCPU, s.unplacedCPU
			load.Memory, load.UnplacedMemory = load.Memory+s.unplacedMemory, s.unplacedMemory
			if s.upCount("a") > 4 && !s.neverFits {
				load.Unplaced = 0
			}
		}
		s.planner.SetLoad(service, load, s.now)
	}
	for _, action := range append(s.planner.Step(s.now), s.planner.UnansweredActions(s.now)...) {
		s.execute(action)
	}
}

// execute carries out an action and returns the answer to the planner, unless the
// answer is to be lost.
func (s *simulation) execute(action moves.Action) {
	h := s.hosts[action.Host]
	if at, ok := s.late[action.Host]; ok && s.now.Before(at) {
		if _, held := s.held[action.Host]; held {
			s.planner.HandleAnswer(action, glade.HostLimited, nil, s.now)
			return
		}
		s.held[action.Host] = action
		s.planner.HandleAnswer(action, "", fmt.Errorf("no answer"), s.now)
		return
	}
	if _, done := s.held[action.Host]; done && h.maintained > 0 {
		s.planner.HandleAnswer(action, glade.HostAccepted, nil, s.now)
		return
	}
	if action.Kind == moves.KindMaintain {
		h.info.State, h.awayUntil = glade.HostMaintenance, s.now.Add(2*time.Second)
		h.maintained++
	} else {
		h.info.State, h.awayUntil = glade.HostMoving, s.now.Add(1500*time.Millisecond)
		h.info.Pool = action.Pool
		s.moved++
	}
	if s.lostAnswer[action.Host] {
		delete(s.lostAnswer, action.Host)
		s.planner.HandleAnswer(action, "", fmt.Errorf("no answer"), s.now)
		return
	}
	s.planner.HandleAnswer(action, glade.HostAccepted, nil, s.now)
}

func wave(maxDown int, hosts ...glade.Host) glade.WaveOrder {
	return glade.WaveOrder{Wave: 1, Hosts: hosts, MaxDown: maxDown, Within: 30 * time.Second}
}

func TestPoolMakesUpForRunnersThatShrink(t *testing.T) {
	size := func(shrunk int) int {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 6, spare: 9})
		s.demand["a"], s.shrunk = 4*hostCPU, shrunk
		s.run(20 * time.Second)
		return s.poolSize("a")
	}
	qt.Assert(t, size(2*hostCPU), qt.Equals, size(0)+2)
}

func TestWave(t *testing.T) {
	t.Run("maintains every host, and never more at once than allowed", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 9, "b": 9})
		hosts := []glade.Host{"a0", "a1", "a2", "a3", "b0", "b1", "b2"}
		s.planner.AddWave(wave(2, hosts...), nil, nil, s.now, s.now)
		s.run(25 * time.Second)
		for _, host := range hosts {
			s.c.Assert(s.hosts[host].maintained, qt.Equals, 1)
		}
		s.c.Assert(s.maxDown <= 2, qt.IsTrue)
		s.c.Assert(s.planner.FinishedWaves(), qt.DeepEquals, []int64{1})
	})
	t.Run("counts a host as down if its action got no answer", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 9})
		s.lostAnswer["a0"] = true
		s.planner.AddWave(wave(1, "a0", "a1", "a2"), nil, nil, s.now, s.now)
		s.run(25 * time.Second)
		s.c.Assert(s.maxDown, qt.Equals, 1)
		s.c.Assert(s.planner.FinishedWaves(), qt.DeepEquals, []int64{1})
	})
	// An order without an answer whose repetition is refused is not void: the platform may carry it
	// out late, while another host is down for the wave.
	t.Run("counts a host as down while an order for it may be carried out late", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 9, "b": 9})
		s.demand["a"], s.demand["b"] = 8*hostCPU, 8*hostCPU
		s.late["a0"] = s.now.Add(3 * time.Second)
		s.planner.AddWave(wave(1, "a0", "b0"), nil, nil, s.now, s.now)
		s.run(time.Second)
		s.c.Assert(s.held, qt.HasLen, 1)
		s.demand["b"] = 7 * hostCPU // from now on the other host would go first
		s.run(24 * time.Second)
		s.c.Assert(s.maxDown, qt.Equals, 1)
		for _, host := range []glade.Host{"a0", "b0"} {
			s.c.Assert(s.hosts[host].maintained, qt.Equals, 1)
		}
	})
	expectSkipped := func(name string, hide func(s *simulation)) {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(qt.New(t), map[glade.Service]int{"a": 9})
			hide(s)
			s.planner.AddWave(wave(2, "a0", "a1"), nil, nil, s.now, s.now)
			s.run(10 * time.Second)
			s.c.Assert(s.hosts["a0"].maintained, qt.Equals, 0)
			s.c.Assert(s.hosts["a1"].maintained, qt.Equals, 1)
		})
	}
	expectSkipped("skips a host whose runner has not answered the service's leader", func(s *simulation) { s.unheld["a0"] = true })
	expectSkipped("skips a host whose runner the service's leader does not list", func(s *simulation) { s.unlisted["a0"] = true })
	t.Run("continues the actions of an earlier leader", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 9})
		s.planner.AddWave(wave(2, "a0", "a1", "a2"), []glade.Host{"a0"}, []glade.Host{"a1"}, s.now, s.now)
		s.step()
		started, requested := s.planner.WaveProgress(1)
		s.c.Assert(started, qt.DeepEquals, []glade.Host{"a0"})
		s.c.Assert(requested, qt.DeepEquals, []glade.Host{"a1"})
		s.run(20 * time.Second)
		s.c.Assert(s.hosts["a0"].maintained, qt.Equals, 0)
		s.c.Assert(s.planner.FinishedWaves(), qt.DeepEquals, []int64{1})
	})
}

func TestMoves(t *testing.T) {
	t.Run("add spare hosts to a pool with more demand", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 4, "b": 4, spare: 4})
		s.demand["a"] = 7 * hostCPU
		s.run(3 * time.Second)
		s.c.Assert(s.poolSize("a") >= 8, qt.IsTrue)
	})
	t.Run("add a host for a long-running task that fits nowhere", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 4, spare: 2})
		for _, h := range s.hosts {
			h.runs, h.longRunning = 1, 1
		}
		s.unplaced = 1
		s.run(2 * time.Second)
		s.c.Assert(s.poolSize("a"), qt.Equals, 5)
	})
	t.Run("add no more hosts for long-running tasks while enough are being moved", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 2, spare: 9})
		for _, h := range s.hosts {
			h.runs, h.longRunning = 1, 1
		}
		s.unplaced = 3
		s.run(1800 * time.Millisecond)
		s.c.Assert(s.moved, qt.Equals, 3)
	})
	t.Run("take hosts only once for long-running tasks that fit on none", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 4, "b": 9, spare: 0})
		s.unplaced, s.neverFits, s.demand["a"], s.demand["b"] = 2, true, hostCPU, 6*hostCPU
		largest := 0
		for range 20 {
			s.run(time.Second)
			largest = max(largest, s.poolSize("a"))
		}
		s.c.Assert(largest, qt.Equals, 4+s.unplaced)
		s.c.Assert(s.poolSize("b") >= 8, qt.IsTrue, qt.Commentf("pool b has %d hosts", s.poolSize("b")))
		s.unplaced, s.moved = 3, 0
		s.run(3 * time.Second)
		s.c.Assert(s.moved > 0, qt.IsTrue)
	})
	for name, size := range map[string]int{"": 0, ", though they would need more than all hosts": 20} {
		t.Run("give hosts back that long-running tasks wait for in vain, where there are too few for all"+name, func(t *testing.T) {
			s := newSimulation(qt.New(t), map[glade.Service]int{"a": 4, "b": 6, spare: 0})
			s.unplaced, s.neverFits, s.demand["a"], s.demand["b"] = 9, true, hostCPU, hostCPU
			s.unplacedCPU, s.unplacedMemory = size*hostCPU, size*hostMemory
			s.run(10 * time.Second)
			s.demand["b"] = 6 * hostCPU
			s.run(10 * time.Second)
			s.c.Assert(s.poolSize("b") >= 6, qt.IsTrue, qt.Commentf("pool b has %d hosts", s.poolSize("b")))
			s.moved = 0
			s.run(20 * time.Second)
			s.c.Assert(s.moved <= 1, qt.IsTrue, qt.Commentf("%d hosts move back and forth", s.moved))
		})
	}
	t.Run("take a host for a long-running task from a pool whose burst exceeds all hosts", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 2, "b": 6, spare: 0})
		for _, h := range s.hosts {
			h.runs = 1
			if h.info.Pool == "a" {
				h.longRunning = 1
			}
		}
		s.unplaced = 1
		s.demand["b"] = 20 * hostCPU
		s.run(200 * time.Millisecond)
		for _, h := range s.hosts {
			if h.longRunning == 0 {
				h.runs = 0 // short tasks end
			}
		}
		s.run(3 * time.Second)
		s.c.Assert(s.poolSize("a") >= 3, qt.IsTrue)
	})
	t.Run("size a pool by memory if that is the limit", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 2, spare: 6})
		s.memoryDemand = 5 * hostMemory
		s.run(3 * time.Second)
		s.c.Assert(s.poolSize("a") >= 5, qt.IsTrue)
	})
	t.Run("add hosts ahead of a periodic burst", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 2, "b": 2, spare: 8})
		for range 3 {
			s.demand["a"] = 6 * hostCPU
			s.run(4 * time.Second)
			s.demand["a"] = 0
			s.run(7 * time.Second)
			s.c.Assert(s.poolSize("a") <= 2, qt.IsTrue)
			s.run(3 * time.Second)
		}
		s.c.Assert(s.poolSize("a") >= 6, qt.IsTrue)
	})
	t.Run("derive no period from two bursts", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 2, "b": 2, spare: 8})
		for _, high := range []time.Duration{3 * time.Second, 1200 * time.Millisecond} {
			s.demand["a"] = 6 * hostCPU
			s.run(high)
			s.demand["a"] = 0
			s.run(3 * time.Second)
		}
		s.run(2400 * time.Millisecond)
		s.c.Assert(s.poolSize("a") <= 3, qt.IsTrue, qt.Commentf("%d", s.poolSize("a")))
	})
	t.Run("provide for a rising demand at the time when a host arrives", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 2, "b": 2, spare: 8})
		s.run(3 * time.Second)
		s.demand["a"], s.rise["a"] = 2*hostCPU, hostCPU
		s.run(2 * time.Second)
		// Two hosts for the work, one in reserve for the next batch, and two for the rise.
		s.c.Assert(s.poolSize("a") >= 5, qt.IsTrue, qt.Commentf("%d", s.poolSize("a")))
		s.c.Assert(s.poolSize("a") <= 6, qt.IsTrue)
	})
	t.Run("return idle hosts to the spare pool, except for the reserve", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 6, spare: 0})
		s.run(10 * time.Second)
		s.c.Assert(s.poolSize("a"), qt.Equals, 1)
		s.c.Assert(s.poolSize(spare), qt.Equals, 5)
	})
	t.Run("take hosts that run only short tasks for a pool with more demand", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 6, "b": 2})
		for _, h := range s.hosts {
			h.runs = 1
		}
		s.demand["b"] = 4 * hostCPU
		s.run(4 * time.Second)
		s.c.Assert(s.poolSize("b") >= 5, qt.IsTrue)
	})
	t.Run("leave hosts with long-running tasks in their pool", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 6, "b": 2})
		for _, h := range s.hosts {
			h.runs, h.longRunning = 1, 1
		}
		s.demand["b"] = 6 * hostCPU
		s.run(5 * time.Second)
		s.c.Assert(s.moved, qt.Equals, 0)
	})
	t.Run("do not follow every fluctuation of the load", func(t *testing.T) {
		s := newSimulation(qt.New(t), map[glade.Service]int{"a": 6, "b": 6, spare: 2})
		for i := range 50 {
			s.demand["a"] = (3 + i%2) * hostCPU
			s.demand["b"] = (4 - i%2) * hostCPU
			s.run(400 * time.Millisecond)
		}
		s.c.Assert(s.moved <= 8, qt.IsTrue, qt.Commentf("moved %d", s.moved))
	})
}
