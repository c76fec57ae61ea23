package lead

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/jrpc"
	"indigoglade/sched"
	"indigoglade/wire"
)

// Config configures a manager of leaders.
type Config struct {
	Self             glade.Node
	Address          string
	PartitionedTable glade.PartitionedTable
	Runners          glade.Runners
	Advisor          glade.Advisor
	Inventory        glade.Inventory
	Clock            glade.Clock
	Log              logr.Logger
	Directory        *Directory
	Limits           Limits
	// PeerTraffic counts the bytes of calls to other hosts, unless it is nil.
	PeerTraffic *wire.Counter
	// DialPeer connects to other hosts in place of net.Dialer, unless it is nil.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	// OnLead is called when this process begins to lead a service, unless it is nil.
	OnLead func()
}

// Limits holds the time limits that the platform guarantees or requires.
type Limits struct {
	// MaxLease is the longest lease that a runner grants.
	MaxLease time.Duration
	// RestoreTime is how long a task takes to resume from its checkpoint.
	RestoreTime time.Duration
	// StopTimeout is how long a runner takes at most to stop a run.
	StopTimeout time.Duration
	// Retention is how long the state of an ended batch must stay available.
	Retention time.Duration
	// MoveDowntime and MaintenanceDowntime are how long a host is unavailable for a move and for
	// maintenance.
	MoveDowntime, MaintenanceDowntime time.Duration
	// StartRate is how many bytes of starts this host may send per second beside its
	// other traffic; 0 means no limit.
	StartRate float64
	// LinkRate is the bandwidth of this host's link in bytes per second; 0 means that it is
	// not known.
	LinkRate float64
	// HostsCheckFences means that hosts refuse orders with a fencing token lower than
	// one that they have seen. Where they don't, HostLease is the least time between
	// the orders of two leaders for one host.
	HostsCheckFences bool
	HostLease        time.Duration
	// PendingBytes bounds the memory of batches that wait for the answer of their leader, and HeldBytes that of the
	// accepted batches of each service; 0 means the default.
	PendingBytes int64
	HeldBytes    int
	// RemoteFactor is how many times as long a task takes away from the rack that holds its
	// data; 0 or 1 means that no task waits for a place there.
	RemoteFactor float64
}

// Manager claims services and holds their leaders in this process.
type Manager struct {
	config  Config
	mu      sync.Mutex
	leaders map[glade.Service]*ServiceLeader
	fleet   *FleetLeader
	// fleetEpoch is the newest epoch of a fleet leader that has called this process.
	fleetEpoch int64
	isolation  *IsolationMonitor
	router     *Router
	rules      glade.Rules
	runners    map[glade.Service][]glade.RunnerInfo
	// runnersAt is when runners was last replaced or confirmed.
	runnersAt time.Time
	waves     []glade.WaveOrder
	stopping  bool
	running   sync.WaitGroup
	// runCtx is the context of Run, and nil before it.
	runCtx context.Context
	// claiming holds the services for which a claim is under way.
	claiming  map[glade.Service]bool
	hold      claimHold
	vacancies vacancies
	// claimSlot lets one vacancy claim at a time: a claim changes this host's rank for other services.
	claimSlot chan struct{}
	handovers handoverCounts
	pages     *pageSize
	// takeovers holds how this process has last taken over each service.
	takeovers map[glade.Service]TakeoverStats
	// pending bounds the batches that wait for the answer of their leader.
	pending *jrpc.Limit
}

// New returns a manager that leads no service until Run is called.
func New(config Config) *Manager {
	m := &Manager{config: config, leaders: make(map[glade.Service]*ServiceLeader), claimSlot: make(chan struct{}, 1), claiming: make(map[glade.Service]bool), takeovers: make(map[glade.Service]TakeoverStats), pages: newPageSize(), pending: newPendingLimit(config.Limits.PendingBytes)}
	m.router = newRouter(m)
	m.isolation = newIsolationMonitor(m)
	return m
}

// SetRules applies a version of the contract. Versions that are not newer than
// the present one are ignored.
func (m *Manager) SetRules(rules glade.Rules) {
	m.mu.Lock()
	if rules.Version <= m.rules.Version {
		m.mu.Unlock()
		return
	}
	m.rules = rules
	leaders := m.localLeaders()
	m.mu.Unlock()
	services := []glade.Service{fleetService}
	for _, service := range rules.Services {
		if !service.Spare {
			services = append(services, service.Service)
		}
	}
	m.config.Directory.SetServices(services)
	for _, leader := range leaders {
		leader.setRules(rules)
	}
}

// SetRunners replaces the list of the platform's runners.
func (m *Manager) SetRunners(list []glade.RunnerInfo) {
	byService := make(map[glade.Service][]glade.RunnerInfo)
	for _, info := range list {
		byService[info.Service] = append(byService[info.Service], info)
	}
	m.mu.Lock()
	m.runners, m.runnersAt = byService, m.config.Clock.Now()
	leaders := m.localLeaders()
	m.mu.Unlock()
	for _, leader := range leaders {
		leader.setRunners(byService[leader.service])
	}
}

// SetWaves replaces the list of requested maintenance waves.
func (m *Manager) SetWaves(waves []glade.WaveOrder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waves = waves
}

// localLeaders returns the service leaders of this process. The caller must hold
// the lock.
func (m *Manager) localLeaders() []*ServiceLeader {
	leaders := make([]*ServiceLeader, 0, len(m.leaders))
	for _, leader := range m.leaders {
		leaders = append(leaders, leader)
	}
	return leaders
}

// Isolation returns the monitor that tells whether this host is isolated.
func (m *Manager) Isolation() *IsolationMonitor { return m.isolation }

// Router returns the router to the leaders of all services.
func (m *Manager) Router() *Router { return m.router }

// LocalLeader returns the leader of a service, and false if this process does
// not lead the service.
func (m *Manager) LocalLeader(service glade.Service) (*ServiceLeader, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	leader, ok := m.leaders[service]
	return leader, ok
}

// Stats returns the scheduler's counters for each service that this process leads.
func (m *Manager) Stats() map[glade.Service]sched.Stats {
	m.mu.Lock()
	leaders := m.localLeaders()
	m.mu.Unlock()
	stats := make(map[glade.Service]sched.Stats, len(leaders))
	for _, leader := range leaders {
		leader.withSched(func(scheduler *sched.Scheduler) { stats[leader.service] = scheduler.Stats() })
	}
	return stats
}

// TenantStats returns the counters of the tenants of each service that this process leads.
func (m *Manager) TenantStats() map[glade.Service]map[glade.Tenant]sched.TenantStats {
	m.mu.Lock()
	leaders := m.localLeaders()
	m.mu.Unlock()
	stats := make(map[glade.Service]map[glade.Tenant]sched.TenantStats, len(leaders))
	for _, leader := range leaders {
		leader.withSched(func(scheduler *sched.Scheduler) { stats[leader.service] = scheduler.TenantStats() })
	}
	return stats
}

// Shares returns, for each service that this process leads, its shares of the limits of
// tenants that have had demand.
func (m *Manager) Shares() map[glade.Service]map[glade.Tenant]ShareStats {
	m.mu.Lock()
	leaders := m.localLeaders()
	m.mu.Unlock()
	shares := make(map[glade.Service]map[glade.Tenant]ShareStats, len(leaders))
	for _, leader := range leaders {
		shares[leader.service] = leader.limits.stats()
	}
	return shares
}

// LedServices returns the number of services that this process leads, without
// the fleet, whose leader moves and maintains hosts.
func (m *Manager) LedServices() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.leaders)
}

// Intervals and timeouts of leader election and of leases.
const (
	// heartbeatPeriod is the time between two heartbeats of a leader.
	heartbeatPeriod = 800 * time.Millisecond
	// heartbeatTimeout is how long a leader may show no heartbeat before it is
	// replaced: two lost heartbeats, and the time that a slow store takes for one.
	heartbeatTimeout = 2 * time.Second
	// claimStagger is the extra wait per rank, so that two candidates do not claim a
	// service at the same time.
	claimStagger = 120 * time.Millisecond
	// maxClaimRank caps the rank in the wait before a claim, because the preferred hosts
	// may all be down.
	maxClaimRank = 8
	// claimPeriod is the time between two checks for services without a leader.
	claimPeriod = 60 * time.Millisecond
	// heldClaimWait is the extra wait of a host that the store has refused a moment ago.
	// Any other host claims before that.
	heldClaimWait = 3 * time.Second
	// firstClaimWait is the extra wait for a service that never had a leader, in which
	// the other hosts can start.
	firstClaimWait = 500 * time.Millisecond
	// runLease is how long runs go on after the last heartbeat that renewed
	// their lease. A new leader must take over before that ends.
	runLease = 4500 * time.Millisecond
	// startRepeats is how many times a start without an answer is sent again; off until BUDGET and LOST beside
	// dead hosts are traced (KNOWN-RED.txt).
	startRepeats = 0
	// renewalTTL bounds the end of leases, counted from the last renewal of the
	// term row: a store outage up to this length, less heartbeatPeriod, costs no run.
	renewalTTL = 9 * time.Second
	// heartbeatWait is how long a runner may delay its answer to a heartbeat until a run ends.
	heartbeatWait = time.Second
)

// Run claims services without a leader until ctx ends, and then waits until the
// leaders of this process have stopped.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.runCtx = ctx
	m.mu.Unlock()
	for m.config.Clock.Sleep(ctx, claimPeriod) == nil {
		services, synced := m.config.Directory.Services()
		if !synced {
			continue
		}
		for _, service := range services {
			m.claimIfVacant(ctx, service)
		}
	}
	m.running.Wait()
	return nil
}

// StepDown releases every service, so that other hosts can lead them, and
// claims no more. It returns when the writers of the service leaders have
// stopped and the fleet leader has no action in flight.
func (m *Manager) StepDown() {
	m.mu.Lock()
	m.stopping = true
	leaders := m.localLeaders()
	fleet := m.fleet
	m.mu.Unlock()
	if fleet != nil {
		fleet.stepDown()
	}
	var group sync.WaitGroup
	for _, leader := range leaders {
		group.Add(1)
		c := stepDownCall{leader: leader, group: &group}
		go c.run()
	}
	group.Wait()
}

// stepDownCall makes one service leader step down, at the same time as the others.
type stepDownCall struct {
	leader *ServiceLeader
	group  *sync.WaitGroup
}

func (c stepDownCall) run() {
	defer c.group.Done()
	c.leader.stepDown()
}

// isLeading reports whether this process leads a service or the fleet. The caller must hold
// the lock.
func (m *Manager) isLeading(service glade.Service) bool {
	if service == fleetService {
		return m.fleet != nil
	}
	_, ok := m.leaders[service]
	return ok
}

// beginClaim reserves the claim of a service, which Run and a leader that hands over may
// cause at the same time. It returns false if this process leads the service, claims it or
// stops. endClaim ends the reservation.
func (m *Manager) beginClaim(service glade.Service) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping || m.isLeading(service) || m.claiming[service] {
		return false
	}
	m.claiming[service] = true
	return true
}

func (m *Manager) endClaim(service glade.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.claiming, service)
}

// claim writes a term of this host over the old one, whose last heartbeat was looked
// up at the given time, and starts the leader if the write took effect. The caller must have
// reserved the claim with beginClaim. The result is Uncertain if the write may take effect.
func (m *Manager) claim(ctx context.Context, service glade.Service, heartbeat Heartbeat, at time.Time) glade.CommitResult {
	old, version, idle := heartbeat.Term, heartbeat.Version, heartbeat.Age
	term := Term{Node: m.config.Self, Address: m.config.Address, Epoch: old.Epoch + 1}
	sent := m.config.Clock.Now()
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row := glade.PartitionRow{Table: tableTerm, Part: string(service), Key: singletonKey, Value: encodeRow(term)}
	check := row
	check.Version = version
	next, rows, result := m.config.PartitionedTable.Commit(bounded, glade.PartitionTxn{
		Checks: []glade.PartitionRow{check}, Puts: []glade.PartitionRow{row},
	})
	m.config.Log.Info("claim", "service", service, "epoch", term.Epoch, "over", old.Node, "idle", idle.Milliseconds(),
		"version", version, "result", result.String())
	switch result {
	case glade.Committed:
	case glade.Conflicted:
		m.config.Directory.applyTerms(rows)
		return result
	case glade.Uncertain:
		found, err := m.config.PartitionedTable.Get(bounded, tableTerm, string(service), singletonKey)
		if err != nil || string(found.Value) != string(row.Value) {
			return result
		}
		next = found.Version
	default:
		return result
	}
	m.config.Directory.RecordTerm(service, term, next)
	l := &leadership{
		manager: m, service: service, term: term, version: next, confirmedAt: sent, heartbeatAt: sent,
		predecessorSeen: at.Add(-idle), clock: m.config.Clock, stepWake: make(chan struct{}, 1),
	}
	l.inheritedLeases, l.inheritedSince = m.inheritedLeases(old, l.predecessorSeen)
	if !m.startLeader(ctx, l) {
		l.release(ctx) // this host was asked to stop meanwhile
	}
	return glade.Committed
}

// inheritedLeases returns how long leases may last after this host has claimed a term over an old one, whose last renewal it
// had seen at the given time, and since when; 0 if that is not known, and no time if they count from the takeover.
func (m *Manager) inheritedLeases(old Term, seen time.Time) (time.Duration, time.Time) {
	switch {
	case old.Node == "":
		return time.Duration(old.LeasesMs) * time.Millisecond, seen
	case old.Node == m.config.Self && old.Address == m.config.Address && old.IsSettled:
		// An earlier leader of this host has ended and grants none any more. It may have done so since the renewal.
		return runLease, time.Time{}
	}
	return 0, seen
}

// startLeader starts the leader of a service whose term this host has just committed. It
// returns false if this host steps down.
func (m *Manager) startLeader(ctx context.Context, l *leadership) bool {
	service := l.service
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopping {
		return false
	}
	m.running.Add(1)
	if service == fleetService {
		m.fleet = newFleetLeader(m, l)
		ctx, m.fleet.cancel = context.WithCancel(ctx)
		go m.fleet.run(ctx)
		return true
	}
	if m.config.OnLead != nil {
		m.config.OnLead()
	}
	leader := newServiceLeader(m, l)
	ctx, leader.cancel = context.WithCancel(ctx)
	leader.ended = ctx.Done()
	m.leaders[service] = leader
	m.shareStartRate()
	go leader.run(ctx)
	return true
}

// remove drops the leader of a service when it has stopped.
func (m *Manager) remove(service glade.Service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if service == fleetService {
		m.fleet = nil
	} else {
		delete(m.leaders, service)
		m.shareStartRate()
	}
	m.running.Done()
}

// shareStartRate divides the rate of starts among the services that this process leads.
// The caller must hold the lock.
func (m *Manager) shareStartRate() {
	for _, leader := range m.leaders {
		leader.startRate.Store(int64(m.config.Limits.StartRate) / int64(len(m.leaders)))
	}
}

// schedConfig returns the configuration of a service's scheduler.
func (m *Manager) schedConfig(l *leadership) sched.Config {
	return sched.Config{
		Service: l.service, Epoch: l.term.Epoch, LeaseTime: runLease, RenewalTTL: renewalTTL, RenewedAt: l.heartbeatAt,
		InheritedLeases: l.inheritedLeases, InheritedSince: l.inheritedSince, MaxLease: m.config.Limits.MaxLease, RestoreTime: m.config.Limits.RestoreTime,
		Retention: m.config.Limits.Retention * 3 / 2, HeartbeatWait: heartbeatWait, StopTimeout: m.config.Limits.StopTimeout,
		RemoteFactor: m.config.Limits.RemoteFactor, StartRepeats: startRepeats, MaxHeldBytes: m.config.Limits.HeldBytes,
	}
}
