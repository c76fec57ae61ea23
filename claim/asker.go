package claim

import (
	"context"

	"indigoglade/link"
	"indigoglade/once"
)

// Bounds of asking a peer for votes.
const (
	// askRing is the number of claims that wait to be sent to a peer.
	askRing = 1024
	// askBatch is the number of claims in one message.
	askBatch = 64
	// askLoops is the number of messages on the way to a peer at once.
	askLoops = 2
)

// question is a claim that needs the vote of a peer.
type question struct {
	claim once.Claim
	// votes receives the vote, or an empty one when the peer can't be reached.
	votes chan<- once.Vote
}

// asker sends claims to one peer. Those that come while messages are on their
// way go together in the next one, so that the cost of a message is shared
// under load.
type asker struct {
	claimer *Claimer
	client  *link.Client
	ring    chan question
}

func newAsker(claimer *Claimer, client *link.Client) *asker {
	return &asker{claimer: claimer, client: client, ring: make(chan question, askRing)}
}

// ask hands over a claim. The votes channel must have room for the answer.
func (a *asker) ask(q question) {
	select {
	case a.ring <- q:
	default:
		a.claimer.counters.Add("unasked", 1)
		q.votes <- once.Vote{}
	}
}

// loop sends claims until ctx ends.
func (a *asker) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-a.ring:
			a.send(ctx, a.collect(first))
		}
	}
}

// collect adds the claims that wait already.
func (a *asker) collect(first question) []question {
	batch := []question{first}
	for len(batch) < askBatch {
		select {
		case q := <-a.ring:
			batch = append(batch, q)
		default:
			return batch
		}
	}
	return batch
}

func (a *asker) send(ctx context.Context, batch []question) {
	claims := make([]once.Claim, len(batch))
	for i, q := range batch {
		claims[i] = q.claim
	}
	votes, err := link.Call[[]once.Claim, []once.Vote](ctx, a.client, "claim", claims)
	if err != nil || len(votes) != len(batch) {
		a.claimer.counters.Add("unreached", 1)
		votes = make([]once.Vote, len(batch))
	}
	for i, q := range batch {
		if votes[i].Node != "" {
			a.claimer.learn(votes[i])
		}
		q.votes <- votes[i]
	}
}

// voteAll answers a peer's claims.
func (c *Claimer) voteAll(_ context.Context, claims []once.Claim) ([]once.Vote, error) {
	votes := make([]once.Vote, len(claims))
	for i, claim := range claims {
		votes[i] = c.vote(claim)
	}
	return votes, nil
}
