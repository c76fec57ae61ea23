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

// rig plays the inventory and the leads of the services for a Plan.
type rig struct {
	c     *qt.C
	now   time.Time
	plan  *moves.Plan
	hosts map[glade.Host]*fakeHost
	// demand and runs are what each service asks, and each host runs.
	demand map[glade.Service]int
	moved  int
	idle   int // lasting tasks of service a without a place
	memory int // of service a
	most   int // hosts down for maintenance at once, at the most
	lost   map[glade.Host]bool
	// rise is by how much the demand of each service rises in a second.
	rise map[glade.Service]int
	// unheld runners have not answered the lead of their service, unlisted ones
	// it does not know.
	unheld, unlisted map[glade.Host]bool
}

type fakeHost struct {
	info glade.HostInfo
	runs int
	// lasting counts the runs that last.
	lasting int
	until   time.Time
	kept    int // how often it was maintained
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

func (r *rig) size(service glade.Service) int {
	n := 0
	for _, h := range r.hosts {
		if h.info.Pool == service {
			n++
		}
	}
	return n
}

// up counts the hosts of a pool that are there.
func (r *rig) up(service glade.Service) int {
	n := 0
	for _, h := range r.hosts {
		if h.info.Pool == service && h.info.State == glade.HostUp {
			n++
		}
	}
	return n
}

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
	t.Run("maintains every host, at most so many at once", func(t *testing.T) {
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
	t.Run("counts a host whose order got no answer as down", func(t *testing.T) {
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
	expectAlone("leaves a host alone whose runner its service has not heard", func(r *rig) { r.unheld["a0"] = true })
	expectAlone("leaves a host alone whose runner its service does not list", func(r *rig) { r.unlisted["a0"] = true })
	t.Run("goes on from what an earlier lead has ordered", func(t *testing.T) {
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
	t.Run("bring spare hosts to who asks for more", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 4, "b": 4, spare: 4})
		r.demand["a"] = 7 * hostCPU
		r.play(3 * time.Second)
		r.c.Assert(r.size("a") >= 8, qt.IsTrue)
	})
	t.Run("bring a host for a lasting task that finds no place", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 4, spare: 2})
		for _, h := range r.hosts {
			h.runs, h.lasting = 1, 1
		}
		r.idle = 1
		r.play(2 * time.Second)
		r.c.Assert(r.size("a"), qt.Equals, 5)
	})
	t.Run("bring no more hosts for lasting tasks while some are on their way", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 2, spare: 9})
		for _, h := range r.hosts {
			h.runs, h.lasting = 1, 1
		}
		r.idle = 3
		r.play(1800 * time.Millisecond)
		r.c.Assert(r.moved, qt.Equals, 3)
	})
	t.Run("size a pool by memory where that binds", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 2, spare: 6})
		r.memory = 5 * hostMemory
		r.play(3 * time.Second)
		r.c.Assert(r.size("a") >= 5, qt.IsTrue)
	})
	t.Run("ask ahead of a turn that comes again", func(t *testing.T) {
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
	t.Run("take two rises for no period", func(t *testing.T) {
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
	t.Run("ask for what a rising demand will be when a host is there", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 2, "b": 2, spare: 8})
		r.play(3 * time.Second)
		r.demand["a"], r.rise["a"] = 2*hostCPU, hostCPU
		r.play(2 * time.Second)
		// Two hosts' work, one kept for the next batch, and two for the rise.
		r.c.Assert(r.size("a") >= 5, qt.IsTrue, qt.Commentf("%d", r.size("a")))
		r.c.Assert(r.size("a") <= 6, qt.IsTrue)
	})
	t.Run("send idle hosts to the spare pool, and keep some", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 6, spare: 0})
		r.play(10 * time.Second)
		r.c.Assert(r.size("a"), qt.Equals, 1)
		r.c.Assert(r.size(spare), qt.Equals, 5)
	})
	t.Run("take hosts whose short tasks end when the next queue asks", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 6, "b": 2})
		for _, h := range r.hosts {
			h.runs = 1
		}
		r.demand["b"] = 4 * hostCPU
		r.play(4 * time.Second)
		r.c.Assert(r.size("b") >= 5, qt.IsTrue)
	})
	t.Run("leave hosts alone on which lasting tasks run", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 6, "b": 2})
		for _, h := range r.hosts {
			h.runs, h.lasting = 1, 1
		}
		r.demand["b"] = 6 * hostCPU
		r.play(5 * time.Second)
		r.c.Assert(r.moved, qt.Equals, 0)
	})
	t.Run("don't follow every change of a steady load", func(t *testing.T) {
		r := newRig(qt.New(t), map[glade.Service]int{"a": 6, "b": 6, spare: 2})
		for i := range 50 {
			r.demand["a"] = (3 + i%2) * hostCPU
			r.demand["b"] = (4 - i%2) * hostCPU
			r.play(400 * time.Millisecond)
		}
		r.c.Assert(r.moved <= 8, qt.IsTrue, qt.Commentf("moved %d", r.moved))
	})
}
