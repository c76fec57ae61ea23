package lead

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"indigoglade/jrpc"
)

// IsolationMonitor detects whether this host is isolated: it reaches neither
// the store nor any host of another zone. Its callers are then better served by
// other zones, to which the load balancer sends them while no host of this zone
// is ready. A host that only lost the store stays ready, because it still
// reaches leaders that have not lost it.
type IsolationMonitor struct {
	manager *Manager
	// nextProbe is the earliest time of the next probe because of an overdue call.
	nextProbe time.Time

	mu       sync.Mutex
	isolated bool
	// connected is done while the host is isolated.
	connected  context.Context
	disconnect context.CancelFunc
}

// newIsolationMonitor returns a monitor that reports no isolation until it is run.
func newIsolationMonitor(manager *Manager) *IsolationMonitor {
	m := &IsolationMonitor{manager: manager}
	m.connected, m.disconnect = context.WithCancel(context.Background())
	return m
}

// Intervals and timeouts of the isolation check.
const (
	isolationCheckPeriod = 200 * time.Millisecond
	// isolationDelay is how long the store must be unreachable before hosts of other
	// zones are probed. After a slow answer or a broken connection the store is reached
	// again sooner than this.
	isolationDelay = 300 * time.Millisecond
	pingTimeout    = 350 * time.Millisecond
	maxPings       = 4 // hosts of other zones that are pinged at once
	// overdueCall is the age of an unanswered call to another host above which other
	// zones are probed: a long poll of the store may show an outage only seconds later.
	overdueCall = 400 * time.Millisecond
	// probePause is the time between two probes because of overdue calls, which a slow
	// store delays as well.
	probePause = 600 * time.Millisecond
)

const methodPing = "ping"

type pingReply struct {
	Up bool `json:"up"`
}

func handlePing(mux *jrpc.Mux) {
	jrpc.Handle(mux, methodPing, func(context.Context, struct{}) (pingReply, error) { return pingReply{Up: true}, nil })
}

// IsIsolated reports whether this host was isolated at the last check.
func (m *IsolationMonitor) IsIsolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isolated
}

// bound returns a context that also ends when this host becomes isolated.
func (m *IsolationMonitor) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	m.mu.Lock()
	connected := m.connected
	m.mu.Unlock()
	bounded, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(connected, cancel)
	return bounded, func() {
		stop()
		cancel()
	}
}

// Run checks for isolation until ctx ends.
func (m *IsolationMonitor) Run(ctx context.Context) error {
	clock := m.manager.config.Clock
	for clock.Sleep(ctx, isolationCheckPeriod) == nil {
		isolated := m.check(ctx, clock.Now())
		if ctx.Err() == nil {
			m.set(isolated)
		}
	}
	return nil
}

// check reports whether this host is isolated now. It probes only if something points to
// an isolation: an outage of the store, or an overdue call to another host.
func (m *IsolationMonitor) check(ctx context.Context, now time.Time) bool {
	storeAway := m.manager.config.Directory.StoreOutage(now) > isolationDelay
	if !storeAway && !m.IsIsolated() {
		if now.Before(m.nextProbe) || m.manager.router.oldestCall(now) < overdueCall {
			return false
		}
		m.nextProbe = now.Add(probePause)
	}
	return !m.reachesOtherZone(ctx) && (storeAway || !m.reachesStore(ctx))
}

// reachesStore reports whether the store answers a read.
func (m *IsolationMonitor) reachesStore(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := m.manager.config.PartitionedTable.Get(bounded, tableTerm, string(fleetService), singletonKey)
	return err == nil
}

func (m *IsolationMonitor) set(isolated bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.isolated == isolated {
		return
	}
	m.isolated = isolated
	if isolated {
		m.disconnect()
	} else {
		m.connected, m.disconnect = context.WithCancel(context.Background())
	}
	outage := m.manager.config.Directory.StoreOutage(m.manager.config.Clock.Now())
	m.manager.config.Log.Info("sight", "cut", isolated, "lost", outage.Milliseconds())
}

// reachesOtherZone reports whether any host of another zone answers a ping. It
// returns true if no host of another zone is known.
func (m *IsolationMonitor) reachesOtherZone(ctx context.Context) bool {
	addresses := m.manager.config.Directory.OtherZoneAddresses()
	if len(addresses) == 0 {
		return true
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var reached atomic.Bool
	var group sync.WaitGroup
	for _, address := range addresses[:min(len(addresses), maxPings)] {
		group.Add(1)
		p := &ping{client: m.manager.router.peerClient(address), reached: &reached, group: &group}
		go p.run(ctx)
	}
	group.Wait()
	return reached.Load()
}

// ping asks one host for an answer.
type ping struct {
	client  *jrpc.Client
	reached *atomic.Bool
	group   *sync.WaitGroup
}

func (p *ping) run(ctx context.Context) {
	defer p.group.Done()
	bounded, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	if answer, err := jrpc.Call[struct{}, pingReply](bounded, p.client, methodPing, struct{}{}); err == nil && answer.Up {
		p.reached.Store(true)
	}
}
