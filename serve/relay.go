package serve

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/intake"
	"indigoglade/jrpc"
	"indigoglade/route"
)

// Peer is another entry host that may have a free slot for a request.
type Peer struct {
	Node glade.Node
	// SameZone means that the peer is in the same availability zone.
	SameZone bool
	Client   *jrpc.Client
}

// RelayRequest forwards a request to a peer that has a free slot. The peer makes the
// attempts within its own share of the slots, so that relayed requests can't
// exceed the slots of a runner.
type RelayRequest struct {
	ID       string         `json:"id"`
	Customer glade.Customer `json:"customer"`
	Service  glade.Service  `json:"service"`
	Body     []byte         `json:"body"`
	// TimeLeft is the time left until the deadline.
	TimeLeft glade.Span `json:"left"`
}

// RelayAnswer is the outcome of a relayed request.
type RelayAnswer struct {
	Outcome glade.Outcome `json:"outcome"`
	Reason  glade.Reason  `json:"reason,omitempty"`
	Body    []byte        `json:"body,omitempty"`
}

// Limits of relaying.
const (
	// fullPeerPause is how long a peer without a free slot is not asked again.
	fullPeerPause = 100 * time.Millisecond
	// unreachablePeerPause is how long an unreachable peer is not asked again.
	unreachablePeerPause = 5 * time.Second
	// slotQueryTimeout bounds a call that asks a peer whether it has a free slot.
	slotQueryTimeout = 200 * time.Millisecond
	// maxPeersAsked is the maximum number of peers asked for one request.
	maxPeersAsked = 2
)

// peerPauses holds, for each peer, customer and service, the time until which the
// peer is not asked for a free slot.
type peerPauses struct {
	mu    sync.Mutex
	until map[pauseKey]time.Time
}

type pauseKey struct {
	node     glade.Node
	customer glade.Customer
	service  glade.Service
}

func (p *peerPauses) mayAsk(now time.Time, key pauseKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.until[key])
}

func (p *peerPauses) pause(until time.Time, key pauseKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.until == nil {
		p.until = make(map[pauseKey]time.Time)
	}
	p.until[key] = until
}

// relay offers the request to peers, those of the same availability zone first.
// It returns false if no peer took the request, in which case the request did
// not run.
func (s *Server) relay(ctx context.Context, w requestInfo) (result, bool) {
	asked := 0
	for _, near := range []bool{true, false} {
		start := rand.IntN(len(s.config.Peers) + 1)
		for i := range s.config.Peers {
			peer := s.config.Peers[(start+i)%len(s.config.Peers)]
			key := pauseKey{peer.Node, w.contract.Customer(), w.pool.Serve}
			if peer.SameZone != near || asked == maxPeersAsked || !s.peerPauses.mayAsk(s.config.Clock.Now(), key) {
				continue
			}
			asked++
			if !s.hasFreeSlot(ctx, peer, key) {
				continue
			}
			if r := s.relayTo(ctx, peer, w); r.outcome != glade.Refused {
				s.outcomes.Add("relayed", 1)
				return r, true
			}
		}
	}
	return result{}, false
}

// SlotQuery asks whether a slot is free for a service.
type SlotQuery struct {
	Customer glade.Customer `json:"customer"`
	Service  glade.Service  `json:"service"`
}

// hasFreeSlot asks a peer whether it has a free slot now. The answer also proves
// that the peer is reachable: the outcome of a request that is sent across a
// network partition would be unknown.
func (s *Server) hasFreeSlot(ctx context.Context, peer Peer, key pauseKey) bool {
	ctx, cancel := context.WithTimeout(ctx, slotQueryTimeout)
	defer cancel()
	free, err := jrpc.Call[SlotQuery, bool](ctx, peer.Client, "room", SlotQuery{Customer: key.customer, Service: key.service})
	now := s.config.Clock.Now()
	switch {
	case err != nil:
		s.peerPauses.pause(now.Add(unreachablePeerPause), key)
	case !free:
		s.peerPauses.pause(now.Add(fullPeerPause), key)
	}
	return free && err == nil
}

// handleSlotQuery answers whether a slot is free now. It acquires a slot and
// releases it at once.
func (s *Server) handleSlotQuery(ctx context.Context, in SlotQuery) (bool, error) {
	contract, _ := s.config.Registry.Find(in.Customer)
	pool, ok := contract.PoolFor(in.Service)
	if !ok || s.stopping.Load() {
		return false, nil
	}
	answer := s.config.Dispatcher.Acquire(ctx, intake.Request{
		Contract: contract, Pool: pool, Deadline: s.config.Clock.Now().Add(slotQueryTimeout), NoQueue: true,
	})
	if _, ok = answer.Grant(); ok {
		s.config.Dispatcher.Release(answer, intake.Attempt{Service: in.Service, Result: route.NotAttempted})
	}
	return ok, nil
}

func (s *Server) relayTo(ctx context.Context, peer Peer, w requestInfo) result {
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	out, err := jrpc.Call[RelayRequest, RelayAnswer](ctx, peer.Client, "relay", RelayRequest{
		ID: w.id, Customer: w.contract.Customer(), Service: w.pool.Serve, Body: w.body,
		TimeLeft: glade.Span(w.deadline.Sub(s.config.Clock.Now())),
	})
	var opErr *net.OpError
	switch {
	case err == nil:
		return result{outcome: out.Outcome, reason: out.Reason, body: out.Body}
	case errors.As(err, &opErr) && opErr.Op == "dial":
		return refused(glade.ReasonConnect)
	}
	return result{outcome: glade.Unknown, reason: glade.ReasonConnectionLost}
}

// Register adds the methods that peers call to mux.
func (s *Server) Register(mux *jrpc.Mux) {
	jrpc.Handle(mux, "room", s.handleSlotQuery)
	jrpc.Handle(mux, "relay", s.handleRelay)
}

// handleRelay runs a peer's request if a slot is free now.
func (s *Server) handleRelay(ctx context.Context, in RelayRequest) (RelayAnswer, error) {
	// The counter is incremented before stopping is read, so that a stop that
	// begins in between waits for this request.
	s.relays.Add(1)
	defer s.relays.Add(-1)
	if s.stopping.Load() {
		return RelayAnswer{Outcome: glade.Refused, Reason: glade.ReasonStopping}, nil
	}
	now := s.config.Clock.Now()
	w := requestInfo{id: in.ID, body: in.Body, start: now, deadline: now.Add(in.TimeLeft.Duration())}
	var ok bool
	if w.contract, ok = s.config.Registry.Find(in.Customer); !ok {
		return RelayAnswer{Outcome: glade.Refused, Reason: glade.ReasonUnknownCustomer}, nil
	}
	if w.pool, ok = w.contract.PoolFor(in.Service); !ok {
		return RelayAnswer{Outcome: glade.Refused, Reason: glade.ReasonUnknownService}, nil
	}
	r := s.attempt(ctx, w, noQueue)
	return RelayAnswer{Outcome: r.outcome, Reason: r.reason, Body: r.body}, nil
}
