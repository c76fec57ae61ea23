// Package claim claims the keys of requests over all entry hosts before they
// run, and hands the answer of a key that ran to its other sends.
package claim

import (
	"context"
	"expvar"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	glade "indigoglade"
	"indigoglade/link"
	"indigoglade/once"
)

// Config configures a Claimer.
type Config struct {
	Self glade.Node
	// Members are all entry hosts in the settings, the own one included.
	Members []once.Member
	Peers   map[glade.Node]*link.Client
	Clock   glade.Clock
	// Start is when the entry host started; zero means now.
	Start  time.Time
	Random *rand.Rand
	// Records bounds the number of keys remembered.
	Records int
	// Bytes bounds the size of the answers held.
	Bytes int
	// Counters receives the counts; a nil map is replaced by one of its own.
	Counters *expvar.Map
}

// Send is one send of a keyed request.
type Send struct {
	Customer glade.Customer
	Service  glade.Service
	Text     string
	// Resend tells that the caller sent the key before.
	Resend bool
	// Age is the time since the caller first sent the key.
	Age    time.Duration
	Window time.Duration
	// Promised is the contract's deadline: no send is under way for longer.
	Promised time.Duration
	Deadline time.Time
}

// Ticket is the right to run a send. It has to be given back by Finish.
type Ticket struct {
	key     once.Key
	attempt *once.Attempt
	run     *run
}

// MaxWindow bounds the time that a key is remembered.
const MaxWindow = time.Hour

// settleFactor is how many times the promised deadline a send may be under way:
// once on its way to an entry host and once there.
const settleFactor = 2

// sendID names one send of a key.
type sendID struct {
	key   once.Key
	token uint64
}

// Claimer claims keys.
type Claimer struct {
	config   Config
	ring     *once.Ring
	counters *expvar.Map

	mu     sync.Mutex
	store  *once.Store
	active map[sendID]*run
	ended  *cache
}

// New returns a claimer that has just started and knows no key.
func New(config Config) *Claimer {
	if config.Counters == nil {
		config.Counters = new(expvar.Map).Init()
	}
	ring := once.NewRing(config.Members)
	if config.Start.IsZero() {
		config.Start = config.Clock.Now()
	}
	start := config.Start
	return &Claimer{
		config:   config,
		ring:     ring,
		counters: config.Counters,
		store: once.NewStore(once.StoreConfig{
			Self: config.Self, Inc: uint64(start.UnixNano()), Nodes: ring.Nodes(), Start: start, Window: MaxWindow,
			Limit: config.Records,
		}),
		active: make(map[sendID]*run),
		ended:  newCache(config.Bytes),
	}
}

// Claim returns a ticket when the send may run. Otherwise it returns the
// answer for the caller: that of the send that ran, or why nothing ran.
func (c *Claimer) Claim(ctx context.Context, send Send) (*Ticket, Answer) {
	ctx, cancel := context.WithDeadline(ctx, send.Deadline)
	defer cancel()
	ticket := c.open(send)
	verdict := c.poll(ctx, ticket.attempt)
	for verdict == once.Open && c.widen(ticket.attempt) {
		verdict = c.poll(ctx, ticket.attempt)
	}
	if verdict == once.Won {
		c.counters.Add("won", 1)
		return ticket, Answer{}
	}
	c.giveUp(ticket)
	if verdict == once.Lost {
		return nil, c.follow(ctx, ticket, send)
	}
	return nil, c.undecided(send)
}

// widen asks all electors, and tells whether that may help. They are asked once
// more when a vote showed an incarnation that the claim could not rest on yet.
func (c *Claimer) widen(attempt *once.Attempt) bool {
	expect := c.expect()
	if attempt.IsWide() && maps.Equal(expect, attempt.Claim().Expect) {
		return false
	}
	attempt.Widen(expect)
	c.counters.Add("wide", 1)
	return true
}

// undecided answers a send that too few entry hosts voted on. A first send did
// not run; of a resend it isn't known whether an earlier one ran.
func (c *Claimer) undecided(send Send) Answer {
	if send.Resend {
		c.counters.Add("unknown", 1)
		return Answer{Outcome: glade.Unknown, Reason: glade.ReasonHistory}
	}
	c.counters.Add("refused", 1)
	return Answer{Outcome: glade.Refused, Reason: glade.ReasonHistory}
}

// open prepares the attempt. The run is entered before the first vote, so that
// a send that loses to this one always finds it.
func (c *Claimer) open(send Send) *Ticket {
	key := once.NewKey(send.Customer, send.Service, send.Text)
	electors := c.ring.Electors(key, once.Home(send.Text), c.config.Self)
	c.mu.Lock()
	defer c.mu.Unlock()
	token := c.config.Random.Uint64() | 1
	ticket := &Ticket{key: key, run: &run{text: send.Text, token: token, done: make(chan struct{})}}
	c.active[sendID{key, token}] = ticket.run
	ticket.attempt = once.NewAttempt(once.AttemptConfig{
		Electors: electors,
		Claim: once.Claim{
			Key: key, Token: token, Node: c.config.Self,
			Window: min(send.Window, MaxWindow).Milliseconds(), Settle: (send.Age + settleFactor*send.Promised).Milliseconds(), Expect: c.store.Expect(),
		},
	})
	return ticket
}

func (c *Claimer) expect() map[glade.Node]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Expect()
}

// poll asks for votes until they decide, none is missing, or ctx ends.
func (c *Claimer) poll(ctx context.Context, attempt *once.Attempt) once.Verdict {
	asks := attempt.Asks()
	votes := make(chan once.Vote, len(asks))
	for _, node := range asks {
		if node == c.config.Self {
			votes <- c.vote(attempt.Claim())
			continue
		}
		q := question{claimer: c, node: node, claim: attempt.Claim(), votes: votes}
		go q.run(context.WithoutCancel(ctx))
	}
	for range asks {
		select {
		case <-ctx.Done():
			return attempt.Verdict()
		case v := <-votes:
			attempt.Add(v)
		}
		if verdict := attempt.Verdict(); verdict != once.Open {
			return verdict
		}
	}
	return attempt.Verdict()
}

// question asks one peer for its vote.
type question struct {
	claimer *Claimer
	node    glade.Node
	claim   once.Claim
	votes   chan<- once.Vote
}

// run sends the vote, or an empty one when the peer can't be reached.
func (q question) run(ctx context.Context) {
	vote, err := link.Call[once.Claim, once.Vote](ctx, q.claimer.config.Peers[q.node], "claim", q.claim)
	if err != nil {
		q.claimer.counters.Add("unreached", 1)
		vote = once.Vote{}
	} else {
		q.claimer.learn(vote)
	}
	q.votes <- vote
}

func (c *Claimer) learn(v once.Vote) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.Learn(v.Node, v.Inc)
}

func (c *Claimer) vote(claim once.Claim) once.Vote {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Claim(c.config.Clock.Now(), claim)
}

// Finish ends the run of a ticket. A send that did not run is released, so
// that a resend may run.
func (c *Claimer) Finish(ticket *Ticket, answer Answer) {
	if answer.Outcome == glade.Refused {
		c.give(ticket, answer)
		return
	}
	c.settle(ticket, answer, true)
}

// giveUp ends a ticket that lost.
func (c *Claimer) giveUp(ticket *Ticket) {
	c.give(ticket, Answer{Outcome: glade.Refused, Reason: glade.ReasonDuplicate})
}

func (c *Claimer) give(ticket *Ticket, answer Answer) {
	c.settle(ticket, answer, false)
	claim := ticket.attempt.Claim()
	for _, node := range ticket.attempt.Asks() {
		c.release(node, Release{Key: claim.Key, Token: claim.Token})
	}
}

// settle sets the answer of a run, for those that wait and, when keep is set,
// for those that come later.
func (c *Claimer) settle(ticket *Ticket, answer Answer, keep bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ticket.run.answer = answer
	close(ticket.run.done)
	delete(c.active, sendID{ticket.key, ticket.run.token})
	if keep {
		c.ended.put(ticket.key, ticket.run)
	}
}
