package moves

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/sched"
)

// demandTracker tracks the demand of a service.
type need struct {
	// smoothed is the demand in millicores. It rises at once and falls slowly.
	recent float64
	at     time.Time
	turns  turns
}

// Times and limits that size the pools.
const (
	// demandDecay sets how fast the smoothed demand falls once the demand is gone: each
	// update lowers it by half the share of demandDecay that has passed since the last
	// one. The time is short against a burst of some seconds, and long against the gap
	// between two batches.
	fallTime = 1500 * time.Millisecond
	// maxLoadAge is the age above which a load is not used.
	freshTime = 1500 * time.Millisecond
	// minPoolStay is how long a host stays in a pool at least. A move costs as much as
	// keeping the host for about a second, and the moves there and back must pay off.
	stayTime = 2500 * time.Millisecond
	// headroomFactor times the demand is the capacity to provide.
	headShare = 1.15
	// maxRise bounds the increase expected from a rising demand, as a share of the
	// present one: a few batches that arrive at once look like a steep rise too.
	riseMost = 1.0
	// reserveHosts are kept beyond the headroom for the next batch.
	spareHosts = 1
)

// observe adds a load: the work that waits and runs, or the work that arrives,
// whichever is more.
func (n *need) see(load sched.Load, now time.Time) {
	demand := max(load.Demand, load.Offered)
	n.turns.see(float64(load.Offered), now)
	if !n.at.IsZero() {
		share := float64(now.Sub(n.at)) / float64(fallTime)
		n.recent *= max(1-share/2, 0)
	}
	n.recent = max(n.recent, float64(demand))
	n.at = now
}

// poolState is the present and the wanted size of a pool, in hosts.
type pool struct {
	service glade.Service
	has     int
	wants   int
	// ahead is the size wanted for the demand that is forecast and for work that is
	// already late. Hosts for it are assigned only while no pool wants them for work
	// that can still finish in time.
	ahead int
	// idle are the hosts that could leave because nothing runs on them. busy are those
	// that run only short tasks, the ones with the fewest first.
	free, busy []glade.Host
}

// planMoves plans moves to pools that are smaller than wanted. Hosts come from the
// spare pools first, then from pools with a surplus. Hosts that no pool wants go to
// a spare pool, where they cost nothing.
func (p *Plan) planMoves(now time.Time) {
	if len(p.spare) == 0 && len(p.loads) < 2 {
		return
	}
	var pools []*pool
	for service := range p.loads {
		if own := p.pool(service, now); own != nil {
			pools = append(pools, own)
		}
	}
	slices.SortFunc(pools, func(a, b *pool) int {
		return cmp.Or(cmp.Compare(b.wants-b.has, a.wants-a.has), cmp.Compare(a.service, b.service))
	})
	p.lastPools = make(map[glade.Service]*pool, len(pools))
	for _, own := range pools {
		p.lastPools[own.service] = own
	}
	idle := p.idleSpare()
	for _, own := range pools {
		idle = p.fill(own, own.wants, idle, pools, now)
	}
	for _, own := range pools {
		idle = p.fill(own, own.ahead, idle, pools, now)
	}
	p.rest(pools, now)
	p.tell(pools, len(idle), now)
}

// poolLogPeriod is the time between two log lines on the sizes of the pools.
const tellPeriod = time.Second

// logPools logs the present and the wanted size of each pool.
func (p *Plan) tell(pools []*pool, idle int, now time.Time) {
	if now.Sub(p.toldAt) < tellPeriod {
		return
	}
	p.toldAt = now
	pairs := []any{"spare", idle}
	for _, own := range pools {
		load := p.loads[own.service]
		pairs = append(pairs, string(own.service), fmt.Sprintf("hosts %d wanted %d idle %d; cores demanded %d offered %d long-running %d; hosts for spread %d",
			own.has, own.wants, len(own.free), load.Demand/1000, load.Offered/1000, load.Lasting/1000, load.Hosts))
	}
	p.event("pools", pairs...)
}

// fill moves hosts to a pool until it has the given number or none can be moved,
// and returns the idle spare hosts that are left.
func (p *Plan) fill(own *pool, hosts int, idle []glade.Host, pools []*pool, now time.Time) []glade.Host {
	for own.has < hosts && len(idle) > 0 {
		p.move(idle[0], own.service, now)
		idle = idle[1:]
		own.has++
	}
	for own.has < hosts {
		host := takeSurplus(pools, own)
		if host == "" {
			break
		}
		own.has++
		p.move(host, own.service, now)
	}
	return idle
}

// releaseSurplus moves idle hosts that no pool wants to the spare pool.
func (p *Plan) rest(pools []*pool, now time.Time) {
	spare := p.sparePool()
	if spare == "" {
		return
	}
	for _, own := range pools {
		for own.has > max(own.wants, own.ahead) && len(own.free) > 0 {
			p.move(own.free[0], spare, now)
			own.free = own.free[1:]
			own.has--
		}
	}
}

// takeSurplus takes a host from the pool with the largest surplus: an idle host, or
// else one that will be idle once its short tasks have ended. After a burst there
// are many of these, and the next queue waits for them. It returns "" if no other
// pool has a surplus.
func takeSurplus(pools []*pool, asker *pool) glade.Host {
	var best *pool
	for _, own := range pools {
		if own != asker && own.has > own.wants && len(own.free)+len(own.busy) > 0 &&
			(best == nil || own.has-own.wants > best.has-best.wants) {
			best = own
		}
	}
	if best == nil {
		return ""
	}
	best.has--
	list := &best.free
	if len(best.free) == 0 {
		list = &best.busy
	}
	host := (*list)[0]
	*list = (*list)[1:]
	return host
}

// planMove plans the move of a host; the host is drained first.
func (p *Plan) move(host glade.Host, to glade.Service, now time.Time) {
	p.tasks[host] = &task{order: Order{Host: host, Kind: KindMove, Pool: to}, since: now}
	p.event("move", "host", host, "from", p.hosts[host].Pool, "to", to)
}

// poolState returns the state of a service's pool. It returns nil for a spare pool,
// and if the load or the host size is not known well enough to plan moves.
func (p *Plan) pool(service glade.Service, now time.Time) *pool {
	n := p.needs[service]
	load := p.loads[service]
	if n == nil || now.Sub(n.at) > freshTime || p.spare[service] {
		return nil
	}
	own := &pool{service: service}
	size, memory, coming := 0, 0, 0
	runners := make(map[glade.RunnerID]sched.RunnerLoad, len(load.Runners))
	for _, r := range load.Runners {
		runners[r.ID] = r
	}
	for host, info := range p.hosts {
		t := p.tasks[host]
		switch {
		case t != nil && t.order.Kind == KindMove && t.order.Pool == service:
			own.has++
			coming++
		case info.Pool != service || info.State == glade.HostDown,
			t != nil && t.order.Kind == KindMove:
			continue
		default:
			own.has++
			r, ok := runners[info.Runner]
			if !ok || !r.Held {
				coming++
			}
			switch {
			case !ok || t != nil || info.State != glade.HostUp || !r.Held || !p.hasStayed(host, now):
			case r.Runs == 0:
				own.free = append(own.free, host)
			case r.Lasting == 0:
				own.busy = append(own.busy, host)
			}
		}
		size, memory = max(size, info.Room.CPU), max(memory, info.Room.Memory)
	}
	if size == 0 {
		size = p.hostSize()
	}
	if size == 0 {
		return nil
	}
	hosts := (float64(load.Lasting) + n.recent*headShare) / float64(size)
	later := max(p.forecast(n, now)*headShare, float64(load.Demand+load.Late), p.rising(load)*headShare)
	own.ahead = int(math.Ceil((float64(load.Lasting) + later) / float64(size)))
	if memory > 0 {
		hosts = max(hosts, float64(load.Memory)/float64(memory))
	}
	own.wants = max(int(math.Ceil(hosts)), load.Hosts) + spareHosts
	if load.Idle > 0 {
		// Enough capacity in sum can still leave no place for tasks that are large or
		// must be spread. Hosts that are about to join the pool may be enough.
		own.wants = max(own.wants, own.has-coming+load.Idle)
	}
	slices.SortFunc(own.busy, func(a, b glade.Host) int {
		return cmp.Or(cmp.Compare(runners[p.hosts[a].Runner].Runs, runners[p.hosts[b].Runner].Runs), cmp.Compare(a, b))
	})
	slices.SortFunc(own.free, func(a, b glade.Host) int {
		return cmp.Or(cmp.Compare(p.hosts[a].Rack, p.hosts[b].Rack), cmp.Compare(a, b))
	})
	return own
}

// extrapolate returns the demand that will be offered to a service when a host that
// is moved now has joined its pool, in millicores.
func (p *Plan) rising(load sched.Load) float64 {
	offered := float64(load.Offered)
	more := float64(load.Rise) * (p.config.MoveTime + leadSlack).Seconds()
	return offered + min(max(more, 0), riseMost*offered)
}

// maxHostCPU returns the size of the largest host, in millicores.
func (p *Plan) hostSize() int {
	size := 0
	for _, info := range p.hosts {
		size = max(size, info.Room.CPU)
	}
	return size
}

// hasStayed reports whether a host has been in its pool for minPoolStay.
func (p *Plan) hasStayed(host glade.Host, now time.Time) bool {
	at, ok := p.arrived[host]
	return !ok || now.Sub(at) > stayTime
}

// sparePool returns the first spare pool by name, and "" if there is none.
func (p *Plan) sparePool() glade.Service {
	var best glade.Service
	for service := range p.spare {
		if best == "" || service < best {
			best = service
		}
	}
	return best
}

// idleSpareHosts returns the hosts of spare pools that are up and have no pending
// action.
func (p *Plan) idleSpare() []glade.Host {
	var idle []glade.Host
	for host, info := range p.hosts {
		if _, busy := p.tasks[host]; !busy && p.spare[info.Pool] && info.State == glade.HostUp {
			idle = append(idle, host)
		}
	}
	slices.Sort(idle)
	return idle
}

// Lend returns, for each service, the capacity of the hosts that other pools could
// move to its pool, in millicores.
func (p *Plan) Lend() map[glade.Service]int {
	total := 0
	free := make(map[glade.Service]int)
	for _, host := range p.idleSpare() {
		total += p.hosts[host].Room.CPU
	}
	for service, own := range p.lastPools {
		for range min(len(own.free), max(own.has-own.wants, 0)) {
			free[service] += p.hostSize()
		}
		total += free[service]
	}
	lend := make(map[glade.Service]int)
	for service := range p.loads {
		lend[service] = total - free[service]
	}
	return lend
}
