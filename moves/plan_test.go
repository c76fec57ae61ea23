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
type rig struct {
	c     *qt.C
	now   time.Time
	plan  *moves.Plan
	hosts map[glade.Host]*fakeHost
	// demand is the demand of each service, in millicores.
	demand map[glade.Service]int
	moved  int
	idle   int                 // long-running tasks of service a that fit nowhere
	memory int                 // demand of service a, in megabytes
	most   int                 // the most hosts that were down for maintenance at once
	lost   map[glade.Host]bool // hosts for which the next answer is lost
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
	lasting int
	until   time.Time // end of the move or maintenance
	kept    int       // number of maintenances
}

const (
	hostCPU    = 16000
	hostMemory = 32000
)

func newRig(c *qt.C, sizes map[glade.Service]int) *rig {
	r := &rig{
		c: c, now: time.Unix(1_000_000, 0), hosts: make(map[glade.Host]*fakeHost), demand: make(map[glade.Service]int),
		plan: moves.New(moves.Config{MoveTime: 1500 * time.Millisecond, MaintainTime: 2 * time.Second}),
		rise: make(map[glade.Service]int), lost: make(map[glade.Host]bool), unheld: make(map[glade.Host]bool), unlisted: make(map[glade.Host]bool),
	}
	r.plan.SetPools(glade.Rules{Services: []glade.ServiceRule{{Service: spare, Spare: true}}})
	for service, n := range sizes {
		for i := range n {
			host := glade.Host(fmt.Sprintf("%s%d", service, i))
			r.hosts[host] = &fakeHost{info: glade.HostInfo{
				Host: host, Pool: service, State: glade.HostUp, Runner: glade.RunnerID(host), Room: glade.Need{CPU: hostCPU, Memory: hostMemory},
			}}
		}
	}
	return r
}

// poolSize returns the number of hosts of a pool in any state.
func (r *rig) size(service glade.Service) int {
	n := 0
	for _, h := range r.hosts {
		if h.info.Pool == service {
			n++
		}
	}
	return n
}

// upCount returns the number of hosts of a pool that are up.
func (r *rig) up(service glade.Service) int {
	n := 0
	for _, h := range r.hosts {
		if h.info.Pool == service && h.info.State == glade.HostUp {
			n++
		}
	}
	return n
}

// run lets the simulation run for a duration, in steps of 200 ms.
func (r *rig) play(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(200 * time.Millisecond) {
		r.step()
	}
}

func (r *rig) step() {
	var list []glade.HostInfo
	loads := make(map[glade.Service]sched.Load)
	closing := r.plan.Closing()
	down := 0
	for _, h := range r.hosts {
		if h.info.State != glade.HostUp && r.now.After(h.until) {
			h.info.State = glade.HostUp
		}
		if h.info.State == glade.HostUpkeep {
			down++
		}
		list = append(list, h.info)
		if h.info.Pool == spare {
			continue
		}
		load := loads[h.info.Pool]
		load.Room += hostCPU
		own := sched.RunnerLoad{ID: h.info.Runner, Runs: h.runs, Lasting: h.lasting, Held: !r.unheld[h.info.Host]}
		for _, id := range closing[h.info.Pool] {
			if id == own.ID {
				own.Closing, own.Runs = true, 0
				h.runs = 0
			}
		}
		if !r.unlisted[h.info.Host] {
			load.Runners = append(load.Runners, own)
		}
		loads[h.info.Pool] = load
	}
	r.most = max(r.most, down)
	r.plan.SetHosts(list)
	for service, load := range loads {
		load.Demand, load.Offered, load.Rise = r.demand[service], r.demand[service], r.rise[service]
		if service == "a" {
			load.Idle, load.Memory = r.idle, r.memory
			if r.up("a") > 4 {
				load.Idle = 0
			}
		}
		r.plan.SetLoad(service, load, r.now)
	}
	for _, o := range append(r.plan.Step(r.now), r.plan.Repeat(r.now)...) {
		r.carryOut(o)
	}
}

// execute carries out an action and returns the answer to the planner, unless the
// answer is to be lost.
func (r *rig) carryOut(o moves.Order) {
	h := r.hosts[o.Host]
	if o.Kind == moves.KindMaintain {
		h.info.State, h.until = glade.HostUpkeep, r.now.Add(2*time.Second)
		h.kept++
	} else {
		h.info.State, h.until = glade.HostMoving, r.now.Add(1500*time.Millisecond)
		h.info.Pool = o.Pool
		r.moved++
	}
	if r.lost[o.Host] {
		delete(r.lost, o.Host)
		r.plan.Ordered(o, "", fmt.Errorf("no answer"), r.now)
		return
	}
	r.plan.Ordered(o, glade.HostAccepted, nil, r.now)
}

func wave(most int, hosts ...glade.Host) glade.WaveOrder {
	return glade.WaveOrder{Wave: 1, Hosts: hosts, Most: most, Within: 30 * time.Second}
}

func TestWave(t *testing.T) {
	t.Run("maintains every host, and never more at once than allowed", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 9, "b": 9})
		hosts := []glade.Host{"a0", "a1", "a2", "a3", "b0", "b1", "b2"}
		r.plan.SetWave(wave(2, hosts...), nil, nil, r.now, r.now)
		r.play(25 * time.Second)
		for _, host := range hosts {
			r.c.Assert(r.hosts[host].kept, qt.Equals, 1)
		}
		r.c.Assert(r.most <= 2, qt.IsTrue)
		r.c.Assert(r.plan.Finished(), qt.DeepEquals, []int64{1})
	})
	t.Run("counts a host as down if its action got no answer", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 9})
		r.lost["a0"] = true
		r.plan.SetWave(wave(1, "a0", "a1", "a2"), nil, nil, r.now, r.now)
		r.play(25 * time.Second)
		r.c.Assert(r.most, qt.Equals, 1)
		r.c.Assert(r.plan.Finished(), qt.DeepEquals, []int64{1})
	})
	expectAlone := func(name string, hide func(r *rig)) {
		t.Run(name, func(t *testing.T) {
			r := newRig(qt.New(t), map[glade.Service]int{"a": 9})
			hide(r)
			r.plan.SetWave(wave(2, "a0", "a1"), nil, nil, r.now, r.now)
			r.play(10 * time.Second)
			r.c.Assert(r.hosts["a0"].kept, qt.Equals, 0)
			r.c.Assert(r.hosts["a1"].kept, qt.Equals, 1)
		})
	}
	expectAlone("skips a host whose runner has not answered the service's leader", func(r *rig) { r.unheld["a0"] = true })
	expectAlone("skips a host whose runner the service's leader does not list", func(r *rig) { r.unlisted["a0"] = true })
	t.Run("continues the actions of an earlier leader", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 9})
		r.plan.SetWave(wave(2, "a0", "a1", "a2"), []glade.Host{"a0"}, []glade.Host{"a1"}, r.now, r.now)
		r.step()
		begun, ordered := r.plan.Progress(1)
		r.c.Assert(begun, qt.DeepEquals, []glade.Host{"a0"})
		r.c.Assert(ordered, qt.DeepEquals, []glade.Host{"a1"})
		r.play(20 * time.Second)
		r.c.Assert(r.hosts["a0"].kept, qt.Equals, 0)
		r.c.Assert(r.plan.Finished(), qt.DeepEquals, []int64{1})
	})
}

func TestMoves(t *testing.T) {
	t.Run("add spare hosts to a pool with more demand", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 4, "b": 4, spare: 4})
		r.demand["a"] = 7 * hostCPU
		r.play(3 * time.Second)
		r.c.Assert(r.size("a") >= 8, qt.IsTrue)
	})
	t.Run("add a host for a long-running task that fits nowhere", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 4, spare: 2})
		for _, h := range r.hosts {
			h.runs, h.lasting = 1, 1
		}
		r.idle = 1
		r.play(2 * time.Second)
		r.c.Assert(r.size("a"), qt.Equals, 5)
	})
	t.Run("add no more hosts for long-running tasks while enough are being moved", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 2, spare: 9})
		for _, h := range r.hosts {
			h.runs, h.lasting = 1, 1
		}
		r.idle = 3
		r.play(1800 * time.Millisecond)
		r.c.Assert(r.moved, qt.Equals, 3)
	})
	t.Run("size a pool by memory if that is the limit", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 2, spare: 6})
		r.memory = 5 * hostMemory
		r.play(3 * time.Second)
		r.c.Assert(r.size("a") >= 5, qt.IsTrue)
	})
	t.Run("add hosts ahead of a periodic burst", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 2, "b": 2, spare: 8})
		for range 3 {
			r.demand["a"] = 6 * hostCPU
			r.play(4 * time.Second)
			r.demand["a"] = 0
			r.play(7 * time.Second)
			r.c.Assert(r.size("a") <= 2, qt.IsTrue)
			r.play(3 * time.Second)
		}
		r.c.Assert(r.size("a") >= 6, qt.IsTrue)
	})
	t.Run("derive no period from two bursts", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 2, "b": 2, spare: 8})
		for _, high := range []time.Duration{3 * time.Second, 1200 * time.Millisecond} {
			r.demand["a"] = 6 * hostCPU
			r.play(high)
			r.demand["a"] = 0
			r.play(3 * time.Second)
		}
		r.play(2400 * time.Millisecond)
		r.c.Assert(r.size("a") <= 3, qt.IsTrue, qt.Commentf("%d", r.size("a")))
	})
	t.Run("provide for a rising demand at the time when a host arrives", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 2, "b": 2, spare: 8})
		r.play(3 * time.Second)
		r.demand["a"], r.rise["a"] = 2*hostCPU, hostCPU
		r.play(2 * time.Second)
		// Two hosts for the work, one in reserve for the next batch, and two for the rise.
		r.c.Assert(r.size("a") >= 5, qt.IsTrue, qt.Commentf("%d", r.size("a")))
		r.c.Assert(r.size("a") <= 6, qt.IsTrue)
	})
	t.Run("return idle hosts to the spare pool, except for the reserve", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 6, spare: 0})
		r.play(10 * time.Second)
		r.c.Assert(r.size("a"), qt.Equals, 1)
		r.c.Assert(r.size(spare), qt.Equals, 5)
	})
	t.Run("take hosts that run only short tasks for a pool with more demand", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 6, "b": 2})
		for _, h := range r.hosts {
			h.runs = 1
		}
		r.demand["b"] = 4 * hostCPU
		r.play(4 * time.Second)
		r.c.Assert(r.size("b") >= 5, qt.IsTrue)
	})
	t.Run("leave hosts with long-running tasks in their pool", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 6, "b": 2})
		for _, h := range r.hosts {
			h.runs, h.lasting = 1, 1
		}
		r.demand["b"] = 6 * hostCPU
		r.play(5 * time.Second)
		r.c.Assert(r.moved, qt.Equals, 0)
	})
	t.Run("do not follow every fluctuation of the load", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 6, "b": 6, spare: 2})
		for i := range 50 {
			r.demand["a"] = (3 + i%2) * hostCPU
			r.demand["b"] = (4 - i%2) * hostCPU
			r.play(400 * time.Millisecond)
		}
		r.c.Assert(r.moved <= 8, qt.IsTrue, qt.Commentf("moved %d", r.moved))
	})
}
