package claim

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/jrpc"
	"indigoglade/quorum"
)

// AwaitRequest asks an entry host for the answer of a request whose key it claimed.
type AwaitRequest struct {
	Key   quorum.Key `json:"key"`
	Token uint64     `json:"token"`
	// CallerKey is the idempotency key as the caller wrote it. It must match,
	// so that a hash collision never returns another key's answer.
	CallerKey string `json:"text"`
	// Wait is the longest time to wait for a request that is still running.
	Wait glade.Span `json:"wait"`
}

// AwaitReply is the reply of an entry host that was asked for an answer.
type AwaitReply struct {
	// Found tells whether Answer is set. It is false when the entry host does not
	// know the request or no longer has its answer, and when the request did not
	// end in time.
	Found  bool   `json:"held"`
	Answer Answer `json:"answer"`
}

// ReleaseRequest tells an entry host that a request did not run and never will,
// so that its record can be deleted.
type ReleaseRequest struct {
	Key   quorum.Key `json:"key"`
	Token uint64     `json:"token"`
}

// Register adds the methods that other entry hosts call to a mux.
func (c *Claimer) Register(mux *jrpc.Mux) {
	jrpc.Handle(mux, "claim", func(_ context.Context, in quorum.Claim) (quorum.Vote, error) { return c.vote(in), nil })
	jrpc.Handle(mux, "await", c.handleAwait)
	jrpc.Handle(mux, "release", func(_ context.Context, in ReleaseRequest) (bool, error) { return c.releaseLocal(in), nil })
	jrpc.Handle(mux, "copy", func(_ context.Context, in quorum.CopyRequest) (quorum.CopyPage, error) { return c.copyPage(in), nil })
}

// replyMargin is the part of a deadline that is reserved for sending the answer
// back.
const replyMargin = 20 * time.Millisecond

// awaitHolder waits for the answer of the request that has the key and returns it.
// When that answer can't be had, the outcome is unknown, because that request may
// have run. When that request was refused, its record is also released at the
// entry hosts that this claim asked.
func (c *Claimer) awaitHolder(ctx context.Context, permit *Permit, request Request) Answer {
	unknown := Answer{Outcome: glade.Unknown, Reason: glade.ReasonDuplicate}
	holder, token, ok := permit.attempt.Holder()
	if !ok {
		return unknown
	}
	wait := request.Deadline.Sub(c.config.Clock.Now()) - replyMargin
	in := AwaitRequest{Key: permit.key, Token: token, CallerKey: request.CallerKey, Wait: glade.Span(wait)}
	reply, err := c.callAwait(ctx, holder, in)
	if err != nil || !reply.Found {
		c.counters.Add("lost", 1)
		return unknown
	}
	c.counters.Add("joined", 1)
	if reply.Answer.Outcome == glade.Refused {
		c.releaseAll(permit, ReleaseRequest{Key: permit.key, Token: token})
	}
	return reply.Answer
}

func (c *Claimer) callAwait(ctx context.Context, holder glade.Node, in AwaitRequest) (AwaitReply, error) {
	if holder == c.config.Self {
		return c.handleAwait(ctx, in)
	}
	return jrpc.Call[AwaitRequest, AwaitReply](ctx, c.config.Peers[holder], "await", in)
}

// handleAwait waits until an execution at this entry host has ended, in.Wait has
// passed or ctx ends.
func (c *Claimer) handleAwait(ctx context.Context, in AwaitRequest) (AwaitReply, error) {
	e, ok := c.findExecution(in)
	if !ok {
		return AwaitReply{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, in.Wait.Duration())
	defer cancel()
	select {
	case <-e.done:
		return AwaitReply{Found: true, Answer: e.answer}, nil
	case <-ctx.Done():
		return AwaitReply{}, nil
	}
}

func (c *Claimer) findExecution(in AwaitRequest) (*execution, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.active[claimID{in.Key, in.Token}]
	if !ok {
		e, ok = c.answers.get(in.Key)
	}
	return e, ok && e.token == in.Token && e.callerKey == in.CallerKey
}

func (c *Claimer) releaseLocal(in ReleaseRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Release(in.Key, in.Token)
	return true
}

// release deletes the record of a request that did not run, here or at a peer.
// The call to a peer runs in the background and is not retried: when it fails, a
// resend can get an unknown outcome, but nothing runs twice.
func (c *Claimer) release(node glade.Node, in ReleaseRequest) {
	if node == c.config.Self {
		c.releaseLocal(in)
		return
	}
	call := releaseCall{claimer: c, node: node, release: in}
	go call.run()
}

// releaseAll releases a key at the entry hosts that were asked for the permit's
// claim.
func (c *Claimer) releaseAll(permit *Permit, in ReleaseRequest) {
	for _, node := range permit.attempt.Targets() {
		c.release(node, in)
	}
}

// releaseCall is a call that sends a release to one peer.
type releaseCall struct {
	claimer *Claimer
	node    glade.Node
	release ReleaseRequest
}

func (r releaseCall) run() {
	if _, err := jrpc.Call[ReleaseRequest, bool](context.Background(), r.claimer.config.Peers[r.node], "release", r.release); err != nil {
		r.claimer.counters.Add("unreleased", 1)
	}
}
