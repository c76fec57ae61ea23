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
type demandTracker struct {
	// smoothed is the demand in millicores. It rises at once and falls slowly.
	smoothed  float64
	updatedAt time.Time
	bursts    burstDetector
	unplaced  unplacedTracker
}

// Times and limits that size the pools.
const (
	// demandDecay sets how fast the smoothed demand falls once the demand is gone: an
	// update after the time t multiplies it by 1 - t/(2*demandDecay), that is, by half
	// if t is demandDecay. The time is short compared with a burst of some seconds, and
	// long compared with the gap between two batches.
	demandDecay = 1500 * time.Millisecond
	// maxLoadAge is the age above which a load is not used.
	maxLoadAge = 1500 * time.Millisecond
	// minPoolStay is how long a host stays in a pool at least. A move costs as much as
	// keeping the host for about a second, and the moves there and back must pay off.
	minPoolStay = 2500 * time.Millisecond
	// headroomFactor is the ratio of the capacity to provide to the demand. The excess
	// is room for demand that is not seen yet.
	headroomFactor = 1.15
	// maxRise bounds the increase expected from a rising demand, as a share of the
	// present one: a few batches that arrive at once look like a steep rise too.
	maxRise = 1.0
	// reserveHosts are kept beyond the headroom for the next batch.
	reserveHosts = 1
)

// observe adds a load: the work that waits and runs, or the work that arrives,
// whichever is more.
func (t *demandTracker) observe(load sched.Load, now time.Time) {
	demand := max(load.Demand, load.Offered)
	t.bursts.observe(float64(load.Offered), now)
	if !t.updatedAt.IsZero() {
		share := float64(now.Sub(t.updatedAt)) / float64(demandDecay)
		t.smoothed *= max(1-share/2, 0)
	}
	t.smoothed = max(t.smoothed, float64(demand))
	t.updatedAt = now
}

// poolState is the present and the wanted size of a pool, in hosts.
type poolState struct {
	service glade.Service
	size    int
	// base is the size that long-running tasks need. Their users are without service
	// until they run, so that it goes before what any pool wants for short tasks.
	base   int
	wanted int
	// ahead is the size wanted for the demand that is forecast, for a rising demand and
	// for work that is already late. Hosts for these are assigned only while no pool
	// wants them for work that can still finish in time.
	ahead int
	// idle are the hosts that could leave because nothing runs on them. busy are those
	// that run only short tasks, the ones with the fewest first.
	idle, busy []glade.Host
	// kept counts the other hosts by what keeps them in the pool.
	kept keptHosts
	// joining counts the hosts on which the service can't run tasks yet.
	joining int
	// hostCPU and hostMemory are the size of the largest host, in millicores and
	// megabytes.
	hostCPU, hostMemory int
}

// keptHosts counts hosts that can't leave their pool now.
type keptHosts struct {
	arriving    int // on the way to the pool, or not listed by its service yet
	unavailable int // down for maintenance, being drained for it, or unresponsive
	held        int // may still get orders of an earlier leader
	arrived     int // in the pool for less than minPoolStay
	longRunning int // run long-running tasks
}

func (k keptHosts) String() string {
	return fmt.Sprintf("arriving %d unavailable %d held %d arrived %d long-running %d", k.arriving, k.unavailable, k.held, k.arrived, k.longRunning)
}

// planMoves plans moves to pools that are smaller than wanted. Hosts come from the
// spare pools first, then from pools with a surplus. Hosts that no pool wants go to
// a spare pool, where they cost nothing.
func (p *Planner) planMoves(now time.Time) {
	if len(p.isSpare) == 0 && len(p.loads) < 2 {
		return
	}
	var pools []*poolState
	for service := range p.loads {
		if pool := p.poolState(service, now); pool != nil {
			pools = append(pools, pool)
		}
	}
	slices.SortFunc(pools, func(a, b *poolState) int {
		return cmp.Or(cmp.Compare(b.wanted-b.size, a.wanted-a.size), cmp.Compare(a.service, b.service))
	})
	p.lastPools = make(map[glade.Service]*poolState, len(pools))
	for _, pool := range pools {
		p.lastPools[pool.service] = pool
	}
	idle := p.idleSpareHosts()
	base := func(pool *poolState) int { return pool.base }
	wanted := func(pool *poolState) int { return pool.wanted }
	for _, pool := range pools {
		idle = p.fill(pool, pool.base, base, idle, pools, now)
	}
	for _, pool := range pools {
		idle = p.fill(pool, pool.wanted, wanted, idle, pools, now)
	}
	for _, pool := range pools {
		idle = p.fill(pool, pool.ahead, wanted, idle, pools, now)
	}
	p.releaseSurplus(pools, now)
	p.logPools(pools, len(idle), now)
}

// poolLogPeriod is the time between two log lines on the sizes of the pools.
const poolLogPeriod = time.Second

// logPools logs the present and the wanted size of each pool.
func (p *Planner) logPools(pools []*poolState, idle int, now time.Time) {
	if now.Sub(p.reportedAt) < poolLogPeriod {
		return
	}
	p.reportedAt = now
	pairs := []any{"spare", idle}
	for _, pool := range pools {
		load := p.loads[pool.service]
		pairs = append(pairs, string(pool.service), fmt.Sprintf("hosts %d wanted %d ahead %d; idle %d busy %d %v; cores demanded %d late %d offered %d long-running %d; hosts for spread %d",
			pool.size, pool.wanted, pool.ahead, len(pool.idle), len(pool.busy), pool.kept,
			load.Demand/1000, load.Late/1000, load.Offered/1000, load.LongRunning/1000, load.MinRunners))
	}
	p.event("pools", pairs...)
}

// fill moves hosts to a pool until it has the given number or none can be moved,
// and returns the idle spare hosts that are left. No other pool gets smaller than
// keep says.
func (p *Planner) fill(pool *poolState, hosts int, keep func(*poolState) int, idle []glade.Host, pools []*poolState, now time.Time) []glade.Host {
	for pool.size < hosts && len(idle) > 0 {
		p.planMove(idle[0], pool.service, now)
		idle = idle[1:]
		pool.size++
	}
	for pool.size < hosts {
		host := takeSurplus(pools, pool, keep)
		if host == "" {
			break
		}
		pool.size++
		p.planMove(host, pool.service, now)
	}
	return idle
}

// releaseSurplus moves idle hosts that no pool wants to the spare pool.
func (p *Planner) releaseSurplus(pools []*poolState, now time.Time) {
	spare := p.sparePool()
	if spare == "" {
		return
	}
	for _, pool := range pools {
		for pool.size > max(pool.wanted, pool.ahead) && len(pool.idle) > 0 {
			p.planMove(pool.idle[0], spare, now)
			pool.idle = pool.idle[1:]
			pool.size--
		}
	}
}

// takeSurplus takes a host from the pool with the largest surplus over keep: an idle host, or
// else one that will be idle once its short tasks have ended. After a burst there
// are many of these, and the next queue waits for them. It returns "" if no other
// pool has a surplus.
func takeSurplus(pools []*poolState, target *poolState, keep func(*poolState) int) glade.Host {
	var best *poolState
	for _, pool := range pools {
		if pool != target && pool.size > keep(pool) && len(pool.idle)+len(pool.busy) > 0 &&
			(best == nil || pool.size-keep(pool) > best.size-keep(best)) {
			best = pool
		}
	}
	if best == nil {
		return ""
	}
	best.size--
	list := &best.idle
	if len(best.idle) == 0 {
		list = &best.busy
	}
	host := (*list)[0]
	*list = (*list)[1:]
	return host
}

// planMove plans the move of a host; the host is drained first.
func (p *Planner) planMove(host glade.Host, to glade.Service, now time.Time) {
	p.pending[host] = &hostAction{spec: Action{Host: host, Kind: KindMove, Pool: to}, since: now}
	p.event("move", "host", host, "from", p.hosts[host].Pool, "to", to)
}

// poolState returns the state of a service's pool. It returns nil for a spare pool,
// and if the load or the host size is not known well enough to plan moves.
func (p *Planner) poolState(service glade.Service, now time.Time) *poolState {
	tracker := p.demands[service]
	load := p.loads[service]
	if tracker == nil || now.Sub(tracker.updatedAt) > maxLoadAge || p.isSpare[service] {
		return nil
	}
	pool := &poolState{service: service}
	for host, info := range p.hosts {
		p.addHost(pool, host, info, now)
	}
	if pool.hostCPU == 0 {
		pool.hostCPU = p.maxHostCPU()
	}
	if pool.hostCPU == 0 {
		return nil
	}
	hostCPU := float64(pool.hostCPU)
	// Enough capacity in sum can still leave no place for tasks that are large or must be spread.
	// Hosts that are about to join the pool may be enough.
	wasVain := tracker.unplaced.isVain
	unplacedHosts := tracker.unplaced.observe(load.Unplaced, pool.size-pool.joining, pool.joining, now)
	longRunning, memory := float64(load.LongRunning), load.Memory
	if tracker.unplaced.isVain {
		longRunning -= float64(load.UnplacedCPU)
		memory -= load.UnplacedMemory
		if !wasVain {
			p.event("in vain", "pool", service, "hosts", pool.size, "from", tracker.unplaced.from, "unplaced", load.Unplaced)
		}
	}
	hosts := (longRunning + tracker.smoothed*headroomFactor) / hostCPU
	ahead := max(p.forecast(tracker, now)*headroomFactor, float64(load.Demand+load.Late), p.extrapolate(load)*headroomFactor)
	pool.ahead = int(math.Ceil((longRunning + ahead) / hostCPU))
	if pool.hostMemory > 0 {
		hosts = max(hosts, float64(memory)/float64(pool.hostMemory))
	}
	pool.base = max(int(math.Ceil(longRunning/hostCPU)), load.MinRunners, unplacedHosts)
	hosts += float64(load.Shrunk) / hostCPU // hostCPU is that of a host whose runner is whole
	pool.wanted = max(int(math.Ceil(hosts))+reserveHosts, load.MinRunners+reserveHosts, pool.base)
	p.sortHosts(pool)
	return pool
}

// addHost adds a host to a pool that it belongs to or is on the way to.
func (p *Planner) addHost(pool *poolState, host glade.Host, info glade.HostInfo, now time.Time) {
	action := p.pending[host]
	moving := action != nil && action.spec.Kind == KindMove
	switch {
	case moving && action.spec.Pool == pool.service:
		pool.joining++
		pool.kept.arriving++
	case moving || info.Pool != pool.service || info.State == glade.HostDown:
		return
	default:
		p.addMember(pool, host, info, now)
	}
	pool.size++
	pool.hostCPU, pool.hostMemory = max(pool.hostCPU, info.Capacity.CPU), max(pool.hostMemory, info.Capacity.Memory)
}

// addMember classifies a host of a pool by whether it can leave.
func (p *Planner) addMember(pool *poolState, host glade.Host, info glade.HostInfo, now time.Time) {
	runner, listed := p.runners[pool.service][info.Runner]
	if !listed || !runner.Responsive {
		pool.joining++
	}
	switch {
	case !listed:
		pool.kept.arriving++
	case p.pending[host] != nil || info.State != glade.HostUp || !runner.Responsive:
		pool.kept.unavailable++
	case !p.hasStayed(host, now):
		pool.kept.arrived++
	case p.isHeld(host):
		pool.kept.held++
	case runner.Runs == 0:
		pool.idle = append(pool.idle, host)
	case runner.LongRunning == 0:
		pool.busy = append(pool.busy, host)
	default:
		pool.kept.longRunning++
	}
}

// sortHosts puts the hosts first that should leave the pool first.
func (p *Planner) sortHosts(pool *poolState) {
	runs := func(host glade.Host) int { return p.runners[pool.service][p.hosts[host].Runner].Runs }
	slices.SortFunc(pool.busy, func(a, b glade.Host) int {
		return cmp.Or(cmp.Compare(runs(a), runs(b)), cmp.Compare(a, b))
	})
	slices.SortFunc(pool.idle, func(a, b glade.Host) int {
		return cmp.Or(cmp.Compare(p.hosts[a].Rack, p.hosts[b].Rack), cmp.Compare(a, b))
	})
}

// extrapolate returns the demand that will be offered to a service when a host that
// is moved now has joined its pool, in millicores.
func (p *Planner) extrapolate(load sched.Load) float64 {
	offered := float64(load.Offered)
	rise := float64(load.OfferedRise) * (p.config.MoveDowntime + moveSlack).Seconds()
	return offered + min(max(rise, 0), maxRise*offered)
}

// maxHostCPU returns the size of the largest host, in millicores.
func (p *Planner) maxHostCPU() int {
	size := 0
	for _, info := range p.hosts {
		size = max(size, info.Capacity.CPU)
	}
	return size
}

// hasStayed reports whether a host has been in its pool for minPoolStay.
func (p *Planner) hasStayed(host glade.Host, now time.Time) bool {
	at, ok := p.arrivedAt[host]
	return !ok || now.Sub(at) > minPoolStay
}

// sparePool returns the first spare pool by name, and "" if there is none.
func (p *Planner) sparePool() glade.Service {
	var best glade.Service
	for service := range p.isSpare {
		if best == "" || service < best {
			best = service
		}
	}
	return best
}

// idleSpareHosts returns the hosts of spare pools that are up and have no pending
// action.
func (p *Planner) idleSpareHosts() []glade.Host {
	var idle []glade.Host
	for host, info := range p.hosts {
		if _, busy := p.pending[host]; !busy && !p.isHeld(host) && p.isSpare[info.Pool] && info.State == glade.HostUp {
			idle = append(idle, host)
		}
	}
	slices.Sort(idle)
	return idle
}

// Lendable returns, for each service, the capacity of the hosts that other
// pools could move to its pool, in millicores.
func (p *Planner) Lendable() map[glade.Service]int {
	total := 0
	surplus := make(map[glade.Service]int)
	for _, host := range p.idleSpareHosts() {
		total += p.hosts[host].Capacity.CPU
	}
	for service, pool := range p.lastPools {
		for range min(len(pool.idle), max(pool.size-pool.wanted, 0)) {
			surplus[service] += p.maxHostCPU()
		}
		total += surplus[service]
	}
	lendable := make(map[glade.Service]int)
	for service := range p.loads {
		lendable[service] = total - surplus[service]
	}
	return lendable
}
