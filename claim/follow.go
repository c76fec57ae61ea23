package claim

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/link"
	"indigoglade/once"
)

// Await asks an entry host for the answer of a send that it ran.
type Await struct {
	Key   once.Key `json:"key"`
	Token uint64   `json:"token"`
	// Text is the caller's key, compared in whole.
	Text string `json:"text"`
	// Wait bounds the time to wait for a send that is running.
	Wait glade.Span `json:"wait"`
}

// Awaited is the answer to an Await.
type Awaited struct {
	// Held tells whether the answer is the one of that send.
	Held   bool   `json:"held"`
	Answer Answer `json:"answer"`
}

// Release tells that a send did not run and never will.
type Release struct {
	Key   once.Key `json:"key"`
	Token uint64   `json:"token"`
}

// Register adds the methods that peers call.
func (c *Claimer) Register(mux *link.Mux) {
	link.Handle(mux, "claim", func(_ context.Context, in once.Claim) (once.Vote, error) { return c.vote(in), nil })
	link.Handle(mux, "await", c.await)
	link.Handle(mux, "release", func(_ context.Context, in Release) (bool, error) { return c.forget(in), nil })
	link.Handle(mux, "copy", func(_ context.Context, in once.CopyAsk) (once.CopyPage, error) { return c.page(in), nil })
}

// replyMargin is kept of a deadline for the answer's way back.
const replyMargin = 20 * time.Millisecond

// follow returns the answer of the send that has the key. Without it, the send
// may have run, so that the outcome is unknown.
func (c *Claimer) follow(ctx context.Context, ticket *Ticket, send Send) Answer {
	lost := Answer{Outcome: glade.Unknown, Reason: glade.ReasonDuplicate}
	holder, token, ok := ticket.attempt.Holder()
	if !ok {
		return lost
	}
	wait := send.Deadline.Sub(c.config.Clock.Now()) - replyMargin
	in := Await{Key: ticket.key, Token: token, Text: send.Text, Wait: glade.Span(wait)}
	held, err := c.ask(ctx, holder, in)
	if err != nil || !held.Held {
		c.counters.Add("lost", 1)
		return lost
	}
	c.counters.Add("joined", 1)
	if held.Answer.Outcome == glade.Refused {
		c.releaseAll(ticket, Release{Key: ticket.key, Token: token})
	}
	return held.Answer
}

func (c *Claimer) ask(ctx context.Context, holder glade.Node, in Await) (Awaited, error) {
	if holder == c.config.Self {
		return c.await(ctx, in)
	}
	return link.Call[Await, Awaited](ctx, c.config.Peers[holder], "await", in)
}

// await waits for the end of a run of this entry host.
func (c *Claimer) await(ctx context.Context, in Await) (Awaited, error) {
	r, ok := c.find(in)
	if !ok {
		return Awaited{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, in.Wait.Duration())
	defer cancel()
	select {
	case <-r.done:
		return Awaited{Held: true, Answer: r.answer}, nil
	case <-ctx.Done():
		return Awaited{}, nil
	}
}

func (c *Claimer) find(in Await) (*run, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.active[sendID{in.Key, in.Token}]
	if !ok {
		r, ok = c.ended.get(in.Key)
	}
	return r, ok && r.token == in.Token && r.text == in.Text
}

func (c *Claimer) forget(in Release) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Release(in.Key, in.Token)
	return true
}

// release forgets a send here, or tells a peer in the background. A release
// that is lost costs an unknown outcome to a resend and nothing else.
func (c *Claimer) release(node glade.Node, in Release) {
	if node == c.config.Self {
		c.forget(in)
		return
	}
	n := notice{claimer: c, node: node, release: in}
	go n.run()
}

func (c *Claimer) releaseAll(ticket *Ticket, in Release) {
	for _, node := range ticket.attempt.Asks() {
		c.release(node, in)
	}
}

// notice tells one peer of a release.
type notice struct {
	claimer *Claimer
	node    glade.Node
	release Release
}

func (n notice) run() {
	if _, err := link.Call[Release, bool](context.Background(), n.claimer.config.Peers[n.node], "release", n.release); err != nil {
		n.claimer.counters.Add("unreleased", 1)
	}
}
