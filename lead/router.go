package lead

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/link"
	"indigoglade/sched"
)

// SubmitCode is the outcome of a submission.
type SubmitCode string

// Outcomes of a submission.
const (
	SubmitAccepted SubmitCode = "accepted"
	// SubmitRefused means that the batch was not stored and will never run.
	SubmitRefused SubmitCode = "refused"
	// SubmitUnknown means that the batch may have been accepted.
	SubmitUnknown SubmitCode = "unknown"
	// SubmitElsewhere means that the called host does not lead the service, or has
	// not loaded its state yet.
	SubmitElsewhere SubmitCode = "elsewhere"
)

// SubmitArgs is the request that sends a batch to the leader of its service.
type SubmitArgs struct {
	Service glade.Service `json:"service"`
	ID      glade.BatchID `json:"id"`
	Queue   glade.Queue   `json:"queue"`
	Work    glade.Batch   `json:"work"`
	// Within is the time that the caller waits, in milliseconds.
	Within int64 `json:"within"`
}

// SubmitReply is the leader's answer to a submission.
type SubmitReply struct {
	Code   SubmitCode `json:"code"`
	Reason string     `json:"reason,omitempty"`
	// After is the time after which the caller may retry, in milliseconds.
	After int64 `json:"after,omitempty"`
}

// BatchArgs identifies a batch of a service, or a queue if the ID is empty.
type BatchArgs struct {
	Service glade.Service `json:"service"`
	ID      glade.BatchID `json:"id,omitempty"`
	Queue   glade.Queue   `json:"queue,omitempty"`
}

// BatchReply is the state of a batch, or the backlog of a queue.
type BatchReply struct {
	// Leads is false if the called host does not lead the service, or has not loaded
	// its state yet.
	Leads bool             `json:"leads"`
	Known bool             `json:"known"`
	State glade.BatchState `json:"state,omitempty"`
	// Waiting is the number of accepted batches of which no task has started.
	Waiting int `json:"waiting,omitempty"`
}

// RPC methods between hosts.
const (
	methodSubmit = "submit"
	methodCancel = "cancel"
	methodState  = "state"
)

// Handle registers the RPC methods that other hosts call.
func (k *Keep) Handle(mux *link.Mux) {
	k.handleClose(mux)
	handlePing(mux)
	link.Handle(mux, methodSubmit, func(ctx context.Context, in SubmitArgs) (SubmitReply, error) {
		return k.submitHere(ctx, in), nil
	})
	link.Handle(mux, methodCancel, func(ctx context.Context, in BatchArgs) (BatchReply, error) {
		return k.cancelHere(ctx, in)
	})
	link.Handle(mux, methodState, func(_ context.Context, in BatchArgs) (BatchReply, error) {
		return k.stateHere(in), nil
	})
}

func (k *Keep) submitHere(ctx context.Context, in SubmitArgs) SubmitReply {
	seat, ok := k.Seat(in.Service)
	if !ok {
		return SubmitReply{Code: SubmitElsewhere}
	}
	bounded, cancel := context.WithTimeout(ctx, time.Duration(in.Within)*time.Millisecond)
	defer cancel()
	return seat.submit(bounded, in)
}

// failFastAfter is how long writes must have failed before submissions are refused
// at once.
const brokenAfter = 250 * time.Millisecond

// storeRetryAfter is the time after which a caller may retry while the store does
// not take writes.
const brokenRetry = 2 * time.Second

func (s *Seat) submit(ctx context.Context, in SubmitArgs) SubmitReply {
	var verdict sched.Verdict
	now := s.clock.Now()
	broken := false
	if !s.with(func(built *sched.Sched) {
		_, known := built.State(in.ID)
		broken = !known && s.isBroken(now)
		if broken {
			built.TurnAway(in.ID, in.Queue, in.Work, now)
			return
		}
		verdict = built.Submit(in.ID, in.Queue, in.Work, now)
	}) {
		return SubmitReply{Code: SubmitElsewhere, Reason: "loading"}
	}
	if broken {
		return SubmitReply{Code: SubmitRefused, Reason: "store", After: brokenRetry.Milliseconds()}
	}
	if !verdict.Accepted {
		return SubmitReply{Code: SubmitRefused, Reason: verdict.Reason, After: verdict.After.Milliseconds()}
	}
	return s.awaitAccepted(ctx, in.ID, verdict.Gen)
}

// awaitAccepted waits until a batch is written. While the store takes no writes,
// a batch that certainly was not written is withdrawn and refused at once.
func (s *Seat) awaitAccepted(ctx context.Context, id glade.BatchID, gen int64) SubmitReply {
	for {
		s.mu.Lock()
		written := s.sched.IsWritten(id, gen)
		tried := s.tried
		withdrawn := false
		if !written && s.isBroken(s.clock.Now()) {
			withdrawn = s.sched.Withdraw(id)
		}
		s.mu.Unlock()
		switch {
		case written:
			return SubmitReply{Code: SubmitAccepted}
		case withdrawn:
			return SubmitReply{Code: SubmitRefused, Reason: "store", After: brokenRetry.Milliseconds()}
		}
		select {
		case <-tried:
		case <-ctx.Done():
			return s.giveUpAccepting(id)
		}
	}
}

// endAccepting decides the reply when the caller's deadline passes before the batch
// is written.
func (s *Seat) giveUpAccepting(id glade.BatchID) SubmitReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sched.Withdraw(id) {
		return SubmitReply{Code: SubmitRefused, Reason: "store", After: brokenRetry.Milliseconds()}
	}
	return SubmitReply{Code: SubmitUnknown, Reason: "store"}
}

// isStoreFailing reports whether writes have failed for longer than failFastAfter.
func (s *Seat) isBroken(now time.Time) bool {
	return !s.broken.IsZero() && now.Sub(s.broken) > brokenAfter
}

// awaitWritten waits until a change of a batch is written. It returns false when
// ctx ends before that.
func (s *Seat) awaitWritten(ctx context.Context, id glade.BatchID, gen int64) bool {
	for {
		s.mu.Lock()
		written := s.sched.IsWritten(id, gen)
		tried := s.tried
		s.mu.Unlock()
		if written {
			return true
		}
		select {
		case <-tried:
		case <-ctx.Done():
			return false
		}
	}
}

func (k *Keep) cancelHere(ctx context.Context, in BatchArgs) (BatchReply, error) {
	seat, ok := k.Seat(in.Service)
	if !ok {
		return BatchReply{}, nil
	}
	known, gen := false, int64(0)
	if !seat.with(func(built *sched.Sched) { known, gen = built.Cancel(in.ID, seat.clock.Now()) }) {
		return BatchReply{}, nil
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !seat.awaitWritten(bounded, in.ID, gen) {
		return BatchReply{}, errors.Errorf("cancellation of batch %s was not written in time", in.ID)
	}
	return BatchReply{Leads: true, Known: known}, nil
}

func (k *Keep) stateHere(in BatchArgs) BatchReply {
	seat, ok := k.Seat(in.Service)
	if !ok {
		return BatchReply{}
	}
	reply := BatchReply{Leads: true}
	if !seat.with(func(built *sched.Sched) {
		if in.ID == "" {
			reply.Known, reply.Waiting = true, built.Waiting(in.Queue)
			return
		}
		reply.State, reply.Known = built.State(in.ID)
	}) {
		return BatchReply{}
	}
	return reply
}

// Timeouts and intervals of calls between hosts.
const (
	callTimeout = 1500 * time.Millisecond
	// searchInterval is the pause between two attempts to reach a leader, and
	// searchTimeout the longest search: a planned handover is shorter, a takeover
	// after a crash longer.
	findPause = 50 * time.Millisecond
	findTime  = 700 * time.Millisecond
	// leaderRetryAfter is the time after which a caller may retry while no host leads.
	leaderRetry = 2 * time.Second
)

// Gate routes requests on any host to the leader of their service.
type Gate struct {
	keep  *Keep
	clock glade.Clock
	mu    sync.Mutex
	peers map[string]*link.Client
}

func newGate(keep *Keep) *Gate {
	return &Gate{keep: keep, clock: keep.config.Clock, peers: make(map[string]*link.Client)}
}

// peerClient returns the client for the host at an address, which is kept for later
// calls.
func (g *Gate) peer(address string) *link.Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.peers[address]
	if !ok {
		c = link.NewClient(link.Config{Address: address, Timeout: callTimeout + findTime})
		g.peers[address] = c
	}
	return c
}

// callLeader calls a service's leader, in this process or on another host. It
// returns false if no leader is known.
func reach[In, Out any](ctx context.Context, g *Gate, service glade.Service, method string, in In, here func() (Out, error)) (Out, bool, error) {
	var none Out
	if _, ok := g.keep.Seat(service); ok {
		out, err := here()
		return out, true, err
	}
	term, ok := g.keep.config.Board.Lead(service)
	if !ok || term.Node == g.keep.config.Self {
		return none, false, nil
	}
	out, err := link.Call[In, Out](ctx, g.peer(term.Address), method, in)
	return out, true, err
}

// Submit sends a batch to the leader of its service and searches for the leader
// while none is reached.
func (g *Gate) Submit(ctx context.Context, in SubmitArgs, within time.Duration) SubmitReply {
	deadline := g.clock.Now().Add(within)
	search := g.clock.Now().Add(findTime)
	sent := false
	for {
		in.Within = max(deadline.Sub(g.clock.Now()).Milliseconds(), 1)
		reply, found, err := reach(ctx, g, in.Service, methodSubmit, in, func() (SubmitReply, error) {
			return g.keep.submitHere(ctx, in), nil
		})
		switch {
		case err != nil:
			sent = true // the request may have arrived
			g.keep.config.Log.Info("leader did not answer", "batch", in.ID, "service", in.Service, "error", err.Error())
		case found && reply.Code != SubmitElsewhere:
			if reply.Code == SubmitRefused && sent {
				// An earlier attempt may still arrive at another leader.
				reply.Code = SubmitUnknown
			}
			return reply
		}
		now := g.clock.Now()
		ended := now.After(deadline) || g.clock.Sleep(ctx, findPause) != nil
		switch {
		case !sent && (ended || now.After(search)):
			return SubmitReply{Code: SubmitRefused, Reason: "lead", After: leaderRetry.Milliseconds()}
		case ended:
			return SubmitReply{Code: SubmitUnknown, Reason: "lead"}
		}
	}
}

// ErrNoLead means that no leader of the service answered in time.
var ErrNoLead = errors.New("no leader of the service answered in time")

// Cancel cancels a batch. It returns false if the batch does not exist.
func (g *Gate) Cancel(ctx context.Context, in BatchArgs, within time.Duration) (bool, error) {
	reply, err := g.ask(ctx, methodCancel, in, within, func() (BatchReply, error) { return g.keep.cancelHere(ctx, in) })
	return reply.Known, err
}

// State returns the state of a batch, or of a queue if the ID is empty.
func (g *Gate) State(ctx context.Context, in BatchArgs, within time.Duration) (BatchReply, error) {
	return g.ask(ctx, methodState, in, within, func() (BatchReply, error) { return g.keep.stateHere(in), nil })
}

// callIdempotent repeats a call until a leader answers. The method must be
// idempotent.
func (g *Gate) ask(ctx context.Context, method string, in BatchArgs, within time.Duration, here func() (BatchReply, error)) (BatchReply, error) {
	deadline := g.clock.Now().Add(within)
	for {
		reply, _, err := reach(ctx, g, in.Service, method, in, here)
		if err == nil && reply.Leads {
			return reply, nil
		}
		if g.clock.Now().After(deadline) || g.clock.Sleep(ctx, findPause) != nil {
			return reply, ErrNoLead
		}
	}
}
