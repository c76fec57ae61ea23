// Package moves plans host maintenance and the moves of hosts between pools. It has
// no clock and does no I/O: the caller passes in the hosts, the loads of the
// services and the time, and gets back the runners to drain and the actions to
// carry out.
package moves

import (
	"cmp"
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/sched"
)

// Config configures a planner.
type Config struct {
	// MoveTime and MaintainTime are how long a host is unavailable for a move and for
	// maintenance.
	MoveTime, MaintainTime time.Duration
}

// Kind is the kind of an action on a host.
type Kind string

// Kinds of actions.
const (
	KindMaintain Kind = "maintain"
	KindMove     Kind = "move"
)

// Order is an action on a host: maintenance for Wave, or a move to Pool.
type Order struct {
	Host glade.Host
	Kind Kind
	Wave int64
	Pool glade.Service
}

// hostAction is an action planned or in flight for a host. The host is drained
// before the action is sent.
type task struct {
	order Order
	since time.Time
	// sentAt is when the action was last sent, zero while the host is drained.
	sent time.Time
	// accepted means that the platform has accepted the action, at acceptedAt.
	sure bool
	done time.Time
}

// Plan plans the actions on hosts and tracks those that are pending. It is not safe
// for concurrent use.
type Plan struct {
	config Config
	hosts  map[glade.Host]glade.HostInfo
	loads  map[glade.Service]sched.Load
	spare  map[glade.Service]bool
	waves  map[int64]*wave
	tasks  map[glade.Host]*task
	needs  map[glade.Service]*need
	// arrivedAt is when a host's last move ends.
	arrived map[glade.Host]time.Time
	// lastPools holds the pools as the last step saw them.
	lastPools map[glade.Service]*pool
	// reportedAt is when the sizes of the pools were last logged.
	toldAt time.Time
	events []sched.Event
}

// wave is a maintenance wave and the progress of its hosts.
type wave struct {
	order glade.WaveOrder
	since time.Time
	// started maps the hosts whose maintenance has started to when this planner learnt
	// of it.
	begun map[glade.Host]time.Time
	done  bool // the end was reported
}

// New returns a planner without hosts, loads and waves.
func New(config Config) *Plan {
	return &Plan{
		config: config, hosts: make(map[glade.Host]glade.HostInfo), loads: make(map[glade.Service]sched.Load),
		spare: make(map[glade.Service]bool), waves: make(map[int64]*wave), tasks: make(map[glade.Host]*task),
		needs: make(map[glade.Service]*need), arrived: make(map[glade.Host]time.Time),
	}
}

// Events returns the decisions to log since the last call.
func (p *Plan) Events() []sched.Event {
	events := p.events
	p.events = nil
	return events
}

func (p *Plan) event(name string, pairs ...any) {
	p.events = append(p.events, sched.Event{Name: name, Pairs: pairs})
}

// SetHosts replaces the host inventory.
func (p *Plan) SetHosts(hosts []glade.HostInfo) {
	p.hosts = make(map[glade.Host]glade.HostInfo, len(hosts))
	for _, host := range hosts {
		p.hosts[host.Host] = host
	}
}

// SetPools sets which pools are spare pools, whose hosts are off.
func (p *Plan) SetPools(rules glade.Rules) {
	p.spare = make(map[glade.Service]bool)
	for _, s := range rules.Services {
		if s.Spare {
			p.spare[s.Service] = true
		}
	}
}

// SetWave adds a wave with the hosts whose maintenance an earlier leader has started
// or requested; these count as down from now on. since is when the wave was first
// seen. A wave that is already known is left as it is.
func (p *Plan) SetWave(order glade.WaveOrder, begun, ordered []glade.Host, since, now time.Time) {
	if _, ok := p.waves[order.Wave]; ok {
		return
	}
	w := &wave{order: order, since: since, begun: make(map[glade.Host]time.Time)}
	for _, host := range begun {
		w.begun[host] = now
	}
	for _, host := range ordered {
		p.tasks[host] = &task{order: Order{Host: host, Kind: KindMaintain, Wave: order.Wave}, since: now, sent: now}
	}
	p.waves[order.Wave] = w
}

// downMargin is how long a host still counts as down after MoveTime or MaintainTime,
// because the inventory and its answers lag.
const awayMargin = 500 * time.Millisecond

// downCount returns the number of hosts that are, or may be, down for a wave.
func (p *Plan) down(w *wave, now time.Time) int {
	n := 0
	for _, host := range w.order.Hosts {
		if p.isDown(w, host, now) {
			n++
		}
	}
	return n
}

func (p *Plan) isDown(w *wave, host glade.Host, now time.Time) bool {
	if t, ok := p.tasks[host]; ok && t.order.Wave == w.order.Wave && t.order.Kind == KindMaintain && !t.sent.IsZero() {
		return true
	}
	at, ok := w.begun[host]
	return ok && (now.Sub(at) < p.config.MaintainTime+awayMargin || p.hosts[host].State == glade.HostUpkeep)
}

// Closing returns, for each service, the runners to drain.
func (p *Plan) Closing() map[glade.Service][]glade.RunnerID {
	closing := make(map[glade.Service][]glade.RunnerID)
	for host, t := range p.tasks {
		info, ok := p.hosts[host]
		if ok && info.Runner != "" && t.done.IsZero() {
			closing[info.Pool] = append(closing[info.Pool], info.Runner)
		}
	}
	return closing
}

// Gone returns, for each service, its unresponsive runners that belong to no host
// that is up.
func (p *Plan) Gone() map[glade.Service][]glade.RunnerID {
	if len(p.hosts) == 0 {
		return nil
	}
	lives := make(map[glade.RunnerID]bool, len(p.hosts))
	for _, info := range p.hosts {
		if info.State == glade.HostUp {
			lives[info.Runner] = true
		}
	}
	gone := make(map[glade.Service][]glade.RunnerID)
	for service, load := range p.loads {
		for _, id := range load.Silent {
			if !lives[id] {
				gone[service] = append(gone[service], id)
			}
		}
	}
	return gone
}

// SetLoad updates the load of a service.
func (p *Plan) SetLoad(service glade.Service, load sched.Load, now time.Time) {
	p.loads[service] = load
	n, ok := p.needs[service]
	if !ok {
		n = &need{}
		p.needs[service] = n
	}
	n.see(load, now)
}

// Step plans new actions and returns those to send now, because their hosts are
// drained.
func (p *Plan) Step(now time.Time) []Order {
	p.drop(now)
	p.planWaves(now)
	p.planMoves(now)
	var orders []Order
	for host, t := range p.tasks {
		if !t.sent.IsZero() || !p.isEmpty(host) {
			continue
		}
		if t.order.Kind == KindMaintain {
			w := p.waves[t.order.Wave]
			if p.down(w, now) >= w.order.Most {
				continue
			}
		}
		t.sent = now
		orders = append(orders, t.order)
	}
	return orders
}

// drainTimeout is how long the drain of a host may take before its action is
// dropped: its long-running tasks fit nowhere else.
const giveUpEmptying = 6 * time.Second

// dropFinished drops actions whose hosts are back, whose hosts left the inventory
// before they were sent, and whose hosts could not be drained in time.
func (p *Plan) drop(now time.Time) {
	for host, t := range p.tasks {
		away := p.config.MoveTime
		if t.order.Kind == KindMaintain {
			away = p.config.MaintainTime
		}
		_, listed := p.hosts[host]
		switch {
		case !t.done.IsZero() && now.Sub(t.done) > away+awayMargin,
			t.sent.IsZero() && !listed:
			delete(p.tasks, host)
		case t.sent.IsZero() && now.Sub(t.since) > giveUpEmptying:
			p.event("unemptied", "host", host, "kind", string(t.order.Kind))
			delete(p.tasks, host)
		}
	}
}

// isDrained reports whether nothing runs on a host, as the leader of its service
// has learnt from the runner itself.
func (p *Plan) isEmpty(host glade.Host) bool {
	info := p.hosts[host]
	if info.State != glade.HostUp {
		return false
	}
	if p.spare[info.Pool] || info.Runner == "" {
		return true
	}
	for _, own := range p.loads[info.Pool].Runners {
		if own.ID == info.Runner {
			return own.Held && own.Closing && own.Runs == 0
		}
	}
	// The service's leader does not list the runner. The runner may still run what an
	// earlier leader started: the list may be old, or the runner cut off from the store.
	return false
}

// Ordered applies the answer to an action.
func (p *Plan) Ordered(order Order, refused glade.HostRefusal, err error, now time.Time) {
	t, ok := p.tasks[order.Host]
	if !ok || t.order != order {
		return
	}
	if err != nil {
		// The action may have been carried out: it is repeated, and the host counts as
		// down meanwhile.
		p.event("unordered", "host", order.Host, "kind", string(order.Kind), "error", err.Error())
		return
	}
	p.event("ordered", "host", order.Host, "kind", string(order.Kind), "wave", order.Wave, "pool", order.Pool, "answer", string(refused))
	if refused == glade.HostAccepted {
		t.sure, t.done = true, now
		if order.Kind == KindMove {
			p.arrived[order.Host] = now.Add(p.config.MoveTime)
		}
		if w := p.waves[order.Wave]; w != nil && order.Kind == KindMaintain {
			w.begun[order.Host] = now
		}
		return
	}
	delete(p.tasks, order.Host)
	if w := p.waves[order.Wave]; w != nil && order.Kind == KindMaintain && refused == glade.HostNoWave {
		w.begun[order.Host] = now // the platform says that the host is not part of this wave
	}
}

// Repeat returns the actions to send again because their answers were lost.
func (p *Plan) Repeat(now time.Time) []Order {
	var orders []Order
	for _, t := range p.tasks {
		if !t.sent.IsZero() && !t.sure && now.Sub(t.sent) > repeatTime {
			t.sent = now
			orders = append(orders, t.order)
		}
	}
	return orders
}

// repeatDelay is the time after which an action without an answer is sent again.
const repeatTime = 1500 * time.Millisecond

// Finished returns the waves in which the maintenance of every host that is still
// in the inventory has started. Waves whose end was reported are left out.
func (p *Plan) Finished() []int64 {
	var finished []int64
	for number, w := range p.waves {
		if w.done || len(p.hosts) == 0 {
			continue
		}
		left := 0
		for _, host := range w.order.Hosts {
			_, listed := p.hosts[host]
			if _, begun := w.begun[host]; listed && !begun {
				left++
			}
		}
		if left == 0 {
			finished = append(finished, number)
		}
	}
	return finished
}

// SetDone records that the end of a wave was reported.
func (p *Plan) SetDone(number int64) {
	if w, ok := p.waves[number]; ok {
		w.done = true
	}
}

// Progress returns the hosts of a wave whose maintenance has started, and those for
// which the action was sent and not yet accepted.
func (p *Plan) Progress(number int64) (begun, ordered []glade.Host) {
	w, ok := p.waves[number]
	if !ok {
		return nil, nil
	}
	for host := range w.begun {
		begun = append(begun, host)
	}
	for host, t := range p.tasks {
		if t.order.Kind == KindMaintain && t.order.Wave == number && !t.sent.IsZero() && !t.sure {
			ordered = append(ordered, host)
		}
	}
	slices.Sort(begun)
	slices.Sort(ordered)
	return begun, ordered
}

// Shares that limit maintenance.
const (
	calmShare  = 0.34 // of a pool's hosts that may be unavailable at once if its load is low
	busyShare  = 0.12 // of a pool's hosts that may be unavailable at once if its load is high
	busyLoad   = 0.6  // of a pool's capacity, above which its load is high
	waveMargin = 0.8  // of a wave's time limit, within which the wave should finish
)

// planWaves picks hosts to drain for maintenance.
func (p *Plan) planWaves(now time.Time) {
	for _, w := range p.waves {
		if w.done {
			continue
		}
		room := w.order.Most - p.busyWith(w, now)
		if room <= 0 {
			continue
		}
		for _, host := range p.candidates(w) {
			if room == 0 {
				break
			}
			if !p.mayTake(w, host, now) {
				continue
			}
			p.tasks[host] = &task{order: Order{Host: host, Kind: KindMaintain, Wave: w.order.Wave}, since: now}
			p.event("empty", "host", host, "wave", w.order.Wave, "pool", p.hosts[host].Pool)
			room--
		}
	}
}

// inProgressCount returns the number of hosts of a wave that are down or drained
// for it.
func (p *Plan) busyWith(w *wave, now time.Time) int {
	n := 0
	for _, host := range w.order.Hosts {
		t, ok := p.tasks[host]
		if p.isDown(w, host, now) || (ok && t.order.Kind == KindMaintain && t.order.Wave == w.order.Wave) {
			n++
		}
	}
	return n
}

// candidates returns the hosts of a wave that are up, not maintained yet and have
// no pending action. Hosts of the least loaded pools come first, then those with the
// fewest long-running tasks.
func (p *Plan) candidates(w *wave) []glade.Host {
	var list []glade.Host
	for _, host := range w.order.Hosts {
		_, begun := w.begun[host]
		info, listed := p.hosts[host]
		if _, busy := p.tasks[host]; begun || busy || !listed || info.State != glade.HostUp {
			continue
		}
		list = append(list, host)
	}
	slices.SortFunc(list, func(a, b glade.Host) int {
		return cmp.Or(cmp.Compare(p.pressure(a), p.pressure(b)), cmp.Compare(p.lasting(a), p.lasting(b)), cmp.Compare(a, b))
	})
	return list
}

// poolLoad returns the load of a host's pool as a share of its capacity; -1 for a
// spare pool.
func (p *Plan) pressure(host glade.Host) float64 {
	info := p.hosts[host]
	if p.spare[info.Pool] {
		return -1
	}
	load := p.loads[info.Pool]
	if load.Room == 0 {
		return 0
	}
	return float64(load.Demand+load.Lasting) / float64(load.Room)
}

// longRunningTasks returns the number of long-running tasks on a host.
func (p *Plan) lasting(host glade.Host) int {
	info := p.hosts[host]
	for _, own := range p.loads[info.Pool].Runners {
		if own.ID == info.Runner {
			return own.Lasting
		}
	}
	return 0
}

// canSpare reports whether a host's pool can do without one more host now. A wave
// that is behind schedule may take as many hosts of a pool with a high load as of
// any other.
func (p *Plan) mayTake(w *wave, host glade.Host, now time.Time) bool {
	pool := p.hosts[host].Pool
	if p.spare[pool] {
		return true
	}
	size, away := 0, 0
	for other, info := range p.hosts {
		if info.Pool != pool {
			continue
		}
		size++
		if _, busy := p.tasks[other]; busy || info.State != glade.HostUp {
			away++
		}
	}
	share := calmShare
	if p.pressure(host) > busyLoad && !p.isBehind(w, now) {
		share = busyShare
	}
	return away+1 <= max(int(share*float64(size)), 1)
}

// isBehindSchedule reports whether the share of a wave's hosts whose maintenance has
// started is smaller than the share of its planned time that has passed. The planned
// time is waveTimeShare of the time limit. A wave without a limit or without hosts
// counts as behind.
func (p *Plan) isBehind(w *wave, now time.Time) bool {
	if w.order.Within <= 0 || len(w.order.Hosts) == 0 {
		return true
	}
	gone := float64(now.Sub(w.since)) / (float64(w.order.Within) * waveMargin)
	return float64(len(w.begun)) < gone*float64(len(w.order.Hosts))
}
