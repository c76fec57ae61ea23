package moves_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/moves"
	"indigoglade/sched"
)

// TestOldLoad guards against orders that end tasks at work: the leader of a service that is not reached ends an evacuation,
// and its hosts run tasks again.
func TestOldLoad(t *testing.T) {
	c, now := qt.New(t), time.Unix(1_000_000, 0)
	p := moves.New(moves.Config{MoveDowntime: 1500 * time.Millisecond, MaintenanceDowntime: 2 * time.Second})
	var hosts []glade.HostInfo
	load := sched.Load{Capacity: 3 * hostCPU}
	for _, host := range []glade.Host{"a0", "a1", "a2"} {
		id := glade.RunnerID(host)
		hosts = append(hosts, glade.HostInfo{Host: host, Pool: "a", State: glade.HostUp, Runner: id, Capacity: glade.Need{CPU: hostCPU, Memory: hostMemory}})
		load.Runners = append(load.Runners, sched.RunnerLoad{ID: id, Responsive: true, Evacuating: true})
	}
	p.SetHosts(hosts)
	p.AddWave(wave(1, "a0", "a1"), nil, nil, now, now)
	p.SetLoad("a", load, now)
	first := p.Step(now)
	c.Assert(first, qt.HasLen, 1)
	p.HandleAnswer(first[0], glade.HostAccepted, nil, now)
	for range 25 {
		now = now.Add(200 * time.Millisecond)
		p.SetHosts(hosts)
		orders := p.Step(now)
		c.Assert(orders, qt.HasLen, 0, qt.Commentf("ordered %v", orders))
	}
	p.SetLoad("a", load, now)
	c.Assert(p.Step(now), qt.HasLen, 1)
}

// TestOldRepetition guards against the same for an order without an answer: it was decided on when its host was empty.
func TestOldRepetition(t *testing.T) {
	c, now := qt.New(t), time.Unix(1_000_000, 0)
	p := moves.New(moves.Config{MoveDowntime: 1500 * time.Millisecond, MaintenanceDowntime: 2 * time.Second})
	runner := sched.RunnerLoad{ID: "a0", Responsive: true, Evacuating: true}
	p.SetHosts([]glade.HostInfo{{Host: "a0", Pool: "a", State: glade.HostUp, Runner: "a0", Capacity: glade.Need{CPU: hostCPU, Memory: hostMemory}}})
	p.AddWave(wave(1, "a0"), nil, nil, now, now)
	set := func() { p.SetLoad("a", sched.Load{Capacity: hostCPU, Runners: []sched.RunnerLoad{runner}}, now) }
	set()
	first := p.Step(now)
	c.Assert(first, qt.HasLen, 1)
	p.HandleAnswer(first[0], "", errors.New("no answer"), now)
	runner.Evacuating, runner.Runs = false, 2
	for range 15 {
		now = now.Add(200 * time.Millisecond)
		set()
		c.Assert(p.UnansweredActions(now), qt.HasLen, 0)
	}
	runner.Evacuating, runner.Runs = true, 0
	set()
	c.Assert(p.UnansweredActions(now), qt.HasLen, 1)
}
