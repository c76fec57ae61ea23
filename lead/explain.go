package lead

import (
	"context"
	"fmt"
	"time"

	glade "indigoglade"
	"indigoglade/jrpc"
	"indigoglade/sched"
)

// MethodExplain is the RPC method that operators call on any host.
const MethodExplain = "explain"

// ExplainArgs asks what would become of a batch if it were submitted now.
type ExplainArgs struct {
	Service glade.Service `json:"service"`
	ID      glade.BatchID `json:"id"`
	Queue   glade.Queue   `json:"queue"`
	Batch   glade.Batch   `json:"work"`
	// Forwarded calls are answered by the called host alone, so that two hosts that take each
	// other for the leader make no loop.
	Forwarded bool `json:"forwarded,omitempty"`
}

// ExplainReply is the leader's explanation. Times are in milliseconds.
type ExplainReply struct {
	// IsLeader is false if no leader has answered. KnownTerm is then the newest term that the
	// called host knows, and nil if it knows none.
	IsLeader  bool       `json:"leads"`
	KnownTerm *KnownTerm `json:"term,omitempty"`
	// Node and Epoch are those of the leader, RenewalAgeMs the age of its last renewal.
	Node         glade.Node `json:"node,omitempty"`
	Epoch        int64      `json:"epoch,omitempty"`
	RenewalAgeMs int64      `json:"renewalAgeMs"`
	// IsReplaceable means that another host may lead by now.
	IsReplaceable bool `json:"replaceable,omitempty"`
	// StoreFailing means that the leader refuses all batches because the store takes no writes.
	StoreFailing bool `json:"storeFailing,omitempty"`
	// Contract is the version of the contract.
	Contract int64 `json:"contract"`
	// Unknown means that the contract has no such queue in the service.
	Unknown     bool               `json:"unknownQueue,omitempty"`
	Explanation *sched.Explanation `json:"explanation,omitempty"`
	// Problem is why the leader has no explanation, although it tried.
	Problem string `json:"problem,omitempty"`
	// Former lists other services that may know the batch, which this one doesn't, and Version the
	// version of the contract as of which they must answer.
	Former  []glade.Service `json:"former,omitempty"`
	Version int64           `json:"number,omitempty"`
	// Holder is the former service that knows the batch. Unasked lists those that have not answered.
	Holder  glade.Service   `json:"holder,omitempty"`
	Unasked []glade.Service `json:"unasked,omitempty"`
}

func (r ExplainReply) decided() (bool, *KnownTerm) { return r.IsLeader, r.KnownTerm }

// handleExplain registers the method for operators.
func (m *Manager) handleExplain(mux *jrpc.Mux) {
	jrpc.HandleLimited(mux, MethodExplain, m.pending, callCost, func(ctx context.Context, in ExplainArgs) (ExplainReply, error) {
		if in.Forwarded {
			return m.explainLocal(in), nil
		}
		return m.router.Explain(ctx, in, searchTimeout), nil
	})
}

// Explain asks the leader of a service what would become of a batch. If none answers in time,
// the reply is not a leader's.
func (r *Router) Explain(ctx context.Context, in ExplainArgs, timeout time.Duration) ExplainReply {
	in.Forwarded = true
	reply, err := callIdempotent(ctx, r, in.Service, MethodExplain, in, timeout, func() (ExplainReply, error) { return r.manager.explainLocal(in), nil })
	if err != nil {
		return ExplainReply{KnownTerm: r.manager.knownTerm(in.Service)}
	}
	if len(reply.Former) > 0 {
		r.findHolder(ctx, in, &reply, timeout)
	}
	return reply
}

// findHolder asks the former services of a queue's path whether they know a batch, all within the timeout.
func (r *Router) findHolder(ctx context.Context, in ExplainArgs, reply *ExplainReply, timeout time.Duration) {
	deadline := r.clock.Now().Add(timeout)
	args := BatchArgs{ID: in.ID, Queue: in.Queue, Tenant: in.Batch.Tenant, FormerOnly: true, Version: reply.Version}
	for _, service := range reply.Former {
		args.Service = service
		state, err := callIdempotent(ctx, r, service, methodState, args, deadline.Sub(r.clock.Now()), func() (BatchReply, error) { return r.manager.stateLocal(args), nil })
		switch {
		case err != nil:
			reply.Unasked = append(reply.Unasked, service)
		case state.Known:
			reply.Holder = service
			reply.Explanation.Known, reply.Explanation.Accepted, reply.Explanation.Reason = true, true, ""
			return
		}
	}
}

// pathOf returns the path of a queue.
func (m *Manager) pathOf(service glade.Service, queue glade.Queue) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, rule := range m.rules.Queues {
		if rule.Service == service && rule.Queue == queue {
			return rule.Path()
		}
	}
	return ""
}

func (m *Manager) explainLocal(in ExplainArgs) ExplainReply {
	leader, ok := m.LocalLeader(in.Service)
	if !ok || leader.hasEnded() {
		return ExplainReply{KnownTerm: m.knownTerm(in.Service)}
	}
	m.mu.Lock()
	reply := ExplainReply{IsLeader: true, Node: m.config.Self, Epoch: leader.term.Epoch, Contract: m.rules.Version}
	m.mu.Unlock()
	// Nothing changes, so that no step is woken.
	if !leader.protect(func() {
		defer func() { // a fault of the explanation is none of the leadership
			if cause := recover(); cause != nil {
				reply.Problem = fmt.Sprintf("explain batch %s: %v", in.ID, cause)
			}
		}()
		now := leader.clock.Now()
		reply.RenewalAgeMs = leader.sched.RenewalAge(now).Milliseconds()
		reply.StoreFailing = leader.isStoreFailing(now)
		if reply.Unknown = !leader.sched.HasQueue(in.Queue); !reply.Unknown {
			e := leader.sched.Explain(in.ID, in.Queue, in.Batch, now)
			reply.Explanation = &e
		}
	}) {
		return ExplainReply{KnownTerm: m.knownTerm(in.Service)}
	}
	reply.IsReplaceable = leader.mayBeReplaced()
	if reply.Explanation != nil && !reply.Explanation.Known {
		reply.Former, reply.Version, _ = leader.paths.formers(m.pathOf(in.Service, in.Queue))
	}
	return reply
}
