package moves_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/moves"
	"indigoglade/sched"
)

// TestWaveBesideHostWithoutRunner guards against a wave that makes no progress: a host that can't be drained is chosen again and again.
func TestWaveBesideHostWithoutRunner(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := moves.New(moves.Config{MoveDowntime: 1500 * time.Millisecond, MaintenanceDowntime: 2 * time.Second})
	capacity := glade.Need{CPU: hostCPU, Memory: hostMemory}
	p.SetHosts([]glade.HostInfo{
		{Host: "a0", Pool: "a", State: glade.HostUp, Capacity: capacity},
		{Host: "a1", Pool: "a", State: glade.HostUp, Runner: "r1", Capacity: capacity},
		{Host: "a2", Pool: "a", State: glade.HostUp, Runner: "r2", Capacity: capacity},
		{Host: "a3", Pool: "a", State: glade.HostUp, Runner: "r3", Capacity: capacity},
	})
	spec := wave(1, "a0", "a1")
	spec.MaxDown = 1
	p.AddWave(spec, nil, nil, now, now)
	for end := now.Add(30 * time.Second); now.Before(end); now = now.Add(200 * time.Millisecond) {
		evacuating := len(p.Evacuating()["a"]) > 0
		p.SetLoad("a", sched.Load{Capacity: 3 * hostCPU, Runners: []sched.RunnerLoad{
			{ID: "r1", Responsive: true, Evacuating: evacuating}, {ID: "r2", Responsive: true}, {ID: "r3", Responsive: true},
		}}, now)
		if actions := p.Step(now); len(actions) > 0 {
			qt.Assert(t, actions[0].Host, qt.Equals, glade.Host("a1"))
			return
		}
	}
	t.Fatal("no host of the wave was ordered within 30 s")
}
