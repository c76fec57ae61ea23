package serve

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/desk"
	"indigoglade/link"
	"indigoglade/route"
)

// Peer is another entry host that may have room for a request.
type Peer struct {
	Node glade.Node
	// Near tells that the peer is in the own availability zone.
	Near   bool
	Client *link.Client
}

// Relay hands a request to a peer that has a free slot. The peer makes the
// attempts within its own share of the slots, so that a relay can't take a
// runner past its slots.
type Relay struct {
	ID       string         `json:"id"`
	Customer glade.Customer `json:"customer"`
	Service  glade.Service  `json:"service"`
	Body     []byte         `json:"body"`
	// Left is the time left until the deadline.
	Left glade.Span `json:"left"`
}

// Relayed is the outcome of a Relay.
type Relayed struct {
	Outcome glade.Outcome `json:"outcome"`
	Reason  glade.Reason  `json:"reason,omitempty"`
	Body    []byte        `json:"body,omitempty"`
}

// Bounds of relaying.
const (
	// relayPause is how long a peer without room is not asked again.
	relayPause = 100 * time.Millisecond
	// relayRest is how long a peer that can't be reached is not asked again.
	relayRest = 5 * time.Second
	// roomTime bounds the question whether a peer has room.
	roomTime = 200 * time.Millisecond
	// relayAsks bounds the peers asked for one request.
	relayAsks = 2
)

// rooms remembers which peers had no room for a service.
type rooms struct {
	mu   sync.Mutex
	full map[roomKey]time.Time
}

type roomKey struct {
	node     glade.Node
	customer glade.Customer
	service  glade.Service
}

func (r *rooms) mayAsk(now time.Time, key roomKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !now.Before(r.full[key])
}

func (r *rooms) close(until time.Time, key roomKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.full == nil {
		r.full = make(map[roomKey]time.Time)
	}
	r.full[key] = until
}

// relay offers a request to peers, those of the own availability zone first.
// The second result is false when none took it, in which case it did not run.
func (s *Server) relay(ctx context.Context, w work) (result, bool) {
	asked := 0
	for _, near := range []bool{true, false} {
		start := rand.IntN(len(s.config.Peers) + 1)
		for i := range s.config.Peers {
			peer := s.config.Peers[(start+i)%len(s.config.Peers)]
			key := roomKey{peer.Node, w.contract.Customer(), w.pool.Serve}
			if peer.Near != near || asked == relayAsks || !s.rooms.mayAsk(s.config.Clock.Now(), key) {
				continue
			}
			asked++
			if !s.hasRoom(ctx, peer, key) {
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

// Room asks whether a slot is free for a service.
type Room struct {
	Customer glade.Customer `json:"customer"`
	Service  glade.Service  `json:"service"`
}

// hasRoom asks a peer whether it has a slot free now. The question proves that
// the peer can be reached, too: a request sent into a cut would be unknown.
func (s *Server) hasRoom(ctx context.Context, peer Peer, key roomKey) bool {
	ctx, cancel := context.WithTimeout(ctx, roomTime)
	defer cancel()
	room, err := link.Call[Room, bool](ctx, peer.Client, "room", Room{Customer: key.customer, Service: key.service})
	now := s.config.Clock.Now()
	switch {
	case err != nil:
		s.rooms.close(now.Add(relayRest), key)
	case !room:
		s.rooms.close(now.Add(relayPause), key)
	}
	return room && err == nil
}

// takeRoom answers whether a slot is free now. It takes the slot and gives it
// back.
func (s *Server) takeRoom(ctx context.Context, in Room) (bool, error) {
	contract, _ := s.config.Book.Find(in.Customer)
	pool, ok := contract.PoolFor(in.Service)
	if !ok || s.stopping.Load() {
		return false, nil
	}
	answer := s.config.Desk.Acquire(ctx, desk.Ask{
		Contract: contract, Pool: pool, Deadline: s.config.Clock.Now().Add(roomTime), Instant: true,
	})
	if _, ok = answer.Grant(); ok {
		s.config.Desk.Release(answer, desk.Attempt{Service: in.Service, Result: route.NotAttempted})
	}
	return ok, nil
}

func (s *Server) relayTo(ctx context.Context, peer Peer, w work) result {
	ctx, cancel := context.WithDeadline(ctx, w.deadline)
	defer cancel()
	out, err := link.Call[Relay, Relayed](ctx, peer.Client, "relay", Relay{
		ID: w.id, Customer: w.contract.Customer(), Service: w.pool.Serve, Body: w.body,
		Left: glade.Span(w.deadline.Sub(s.config.Clock.Now())),
	})
	var dial *net.OpError
	switch {
	case err == nil:
		return result{outcome: out.Outcome, reason: out.Reason, body: out.Body}
	case errors.As(err, &dial) && dial.Op == "dial":
		return refused(glade.ReasonConnect)
	}
	return result{outcome: glade.Unknown, reason: glade.ReasonCut}
}

// Register adds the methods that peers call.
func (s *Server) Register(mux *link.Mux) {
	link.Handle(mux, "room", s.takeRoom)
	link.Handle(mux, "relay", s.takeRelay)
}

// takeRelay runs a peer's request if a slot is free now.
func (s *Server) takeRelay(ctx context.Context, in Relay) (Relayed, error) {
	// The count goes up before the look at stopping: a stop that begins in
	// between waits for this relay.
	s.relays.Add(1)
	defer s.relays.Add(-1)
	if s.stopping.Load() {
		return Relayed{Outcome: glade.Refused, Reason: glade.ReasonStopping}, nil
	}
	now := s.config.Clock.Now()
	w := work{id: in.ID, body: in.Body, start: now, deadline: now.Add(in.Left.Duration())}
	var ok bool
	if w.contract, ok = s.config.Book.Find(in.Customer); !ok {
		return Relayed{Outcome: glade.Refused, Reason: glade.ReasonCustomer}, nil
	}
	if w.pool, ok = w.contract.PoolFor(in.Service); !ok {
		return Relayed{Outcome: glade.Refused, Reason: glade.ReasonService}, nil
	}
	r := s.attempt(ctx, w, instant)
	return Relayed{Outcome: r.outcome, Reason: r.reason, Body: r.body}, nil
}
