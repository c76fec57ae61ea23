package moves_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/moves"
	"indigoglade/sched"
)

// livesRig is a planner with one host, whose runner does not answer the leader of its service.
type livesRig struct {
	planner *moves.Planner
	now     time.Time
}

func newLivesRig() *livesRig {
	s := &livesRig{planner: moves.New(moves.Config{}), now: time.Unix(1_000_000, 0)}
	s.read(glade.HostInfo{Host: "m", Pool: "a", State: glade.HostUp, Runner: "r1"})
	s.planner.SetLoad("a", sched.Load{Unresponsive: []glade.RunnerID{"r1"}}, s.now)
	return s
}

// read reads an inventory of a sound host and the given ones.
func (s *livesRig) read(hosts ...glade.HostInfo) {
	s.planner.SetHosts(append(hosts, glade.HostInfo{Host: "other", Pool: "a", State: glade.HostUp, Runner: "r9"}))
}

func expectGone(t *testing.T, s *livesRig, ids ...glade.RunnerID) {
	t.Helper()
	qt.Assert(t, s.planner.RunnersGone()["a"], qt.DeepEquals, ids)
}

// TestRunnersOfListedHosts guards against work that is given up, and started again, while it goes on: the state of a
// host, or an entry that is missing, is taken for the end of its runner.
func TestRunnersOfListedHosts(t *testing.T) {
	for _, c := range []struct {
		name string
		host []glade.HostInfo
	}{
		{"down", []glade.HostInfo{{Host: "m", Pool: "a", State: glade.HostDown, Runner: "r1"}}},
		{"down without a runner", []glade.HostInfo{{Host: "m", Pool: "a", State: glade.HostDown}}},
		{"moving", []glade.HostInfo{{Host: "m", Pool: "a", State: glade.HostMoving, Runner: "r1"}}},
		{"in maintenance", []glade.HostInfo{{Host: "m", Pool: "a", State: glade.HostMaintenance, Runner: "r1"}}},
		{"up without a runner", []glade.HostInfo{{Host: "m", Pool: "a", State: glade.HostUp}}},
		{"unreadable", []glade.HostInfo{{Host: "m", State: glade.HostUnknown, Runner: "r2"}}},
		{"missing", nil},
	} {
		t.Run("a runner whose host is "+c.name+" may work on", func(t *testing.T) {
			s := newLivesRig()
			s.read(c.host...)
			expectGone(t, s)
			qt.Assert(t, s.planner.RunnersDown()["a"], qt.DeepEquals, []glade.RunnerID{"r1"})
		})
	}
	t.Run("a runner whose host has another one is gone", func(t *testing.T) {
		s := newLivesRig()
		s.read(glade.HostInfo{Host: "m", Pool: "a", State: glade.HostDown, Runner: "r1"})
		s.read(glade.HostInfo{Host: "m", Pool: "a", State: glade.HostUp, Runner: "r2"})
		expectGone(t, s, "r1")
	})
	t.Run("also if the new one is in another pool", func(t *testing.T) {
		s := newLivesRig()
		s.read(glade.HostInfo{Host: "m", Pool: "b", State: glade.HostUp, Runner: "r2"})
		expectGone(t, s, "r1")
	})
	t.Run("also if the new one is down by now, or the entry can't be read", func(t *testing.T) {
		s := newLivesRig()
		s.read(glade.HostInfo{Host: "m", Pool: "a", State: glade.HostUp, Runner: "r2"})
		s.read(glade.HostInfo{Host: "m", Pool: "a", State: glade.HostDown})
		expectGone(t, s, "r1")
		s.read(glade.HostInfo{Host: "m", State: glade.HostUnknown})
		expectGone(t, s, "r1")
	})
	t.Run("a runner that an older reading lists again is not gone", func(t *testing.T) {
		s := newLivesRig()
		s.read(glade.HostInfo{Host: "m", Pool: "a", State: glade.HostUp, Runner: "r2"})
		s.read(glade.HostInfo{Host: "m", Pool: "a", State: glade.HostUp, Runner: "r1"})
		expectGone(t, s)
	})
	t.Run("a runner that no reading has listed is not gone", func(t *testing.T) {
		s := newLivesRig()
		s.planner.SetLoad("a", sched.Load{Unresponsive: []glade.RunnerID{"r0"}}, s.now)
		expectGone(t, s)
	})
	t.Run("a runner that an earlier leader has listed is gone once two readings name another one", func(t *testing.T) {
		s := newLivesRig()
		s.planner = moves.New(moves.Config{})
		s.planner.RestoreRunners(map[glade.Host]glade.RunnerID{"m": "r1"})
		s.planner.SetLoad("a", sched.Load{Unresponsive: []glade.RunnerID{"r1"}}, s.now)
		expectGone(t, s)
		s.read(glade.HostInfo{Host: "m", Pool: "a", State: glade.HostUp, Runner: "r2"})
		expectGone(t, s)
		s.read(glade.HostInfo{Host: "m", Pool: "a", State: glade.HostUp, Runner: "r2"})
		expectGone(t, s, "r1")
	})
	t.Run("and not if the first reading was older", func(t *testing.T) {
		s := newLivesRig()
		s.planner = moves.New(moves.Config{})
		s.planner.RestoreRunners(map[glade.Host]glade.RunnerID{"m": "r1"})
		s.planner.SetLoad("a", sched.Load{Unresponsive: []glade.RunnerID{"r1"}}, s.now)
		for _, id := range []glade.RunnerID{"r0", "r1", "r1"} {
			s.read(glade.HostInfo{Host: "m", Pool: "a", State: glade.HostUp, Runner: id})
			expectGone(t, s)
		}
	})
	t.Run("a runner that is listed on another host is not gone", func(t *testing.T) {
		s := newLivesRig()
		s.read(glade.HostInfo{Host: "m", Pool: "a", State: glade.HostUp, Runner: "r2"}, glade.HostInfo{Host: "n", Pool: "a", State: glade.HostUp, Runner: "r1"})
		expectGone(t, s)
	})
}

// TestInventoryThatGoesBack guards against two runs of a task: an older reading makes the present runner of a host count as ended.
func TestInventoryThatGoesBack(t *testing.T) {
	s := newLivesRig()
	list := func(id glade.RunnerID) { s.read(glade.HostInfo{Host: "m", Pool: "a", State: glade.HostUp, Runner: id}) }
	list("r2")
	s.planner.SetLoad("a", sched.Load{Unresponsive: []glade.RunnerID{"r1", "r2"}}, s.now)
	expectGone(t, s, "r1")
	list("r1")
	expectGone(t, s)
	list("r2")
	expectGone(t, s, "r1")
}
