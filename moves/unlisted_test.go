package moves_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/moves"
)

// TestWaveWithUnlistedHost guards against a wave that is reported as completed before the maintenance of a host has begun:
// one reading of the inventory lacks its entry.
func TestWaveWithUnlistedHost(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	other := glade.HostInfo{Host: "other", Pool: "a", State: glade.HostUp, Runner: "other"}
	host := glade.HostInfo{Host: "a0", Pool: "a", State: glade.HostUp, Runner: "a0"}
	newPlanner := func() *moves.Planner {
		p := moves.New(moves.Config{MoveDowntime: 1500 * time.Millisecond, MaintenanceDowntime: 2 * time.Second})
		p.AddWave(wave(1, "a0"), nil, nil, now, now)
		return p
	}
	t.Run("is not finished while readings of some seconds lack the host", func(t *testing.T) {
		p := newPlanner()
		for range 3 {
			for range 5 { // 3.6 s
				p.SetHosts([]glade.HostInfo{other})
				qt.Assert(t, p.FinishedWaves(), qt.HasLen, 0)
			}
			p.SetHosts([]glade.HostInfo{other, host})
			qt.Assert(t, p.FinishedWaves(), qt.HasLen, 0)
		}
	})
	t.Run("is finished once the host has left", func(t *testing.T) {
		p := newPlanner()
		for range 9 {
			p.SetHosts([]glade.HostInfo{other})
		}
		qt.Assert(t, p.FinishedWaves(), qt.DeepEquals, []int64{1})
	})
}
