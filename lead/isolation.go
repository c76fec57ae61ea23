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
	manager  *Manager
	isolated atomic.Bool
}

// NewIsolationMonitor returns a monitor that reports no isolation until it is run.
func NewIsolationMonitor(manager *Manager) *IsolationMonitor {
	return &IsolationMonitor{manager: manager}
}

// Intervals and timeouts of the isolation check.
const (
	isolationCheckPeriod = 200 * time.Millisecond
	// isolationDelay is how long the store must be unreachable before hosts of other
	// zones are probed. After a slow answer or a broken connection the store is reached
	// again sooner than this.
	isolationDelay = 300 * time.Millisecond
	probeTimeout   = 350 * time.Millisecond
	maxProbes      = 4 // hosts of other zones that are probed at once
)

const methodPing = "ping"

type pingReply struct {
	Up bool `json:"up"`
}

func handlePing(mux *jrpc.Mux) {
	jrpc.Handle(mux, methodPing, func(context.Context, struct{}) (pingReply, error) { return pingReply{Up: true}, nil })
}

// IsIsolated reports whether this host was isolated at the last check.
func (m *IsolationMonitor) IsIsolated() bool { return m.isolated.Load() }

// Run checks for isolation until ctx ends.
func (m *IsolationMonitor) Run(ctx context.Context) error {
	clock := m.manager.config.Clock
	for clock.Sleep(ctx, isolationCheckPeriod) == nil {
		outage := m.manager.config.Directory.StoreOutage(clock.Now())
		isolated := outage > isolationDelay && !m.reachesOtherZone(ctx)
		if m.isolated.Swap(isolated) != isolated {
			m.manager.config.Log.Info("sight", "cut", isolated, "lost", outage.Milliseconds())
		}
	}
	return nil
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
	for _, address := range addresses[:min(len(addresses), maxProbes)] {
		group.Add(1)
		p := &probe{client: m.manager.router.peerClient(address), reached: &reached, group: &group}
		go p.run(ctx)
	}
	group.Wait()
	return reached.Load()
}

// probe pings one host.
type probe struct {
	client  *jrpc.Client
	reached *atomic.Bool
	group   *sync.WaitGroup
}

func (p *probe) run(ctx context.Context) {
	defer p.group.Done()
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if answer, err := jrpc.Call[struct{}, pingReply](bounded, p.client, methodPing, struct{}{}); err == nil && answer.Up {
		p.reached.Store(true)
	}
}
