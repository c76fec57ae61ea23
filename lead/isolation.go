package lead

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"indigoglade/link"
)

// Sight detects whether this host is isolated: it reaches neither the store nor
// any host of another zone. Its callers are then better served by other zones, to
// which the load balancer sends them while no host of this zone is ready. A host
// that only lost the store stays ready, because it still reaches leaders that have
// not lost it.
type Sight struct {
	keep *Keep
	cut  atomic.Bool
}

// NewSight returns a monitor that reports no isolation until it is run.
func NewSight(keep *Keep) *Sight { return &Sight{keep: keep} }

// Intervals and timeouts of the isolation check.
const (
	sightPeriod = 200 * time.Millisecond
	// isolationDelay is how long the store must be unreachable before hosts of other
	// zones are probed. After a slow answer or a broken connection the store is reached
	// again sooner than this.
	cutAfter     = 300 * time.Millisecond
	sightTimeout = 350 * time.Millisecond
	sightPeers   = 4 // hosts of other zones that are probed at once
)

const methodPing = "ping"

type pong struct {
	Up bool `json:"up"`
}

func handlePing(mux *link.Mux) {
	link.Handle(mux, methodPing, func(context.Context, struct{}) (pong, error) { return pong{Up: true}, nil })
}

// IsCut reports whether this host was isolated at the last check.
func (s *Sight) IsCut() bool { return s.cut.Load() }

// Run checks for isolation until ctx ends.
func (s *Sight) Run(ctx context.Context) error {
	clock := s.keep.config.Clock
	for clock.Sleep(ctx, sightPeriod) == nil {
		lost := s.keep.config.Board.LostFor(clock.Now())
		cut := lost > cutAfter && !s.seesAny(ctx)
		if s.cut.Swap(cut) != cut {
			s.keep.config.Log.Info("sight", "cut", cut, "lost", lost.Milliseconds())
		}
	}
	return nil
}

// reachesOtherZone reports whether any host of another zone answers a ping. It
// returns true if no host of another zone is known.
func (s *Sight) seesAny(ctx context.Context) bool {
	far := s.keep.config.Board.Far()
	if len(far) == 0 {
		return true
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	var seen atomic.Bool
	var group sync.WaitGroup
	for _, address := range far[:min(len(far), sightPeers)] {
		group.Add(1)
		p := &probe{client: s.keep.gate.peer(address), seen: &seen, group: &group}
		go p.run(ctx)
	}
	group.Wait()
	return seen.Load()
}

// probe pings one host.
type probe struct {
	client *link.Client
	seen   *atomic.Bool
	group  *sync.WaitGroup
}

func (p *probe) run(ctx context.Context) {
	defer p.group.Done()
	bounded, cancel := context.WithTimeout(ctx, sightTimeout)
	defer cancel()
	if answer, err := link.Call[struct{}, pong](bounded, p.client, methodPing, struct{}{}); err == nil && answer.Up {
		p.seen.Store(true)
	}
}
