package moves

import (
	"cmp"
	"slices"
	"time"

	glade "indigoglade"
)

// Shares that limit maintenance.
const (
	lowLoadShare  = 0.34 // of a pool's hosts that may be unavailable at once if its load is low
	highLoadShare = 0.12 // of a pool's hosts that may be unavailable at once if its load is high
	highLoad      = 0.6  // of a pool's capacity, above which its load is high
	waveTimeShare = 0.8  // of a wave's time limit, within which the wave should finish
)

// planWaves picks hosts to drain for maintenance.
func (p *Planner) planWaves(now time.Time) {
	for _, w := range p.waves {
		if w.done {
			continue
		}
		quota := w.spec.MaxDown - p.inProgressCount(w, now)
		if quota <= 0 {
			continue
		}
		usage := p.poolUsage()
		for _, host := range p.candidates(w) {
			if quota == 0 {
				break
			}
			pool := usage[p.hosts[host].Pool]
			if !p.canSpare(w, host, pool, now) {
				continue
			}
			pool.unavailable++
			p.pending[host] = &hostAction{spec: Action{Host: host, Kind: KindMaintain, Wave: w.spec.Wave}, since: now}
			p.event("empty", "host", host, "wave", w.spec.Wave, "pool", p.hosts[host].Pool)
			quota--
		}
	}
}

// inProgressCount returns the number of hosts of a wave that are down or being
// drained for it.
func (p *Planner) inProgressCount(w *wave, now time.Time) int {
	n := 0
	for _, host := range w.spec.Hosts {
		a, ok := p.pending[host]
		if p.isDown(w, host, now) || (ok && a.spec.Kind == KindMaintain && a.spec.Wave == w.spec.Wave) {
			n++
		}
	}
	return n
}

// candidates returns the hosts of a wave that are up, not maintained yet and have
// no pending action. Hosts that could not be drained come last, else they would keep the
// others waiting. Hosts of the least loaded pools come first, then those with the fewest
// long-running tasks.
func (p *Planner) candidates(w *wave) []glade.Host {
	var list []glade.Host
	for _, host := range w.spec.Hosts {
		_, started := w.started[host]
		info, listed := p.hosts[host]
		if _, busy := p.pending[host]; started || busy || !listed || p.isHeld(host) || info.State != glade.HostUp {
			continue
		}
		list = append(list, host)
	}
	slices.SortFunc(list, func(a, b glade.Host) int {
		return cmp.Or(cmp.Compare(w.undrained[a], w.undrained[b]), cmp.Compare(p.poolLoad(a), p.poolLoad(b)), cmp.Compare(p.longRunningTasks(a), p.longRunningTasks(b)), cmp.Compare(a, b))
	})
	return list
}

// poolLoad returns the load of a host's pool as a share of its capacity; -1 for a
// spare pool.
func (p *Planner) poolLoad(host glade.Host) float64 {
	info := p.hosts[host]
	if p.isSpare[info.Pool] {
		return -1
	}
	load := p.loads[info.Pool]
	if load.Capacity == 0 {
		return 0
	}
	return float64(load.Demand+load.LongRunning) / float64(load.Capacity)
}

// longRunningTasks returns the number of long-running tasks on a host.
func (p *Planner) longRunningTasks(host glade.Host) int {
	info := p.hosts[host]
	return p.runners[info.Pool][info.Runner].LongRunning
}

// poolUse counts the hosts of a pool, and those with a pending action or not up.
type poolUse struct{ size, unavailable int }

func (p *Planner) poolUsage() map[glade.Service]*poolUse {
	usage := make(map[glade.Service]*poolUse)
	for host, info := range p.hosts {
		pool, ok := usage[info.Pool]
		if !ok {
			pool = &poolUse{}
			usage[info.Pool] = pool
		}
		pool.size++
		if _, busy := p.pending[host]; busy || info.State != glade.HostUp {
			pool.unavailable++
		}
	}
	return usage
}

// canSpare reports whether a host's pool can do without one more host now. A wave
// that is behind schedule may take as many hosts of a pool with a high load as of
// any other.
func (p *Planner) canSpare(w *wave, host glade.Host, pool *poolUse, now time.Time) bool {
	if p.isSpare[p.hosts[host].Pool] {
		return true
	}
	share := lowLoadShare
	if p.poolLoad(host) > highLoad && !p.isBehindSchedule(w, now) {
		share = highLoadShare
	}
	return pool.unavailable+1 <= max(int(share*float64(pool.size)), 1)
}

// isBehindSchedule reports whether the share of a wave's hosts whose maintenance has
// started is smaller than the share of its planned time that has passed. The planned
// time is waveTimeShare of the time limit. A wave without a limit or without hosts
// counts as behind.
func (p *Planner) isBehindSchedule(w *wave, now time.Time) bool {
	if w.spec.Within <= 0 || len(w.spec.Hosts) == 0 {
		return true
	}
	due := float64(now.Sub(w.since)) / (float64(w.spec.Within) * waveTimeShare)
	return float64(len(w.started)) < due*float64(len(w.spec.Hosts))
}
