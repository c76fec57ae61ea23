package moves_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/moves"
	"indigoglade/sched"
)

// TestHostWithoutRunner guards against orders that end tasks at work: a host that the inventory lists as up without a
// runner is taken for empty, whatever the leader of its service hears from the runner there.
func TestHostWithoutRunner(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	setUp := func(t *testing.T, earlier glade.RunnerID) (*moves.Planner, func(runner sched.RunnerLoad) []moves.Action) {
		t.Helper()
		host := glade.HostInfo{Host: "a0", Pool: "a", State: glade.HostUp, Runner: earlier, Capacity: glade.Need{CPU: hostCPU, Memory: hostMemory}}
		p := moves.New(moves.Config{MoveDowntime: 1500 * time.Millisecond, MaintenanceDowntime: 2 * time.Second})
		p.SetHosts([]glade.HostInfo{host})
		host.Runner = ""
		p.SetHosts([]glade.HostInfo{host})
		p.AddWave(wave(1, "a0"), nil, nil, now, now)
		return p, func(runner sched.RunnerLoad) []moves.Action {
			p.SetLoad("a", sched.Load{Capacity: hostCPU, Runners: []sched.RunnerLoad{runner}}, now)
			return p.Step(now)
		}
	}
	t.Run("keeps the tasks of the runner that it had", func(t *testing.T) {
		_, step := setUp(t, "r1")
		qt.Assert(t, step(sched.RunnerLoad{ID: "r1", Responsive: true, Runs: 2}), qt.HasLen, 0)
	})
	t.Run("is emptied, and ordered then", func(t *testing.T) {
		p, step := setUp(t, "r1")
		step(sched.RunnerLoad{ID: "r1", Responsive: true, Runs: 2})
		qt.Assert(t, p.Evacuating()["a"], qt.DeepEquals, []glade.RunnerID{"r1"})
		qt.Assert(t, step(sched.RunnerLoad{ID: "r1", Responsive: true, Evacuating: true}), qt.HasLen, 1)
	})
	t.Run("is not ordered while no runner of it is known", func(t *testing.T) {
		_, step := setUp(t, "")
		qt.Assert(t, step(sched.RunnerLoad{ID: "r1", Responsive: true, Runs: 2}), qt.HasLen, 0)
	})
}
