package lead

import (
	"context"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/jrpc"
	"indigoglade/sched"
)

// BatchArgs identifies a batch of a service, or a queue if the ID is empty.
type BatchArgs struct {
	Service glade.Service `json:"service"`
	ID      glade.BatchID `json:"id,omitempty"`
	Queue   glade.Queue   `json:"queue,omitempty"`
	// Tenant is the tenant of the key that the caller presented. A batch of
	// another tenant is unknown to it.
	Tenant glade.Tenant `json:"tenant,omitempty"`
	// Path is that of the queue in the sender's contract.
	Path string `json:"path,omitempty"`
	// FormerOnly asks a former service of the path, as of Version of the contract. Cleared means that
	// none of them knows the batch.
	FormerOnly bool  `json:"formerOnly,omitempty"`
	Version    int64 `json:"number,omitempty"`
	Cleared    bool  `json:"cleared,omitempty"`
}

// BatchReply is the state of a batch, or the backlog of a queue.
type BatchReply struct {
	// IsLeader is false if the called host does not lead the service, or has
	// not loaded its state yet.
	IsLeader bool             `json:"leads"`
	Known    bool             `json:"known"`
	State    glade.BatchState `json:"state,omitempty"`
	// Waiting is the number of accepted batches of which no task has started.
	Waiting int `json:"waiting,omitempty"`
	// KnownTerm is the term that the called host knows, if it does not lead.
	KnownTerm *KnownTerm `json:"term,omitempty"`
	// Former lists other services that may know the batch, which this one doesn't, or may have
	// batches that wait, and Version the version of the contract as of which they must answer.
	Former  []glade.Service `json:"former,omitempty"`
	Version int64           `json:"number,omitempty"`
}

func (m *Manager) cancelLocal(ctx context.Context, in BatchArgs) (BatchReply, error) {
	leader, ok := m.LocalLeader(in.Service)
	if !ok || leader.hasEnded() {
		return BatchReply{KnownTerm: m.knownTerm(in.Service)}, nil
	}
	known, gen, absent, full := false, int64(0), false, false
	former, version, hasPath := leader.paths.formers(in.Path)
	decided := hasPath
	if in.FormerOnly {
		decided = leader.paths.proves(in.Version) // a later submission must not be taken here
	}
	if !leader.withSched(func(scheduler *sched.Scheduler) {
		// An ID that has not arrived is cancelled only where it would arrive.
		absent = !scheduler.IsKnown(in.ID) && (in.FormerOnly || !hasPath || len(former) > 0 && !in.Cleared)
		if full = !absent && !scheduler.MayCancel(in.ID); !absent && !full {
			known, gen = scheduler.CancelAt(in.Path, in.Tenant, in.ID, leader.clock.Now())
		}
	}) {
		return BatchReply{}, nil
	}
	if full {
		return BatchReply{}, errors.Wrapf(jrpc.ErrBusy, "cancel batch %s, which has not arrived", in.ID)
	}
	if absent {
		return BatchReply{IsLeader: decided && !leader.mayBeReplaced(), Former: former, Version: version}, nil
	}
	bounded, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !leader.awaitWritten(bounded, in.ID, gen) {
		return BatchReply{}, errors.Errorf("cancellation of batch %s was not written in time", in.ID)
	}
	return BatchReply{IsLeader: true, Known: known}, nil
}

func (m *Manager) stateLocal(in BatchArgs) BatchReply {
	leader, ok := m.LocalLeader(in.Service)
	if !ok || leader.hasEnded() {
		return BatchReply{KnownTerm: m.knownTerm(in.Service)}
	}
	reply := BatchReply{IsLeader: true}
	if !leader.withSched(func(scheduler *sched.Scheduler) {
		if in.ID == "" {
			reply.Known, reply.Waiting = true, scheduler.Waiting(in.Queue, in.Path)
			return
		}
		if scheduler.IsKnownTo(in.Tenant, in.ID) {
			reply.State, reply.Known = scheduler.State(in.ID)
		}
	}) {
		return BatchReply{}
	}
	if (in.ID == "" || !reply.Known) && leader.mayBeReplaced() {
		reply.IsLeader = false
	}
	if in.FormerOnly || reply.Known && in.ID != "" {
		return reply
	}
	var hasPath bool
	reply.Former, reply.Version, hasPath = leader.paths.formers(in.Path)
	if !hasPath {
		reply.IsLeader = false // the contract of this host or of the sender is older
	}
	return reply
}

// ErrNoLeader means that no leader of the service answered in time.
var ErrNoLeader = errors.New("no leader of the service answered in time")

// Cancel cancels a batch. It returns false if the batch does not exist.
func (r *Router) Cancel(ctx context.Context, in BatchArgs, timeout time.Duration) (bool, error) {
	cancel := func(in BatchArgs) (BatchReply, error) {
		return callIdempotent(ctx, r, in.Service, methodCancel, in, timeout, func() (BatchReply, error) { return r.manager.cancelLocal(ctx, in) })
	}
	reply, err := cancel(in)
	if err != nil || reply.Known || len(reply.Former) == 0 {
		return reply.Known, err
	}
	in.Version = reply.Version
	if found, err := r.askEach(in, reply.Former, cancel); err != nil || found.Known {
		return found.Known, err
	}
	in.Cleared = true
	reply, err = cancel(in)
	return reply.Known, err
}

// State returns the state of a batch, or the number of waiting batches of a queue if the ID is empty.
func (r *Router) State(ctx context.Context, in BatchArgs, timeout time.Duration) (BatchReply, error) {
	if in.ID == "" {
		return r.waiting(ctx, in, timeout)
	}
	state := func(in BatchArgs) (BatchReply, error) {
		return callIdempotent(ctx, r, in.Service, methodState, in, timeout, func() (BatchReply, error) { return r.manager.stateLocal(in), nil })
	}
	reply, err := state(in)
	if err != nil || len(reply.Former) == 0 {
		return reply, err
	}
	return r.askEach(in, reply.Former, state)
}

// askEach asks the former services of a path for a batch, until one knows it.
func (*Router) askEach(in BatchArgs, former []glade.Service, ask func(BatchArgs) (BatchReply, error)) (BatchReply, error) {
	in.FormerOnly = true
	var reply BatchReply
	for _, service := range former {
		in.Service = service
		var err error
		if reply, err = ask(in); err != nil || reply.Known {
			return reply, err
		}
	}
	return reply, nil
}

// answer is the reply to a call that only the leader of a service decides.
type answer interface {
	// decided reports whether a leader has answered, and the term that the called host knows
	// otherwise.
	decided() (isLeader bool, known *KnownTerm)
}

func (r BatchReply) decided() (bool, *KnownTerm) { return r.IsLeader, r.KnownTerm }

// callIdempotent repeats a call until a leader answers. The method must be
// idempotent.
func callIdempotent[In any, Out answer](ctx context.Context, r *Router, service glade.Service, method string, in In, timeout time.Duration, local func() (Out, error)) (Out, error) {
	deadline := r.clock.Now().Add(timeout)
	for {
		reply, _, err := route(ctx, r, service, method, in, local)
		isLeader, known := reply.decided()
		r.learn(service, known)
		if err == nil && isLeader {
			return reply, nil
		}
		if errors.Is(err, jrpc.ErrBusy) {
			return reply, err
		}
		if r.isUnreachable(service) {
			return reply, ErrNoLeader
		}
		if r.clock.Now().After(deadline) || r.clock.Sleep(ctx, searchInterval) != nil {
			return reply, ErrNoLeader
		}
	}
}
