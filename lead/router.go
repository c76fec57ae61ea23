package lead

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/jrpc"
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
	// SubmitNotLeader means that the called host does not lead the service, or has
	// not loaded its state yet.
	SubmitNotLeader SubmitCode = "elsewhere"
	// SubmitMoved means that the called host has lost the service while the batch was being
	// written. The next leader knows whether it was.
	SubmitMoved SubmitCode = "moved"
	// SubmitNeeded means that the leader needs the batch to decide on an offer.
	SubmitNeeded SubmitCode = "needed"
	// SubmitFormer means that other services may know the batch: its path has moved.
	SubmitFormer SubmitCode = "former"
	// SubmitAbsent is the answer of a former service that doesn't know the batch and never will.
	SubmitAbsent SubmitCode = "absent"
)

// ReasonOwner is the reason of a refusal because the ID belongs to a batch of another tenant. The
// caller can't retry.
const ReasonOwner = sched.ReasonOwner

// ReasonRow is the reason of a refusal because the store rejects the row of the batch. The caller
// can't retry.
const ReasonRow = "row"

// SubmitArgs is the request that sends a batch to the leader of its service.
type SubmitArgs struct {
	Service glade.Service `json:"service"`
	ID      glade.BatchID `json:"id"`
	Queue   glade.Queue   `json:"queue"`
	Batch   glade.Batch   `json:"work"`
	// TimeoutMs is the time that the caller waits, in milliseconds.
	TimeoutMs int64 `json:"within"`
	// Epoch is that of the leader that the batch is sent to; 0 if it is not known. A late
	// arrival is not taken by a later leader, which may have refused the batch.
	Epoch int64 `json:"epoch,omitempty"`
	// Path is that of the queue in the sender's contract.
	Path string `json:"path,omitempty"`
	// Cleared lists services that don't know the batch and never will, as of Version of the
	// contract.
	Cleared []glade.Service `json:"cleared,omitempty"`
	Version int64           `json:"number,omitempty"`
}

// SubmitReply is the leader's answer to a submission.
type SubmitReply struct {
	Code   SubmitCode `json:"code"`
	Reason string     `json:"reason,omitempty"`
	// After is the time after which the caller may retry, in milliseconds.
	After int64 `json:"after,omitempty"`
	// Epoch is that of the leader that decided; 0 if none did.
	Epoch int64 `json:"epoch,omitempty"`
	// Known is the term that the called host knows, if it does not lead.
	Known *KnownTerm `json:"known,omitempty"`
	// Former has the services to ask first, with SubmitFormer.
	Former *FormerServices `json:"former,omitempty"`
}

// FormerServices are services that may know a batch, because its path has moved.
type FormerServices struct {
	Services []glade.Service `json:"services"`
	// Version is the version of the contract as of which they must answer.
	Version int64 `json:"number"`
}

// KnownTerm tells a host whose feed of the terms is interrupted which host leads.
type KnownTerm struct {
	Term    Term  `json:"term"`
	Version int64 `json:"ver"`
}

// knownTerm returns the term of a service as this process knows it; nil if it knows none.
func (m *Manager) knownTerm(service glade.Service) *KnownTerm {
	known := m.config.Directory.LastHeartbeat(service, m.config.Clock.Now())
	if known.Version == 0 {
		return nil
	}
	return &KnownTerm{Term: known.Term, Version: known.Version}
}

// notLeader returns the answer to a submission of a host that doesn't lead.
func (m *Manager) notLeader(service glade.Service, reason string) SubmitReply {
	return SubmitReply{Code: SubmitNotLeader, Reason: reason, Known: m.knownTerm(service)}
}

// RPC methods between hosts.
const (
	methodSubmit = "submit"
	methodOffer  = "offer"
	methodCancel = "cancel"
	methodState  = "state"
)

// Register registers the RPC methods that other hosts call.
func (m *Manager) Register(mux *jrpc.Mux) {
	m.handleLoad(mux)
	m.handleHandover(mux)
	handlePing(mux)
	m.handleYield(mux)
	m.handleExplain(mux)
	m.handleHeld(mux)
	jrpc.HandleLimited(mux, methodSubmit, m.pending, callCost, func(ctx context.Context, in SubmitArgs) (SubmitReply, error) {
		return m.submitLocal(ctx, in), nil
	})
	jrpc.HandleLimited(mux, methodOffer, m.pending, callCost, func(ctx context.Context, in OfferArgs) (SubmitReply, error) {
		return m.offerLocal(ctx, in), nil
	})
	jrpc.Handle(mux, methodCancel, func(ctx context.Context, in BatchArgs) (BatchReply, error) {
		return m.cancelLocal(ctx, in)
	})
	jrpc.Handle(mux, methodState, func(_ context.Context, in BatchArgs) (BatchReply, error) {
		return m.stateLocal(in), nil
	})
}

func (m *Manager) submitLocal(ctx context.Context, in SubmitArgs) SubmitReply {
	return m.decideLocal(ctx, in.Service, in.TimeoutMs, func(ctx context.Context, leader *ServiceLeader) SubmitReply {
		return leader.submit(ctx, in)
	})
}

// decideLocal lets the leader of a service in this process decide, within the time that
// the caller waits.
func (m *Manager) decideLocal(ctx context.Context, service glade.Service, timeoutMs int64, decide func(ctx context.Context, leader *ServiceLeader) SubmitReply) SubmitReply {
	leader, ok := m.LocalLeader(service)
	if !ok || leader.hasEnded() {
		return m.notLeader(service, "")
	}
	bounded, cancel := context.WithTimeout(ctx, time.Duration(timeoutMs)*time.Millisecond)
	defer cancel()
	return decide(bounded, leader)
}

// Timeouts and intervals of calls between hosts.
const (
	callTimeout = 1500 * time.Millisecond
	// searchInterval is the pause between two attempts to reach a leader, and
	// searchTimeout the longest search: a planned handover is shorter, a takeover
	// after a crash longer.
	searchInterval = 50 * time.Millisecond
	searchTimeout  = 700 * time.Millisecond
	// leaderRetryAfter is the time after which a caller may retry while no host leads.
	leaderRetryAfter = 2 * time.Second
)

// Router routes requests on any host to the leader of their service.
type Router struct {
	manager *Manager
	clock   glade.Clock
	mu      sync.Mutex
	clients map[string]*jrpc.Client
	// pending holds the calls to other hosts in flight.
	pending   map[*pendingCall]bool
	overloads overloads
	doubts    doubts
	numbers   waitingNumbers
}

func newRouter(manager *Manager) *Router {
	return &Router{manager: manager, clock: manager.config.Clock, clients: make(map[string]*jrpc.Client), pending: make(map[*pendingCall]bool)}
}

// peerClient returns the client for the host at an address, which is kept for later
// calls.
func (r *Router) peerClient(address string) *jrpc.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.clients[address]
	if !ok {
		c = jrpc.NewClient(jrpc.Config{Address: address, Timeout: callTimeout + searchTimeout, Traffic: r.manager.config.PeerTraffic, Dial: r.manager.config.DialPeer})
		r.clients[address] = c
	}
	return c
}

// pendingCall is a call to another host that is not answered yet.
type pendingCall struct{ began time.Time }

func (r *Router) beginCall() *pendingCall {
	c := &pendingCall{began: r.clock.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[c] = true
	return c
}

func (r *Router) endCall(c *pendingCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pending, c)
}

// oldestCall returns the age of the oldest call to another host that is not answered.
func (r *Router) oldestCall(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := time.Duration(0)
	for c := range r.pending {
		oldest = max(oldest, now.Sub(c.began))
	}
	return oldest
}

// isUnreachable reports whether this host is isolated and does not lead the service
// itself.
func (r *Router) isUnreachable(service glade.Service) bool {
	_, local := r.manager.LocalLeader(service)
	return !local && r.manager.isolation.IsIsolated()
}

// route calls a service's leader, in this process or on another host. It returns
// false if no leader is known.
func route[In, Out any](ctx context.Context, r *Router, service glade.Service, method string, in In, local func() (Out, error)) (Out, bool, error) {
	var none Out
	if _, ok := r.manager.LocalLeader(service); ok {
		out, err := local()
		return out, true, err
	}
	term, ok := r.manager.config.Directory.Leader(service)
	if !ok || term.Node == r.manager.config.Self {
		r.manager.config.Directory.Refresh()
		return none, false, nil
	}
	bounded, cancel := r.manager.isolation.bound(ctx)
	defer cancel()
	bounded, stop := r.manager.config.Directory.boundToEpoch(bounded, service, term.Epoch)
	defer stop()
	defer r.endCall(r.beginCall())
	out, err := jrpc.Call[In, Out](bounded, r.peerClient(term.Address), method, in)
	if err != nil {
		r.manager.config.Directory.Refresh()
	}
	return out, true, err
}

// Submit sends a batch to the leader of its service and searches for the leader
// while none is reached. While the leader refuses batches of the queue for lack of
// capacity, the batch is offered to it first.
func (r *Router) Submit(ctx context.Context, in SubmitArgs, timeout time.Duration) SubmitReply {
	a := r.doubts.begin(in.ID, r.clock.Now())
	reply := r.submitWithin(ctx, in, timeout, a)
	a.end(reply.Code, r.clock.Now())
	return reply
}

// submitWithin submits a batch if there is room for it among those that wait for the answer of their leader.
func (r *Router) submitWithin(ctx context.Context, in SubmitArgs, timeout time.Duration, a *attempt) SubmitReply {
	cost := batchCost(in.Batch)
	if !r.manager.pending.Take(cost) {
		return crowdedReply(a.isOpen(0, r.clock.Now()))
	}
	defer r.manager.pending.Give(cost)
	return r.submit(ctx, in, timeout, a)
}

func (r *Router) submit(ctx context.Context, in SubmitArgs, timeout time.Duration, a *attempt) SubmitReply {
	deadline := r.clock.Now().Add(timeout)
	searchEnd := r.clock.Now().Add(searchTimeout)
	// inDoubt is set while a former service of the path, or a leader with another version of the
	// contract, may know the batch.
	inDoubt := false
	offer := r.overloads.isRecent(in.Service, in.Queue, r.clock.Now()) || r.overloads.isLimitRecent(in.Service, in.Queue, in.Batch.Tenant, r.clock.Now())
	for {
		if r.isUnreachable(in.Service) {
			return isolatedReply(a.isOpen(0, r.clock.Now()))
		}
		in.TimeoutMs = max(deadline.Sub(r.clock.Now()).Milliseconds(), 1)
		in.Epoch = r.leaderEpoch(in.Service)
		reply, found, err := r.submitOnce(ctx, in, offer)
		r.learn(in.Service, reply.Known)
		switch {
		case errors.Is(err, jrpc.ErrBusy):
			return crowdedReply(inDoubt || a.isOpen(0, r.clock.Now())) // the leader has not looked whether it knows the batch
		case err != nil:
			notSent := offer || errors.Is(err, jrpc.ErrNotSent)
			if !notSent {
				a.add(in.Epoch)
			}
			offer = false // a leader of an older version knows no offers
			r.manager.config.Log.Info("submission to the leader failed", "batch", in.ID, "service", in.Service, "epoch", in.Epoch, "sent", !notSent, "error", err.Error())
		case found && reply.Code == SubmitNeeded:
			offer = false
			continue
		case found && reply.Code == SubmitMoved:
			a.add(reply.Epoch)
		case found && reply.Code == SubmitFormer && reply.Former != nil:
			answer, known, cleared := r.askFormers(ctx, in, *reply.Former)
			if known {
				return answer
			}
			if cleared {
				in.Cleared, in.Version = reply.Former.Services, reply.Former.Version
				continue
			}
			inDoubt = true
		case found && reply.Code != SubmitNotLeader:
			switch {
			case reply.Code == SubmitUnknown, reply.Code == SubmitAccepted:
				a.add(max(in.Epoch, reply.Epoch))
			case reply.Code == SubmitRefused && reply.Reason == ReasonOwner:
				a.foreign = true // this caller's batch never runs under the ID
			case reply.Code == SubmitRefused && a.isOpen(reply.Epoch, r.clock.Now()):
				// An earlier attempt may still arrive, or may be written.
				reply.Code = SubmitUnknown
			}
			return reply
		case found:
			inDoubt = inDoubt || reply.Reason == reasonContract
			r.manager.config.Directory.Refresh()
		}
		now := r.clock.Now()
		expired := now.After(deadline) || r.clock.Sleep(ctx, searchInterval) != nil
		switch {
		case (expired || now.After(searchEnd)) && inDoubt:
			return SubmitReply{Code: SubmitUnknown, Reason: "former"}
		case (expired || now.After(searchEnd)) && !a.isOpen(0, now):
			return SubmitReply{Code: SubmitRefused, Reason: "lead", After: leaderRetryAfter.Milliseconds()}
		case expired:
			return SubmitReply{Code: SubmitUnknown, Reason: "lead"}
		}
	}
}

// leaderEpoch returns the epoch of a service's leader as this process knows it; 0 if it knows
// none.
func (r *Router) leaderEpoch(service glade.Service) int64 {
	if leader, ok := r.manager.LocalLeader(service); ok {
		return leader.term.Epoch
	}
	term, _ := r.manager.config.Directory.Leader(service)
	return term.Epoch
}

// learn records the term that another host knows, in case that this host's feed is interrupted.
func (r *Router) learn(service glade.Service, known *KnownTerm) {
	if known != nil {
		r.manager.config.Directory.RecordTerm(service, known.Term, known.Version)
	}
}

// submitOnce sends a batch, or only an offer of it, to the leader that is known now.
func (r *Router) submitOnce(ctx context.Context, in SubmitArgs, offer bool) (reply SubmitReply, found bool, err error) {
	if offer {
		o := OfferArgs{Service: in.Service, ID: in.ID, Queue: in.Queue, Path: in.Path, Batch: sched.Summarize(in.Batch), TimeoutMs: in.TimeoutMs}
		reply, found, err = route(ctx, r, in.Service, methodOffer, o, func() (SubmitReply, error) {
			return r.manager.offerLocal(ctx, o), nil
		})
	} else {
		reply, found, err = route(ctx, r, in.Service, methodSubmit, in, func() (SubmitReply, error) {
			return r.manager.submitLocal(ctx, in), nil
		})
	}
	switch {
	case reply.Code == SubmitRefused && isOverload(reply.Reason):
		r.overloads.record(in.Service, in.Queue, r.clock.Now())
	case reply.Code == SubmitRefused && isLimit(reply.Reason):
		r.overloads.recordLimit(in.Service, in.Queue, in.Batch.Tenant, r.clock.Now())
	}
	return reply, found, err
}

// isolatedRetryAfter is the time after which a caller may retry at a host that is
// isolated: by then the load balancer sends it to another one.
const isolatedRetryAfter = time.Second

// isolatedReply answers a submission while this host reaches no other zone. Waiting
// would not help the caller, who may reach other hosts.
func isolatedReply(sent bool) SubmitReply {
	if sent {
		return SubmitReply{Code: SubmitUnknown, Reason: "isolated"}
	}
	return SubmitReply{Code: SubmitRefused, Reason: "isolated", After: isolatedRetryAfter.Milliseconds()}
}
