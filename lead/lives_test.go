package lead

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/memory"
	"indigoglade/sched"
)

// newFleet returns a leader of the fleet duty that has loaded its rows from a table.
func newFleet(t *testing.T, table *memory.PartitionedTable) *FleetLeader {
	t.Helper()
	m := newLoadedManager()
	m.config.PartitionedTable = table
	f := newFleetLeader(m, &leadership{manager: m, service: fleetService, term: Term{Node: "h1", Epoch: 1}, clock: clock.System{}})
	qt.Assert(t, f.loadLives(t.Context()), qt.IsNil)
	return f
}

// TestRunnersOfEarlierLeader guards against inherited work that waits for the end of all leases, because a new leader of the
// fleet duty does not know that a runner was replaced while nobody led.
func TestRunnersOfEarlierLeader(t *testing.T) {
	for _, c := range []struct {
		name        string
		hosts, rows int
		prefix      string
	}{
		{"of a small fleet", 50, 1, "m"},
		{"in several rows", 1000, 3, strings.Repeat("m", 60)},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := memory.NewPartitionedTable()
			list := func(life string) []glade.HostInfo {
				var hosts []glade.HostInfo
				for i := range c.hosts {
					name := fmt.Sprintf("%s%d", c.prefix, i)
					hosts = append(hosts, glade.HostInfo{Host: glade.Host(name), Pool: testService, State: glade.HostUp, Runner: glade.RunnerID(name + life)})
				}
				return hosts
			}
			first := newFleet(t, table)
			first.planner.SetHosts(list("-1"))
			now := time.Now()
			rows := first.changedLives(now)
			qt.Assert(t, len(rows), qt.Equals, c.rows)
			for _, row := range rows {
				qt.Assert(t, len(row.Value) <= glade.MaxRowBytes, qt.IsTrue)
			}
			table.Put(rows...)
			qt.Assert(t, first.changedLives(now.Add(time.Hour)), qt.HasLen, 0)
			second := newFleet(t, table)
			second.planner.SetHosts(list("-2"))
			second.planner.SetHosts(list("-2"))
			ids := []glade.RunnerID{list("-1")[0].Runner, list("-1")[c.hosts-1].Runner}
			second.planner.SetLoad(testService, sched.Load{Unresponsive: ids}, now)
			qt.Assert(t, second.planner.RunnersGone()[testService], qt.DeepEquals, ids)
		})
	}
	t.Run("is written again once it has changed, but not at once", func(t *testing.T) {
		f := newFleet(t, memory.NewPartitionedTable())
		now := time.Now()
		read := func(id glade.RunnerID) {
			f.planner.SetHosts([]glade.HostInfo{{Host: "m", Pool: testService, State: glade.HostUp, Runner: id}})
		}
		read("r1")
		qt.Assert(t, f.changedLives(now), qt.HasLen, 1)
		read("r2")
		qt.Assert(t, f.changedLives(now.Add(livesPeriod/2)), qt.HasLen, 0)
		qt.Assert(t, f.changedLives(now.Add(livesPeriod)), qt.HasLen, 1)
	})
	t.Run("is unknown if a row can't be read", func(t *testing.T) {
		table := memory.NewPartitionedTable()
		table.Put(glade.PartitionRow{Table: tableLives, Part: string(fleetService), Key: livesKey(0), Value: []byte("{")})
		qt.Assert(t, newFleet(t, table).planner.Runners(), qt.HasLen, 0)
	})
}
