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

// need follows what a service asks for.
type need struct {
	// recent is the demand, quick to rise and slow to fall, in thousandths of a
	// core.
	recent float64
	at     time.Time
	turns  turns
}

// Times and bounds of moves.
const (
	// fallTime is the time in which a demand that went away falls by half: short
	// against a turn of some seconds, long against the gap between two batches.
	fallTime = 1500 * time.Millisecond
	// freshTime is the age up to which a load is believed.
	freshTime = 1500 * time.Millisecond
	// stayTime is how long a host stays in a pool at least: moving it costs as
	// much as keeping it for about a second, and two ways must pay.
	stayTime = 2500 * time.Millisecond
	// headShare is room beyond the demand that is seen, as a share of it.
	headShare = 1.15
	// riseMost bounds what a rise is believed to add, as a share of what there is:
	// a few batches at once look steep too.
	riseMost = 1.0
	// spareHosts are kept beyond it for the next batch.
	spareHosts = 1
)

// see takes over a load: what waits and runs, or what arrives, whichever is more.
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

// pool is what a pool has and wants, in hosts.
type pool struct {
	service glade.Service
	has     int
	wants   int
	// ahead is what a turn that is forecast will want, and what is late. Hosts for
	// these are lent only while nobody wants them for work that can be in time.
	ahead int
	// free are hosts that could leave: nothing runs on them. Only short tasks run
	// on the busy ones, the fewest first.
	free, busy []glade.Host
}

// planMoves moves hosts between pools: to those that ask for more than they
// have, from the spare pool first, then from those with idle hosts; hosts that
// nobody needs go to the spare pool, where they cost nothing.
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

// tellPeriod is the time between two lines on the sizes of pools.
const tellPeriod = time.Second

// tell reports what each pool has and wants.
func (p *Plan) tell(pools []*pool, idle int, now time.Time) {
	if now.Sub(p.toldAt) < tellPeriod {
		return
	}
	p.toldAt = now
	pairs := []any{"spare", idle}
	for _, own := range pools {
		load := p.loads[own.service]
		pairs = append(pairs, string(own.service), fmt.Sprintf("has %d wants %d free %d demand %d offered %d lasting %d apart %d",
			own.has, own.wants, len(own.free), load.Demand/1000, load.Offered/1000, load.Lasting/1000, load.Hosts))
	}
	p.event("pools", pairs...)
}

// fill brings hosts to a pool until it has as many as asked, and returns the
// idle ones that are left.
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

// rest sends hosts that nobody needs to the spare pool.
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

// takeSurplus takes a host from the pool that has most beyond its wants: an idle
// one, or else one that will be empty when its short tasks have ended. After a
// turn these are many, and the next queue waits for them.
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

func (p *Plan) move(host glade.Host, to glade.Service, now time.Time) {
	p.tasks[host] = &task{order: Order{Host: host, Kind: KindMove, Pool: to}, since: now}
	p.event("move", "host", host, "from", p.hosts[host].Pool, "to", to)
}

// pool returns what a service's pool has and wants, and nil when its load is
// not known well enough to move anything.
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
		// Room in sum is no room for tasks that are large or must be apart; hosts
		// on their way may be enough.
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

// rising returns what a service will be offered when a host that is moved now
// is there.
func (p *Plan) rising(load sched.Load) float64 {
	offered := float64(load.Offered)
	more := float64(load.Rise) * (p.config.MoveTime + leadSlack).Seconds()
	return offered + min(max(more, 0), riseMost*offered)
}

// hostSize returns the size of some host, in thousandths of a core.
func (p *Plan) hostSize() int {
	size := 0
	for _, info := range p.hosts {
		size = max(size, info.Room.CPU)
	}
	return size
}

func (p *Plan) hasStayed(host glade.Host, now time.Time) bool {
	at, ok := p.arrived[host]
	return !ok || now.Sub(at) > stayTime
}

func (p *Plan) sparePool() glade.Service {
	var best glade.Service
	for service := range p.spare {
		if best == "" || service < best {
			best = service
		}
	}
	return best
}

// idleSpare returns the hosts of spare pools that are up and not under way.
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

// Lend returns, for each service, the room of hosts that could come to it, in
// thousandths of a core.
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
