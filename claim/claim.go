// Package claim runs at most one of the requests that carry the same idempotency
// key. It claims the key at a quorum of entry hosts before a request runs, and
// gives the answer of the request that ran to the others with that key.
package claim

import (
	"context"
	"expvar"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	glade "indigoglade"
	"indigoglade/jrpc"
	"indigoglade/quorum"
)

// Config configures a Claimer.
type Config struct {
	Self glade.Node
	// Members are all entry hosts in the settings, the own one included.
	Members []quorum.Member
	Peers   map[glade.Node]*jrpc.Client
	Clock   glade.Clock
	// Start is when the entry host started; the zero time means now. The own
	// incarnation is taken from it.
	Start  time.Time
	Random *rand.Rand
	// MaxKeys is the number of recorded keys at which claims of further keys are
	// refused.
	MaxKeys int
	// MaxAnswerBytes is the maximum total size of the cached answers, in bytes.
	MaxAnswerBytes int
	// Counters receives the event counts; nil means a map that is not published.
	Counters *expvar.Map
}

// Request describes one request with an idempotency key: the caller's first one
// with that key, or a resend.
type Request struct {
	Customer glade.Customer
	Service  glade.Service
	// CallerKey is the idempotency key as the caller wrote it.
	CallerKey string
	// Resend tells that the caller sent the key before.
	Resend bool
	// Age is the time since the caller first sent the key.
	Age time.Duration
	// Window is how long the key stays recorded; longer than MaxWindow counts as
	// MaxWindow.
	Window time.Duration
	// ContractDeadline is the contract's deadline: the longest time that a request may
	// be on its way to an entry host, and again the longest time that it stays there.
	ContractDeadline time.Duration
	// Deadline is when this request must have been answered.
	Deadline time.Time
}

// Permit is the right to run a request. The holder must end it by calling Finish.
type Permit struct {
	key       quorum.Key
	attempt   *quorum.Attempt
	execution *execution
}

// MaxWindow is the longest time for which a key stays recorded.
const MaxWindow = time.Hour

// inFlightDeadlines is the number of contract deadlines that an earlier request of a
// key may still be in flight: one on its way to an entry host and one there.
const inFlightDeadlines = 2

// claimID identifies one request of a key.
type claimID struct {
	key   quorum.Key
	token uint64
}

// Claimer claims keys for the requests of one entry host and votes on the claims
// of the others. It is safe for concurrent use.
type Claimer struct {
	config     Config
	rendezvous *quorum.Rendezvous
	counters   *expvar.Map

	mu      sync.Mutex
	store   *quorum.Store
	active  map[claimID]*execution // claimed here and neither finished nor given up
	answers *answerCache
}

// New returns a claimer without records. Its incarnation is the start time in
// nanoseconds since 1970, so that it rises with each start.
func New(config Config) *Claimer {
	if config.Counters == nil {
		config.Counters = new(expvar.Map).Init()
	}
	rendezvous := quorum.NewRendezvous(config.Members)
	if config.Start.IsZero() {
		config.Start = config.Clock.Now()
	}
	start := config.Start
	return &Claimer{
		config:     config,
		rendezvous: rendezvous,
		counters:   config.Counters,
		store: quorum.NewStore(quorum.StoreConfig{
			Self: config.Self, Incarnation: uint64(start.UnixNano()), Nodes: rendezvous.Nodes(), Start: start, Window: MaxWindow,
			MaxRecords: config.MaxKeys,
		}),
		active:  make(map[claimID]*execution),
		answers: newAnswerCache(config.MaxAnswerBytes),
	}
}

// Claim returns a permit when the request may run. Otherwise the permit is nil
// and the answer is for the caller: the answer of the request that has the key,
// or a refused or unknown outcome with the reason.
func (c *Claimer) Claim(ctx context.Context, request Request) (*Permit, Answer) {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	permit := c.newPermit(request)
	verdict := c.collectVotes(ctx, permit.attempt)
	for verdict == quorum.Undecided && c.askAll(permit.attempt) {
		verdict = c.collectVotes(ctx, permit.attempt)
	}
	if verdict == quorum.Won {
		c.counters.Add("won", 1)
		return permit, Answer{}
	}
	c.abandon(permit)
	if verdict == quorum.Lost {
		return nil, c.awaitHolder(ctx, permit, request)
	}
	return nil, c.undecidedAnswer(request)
}

// askAll starts another round that asks every entry host that votes on the key,
// and reports whether it did. After such a round, another one can help only when
// the votes showed an incarnation that the claim did not expect.
func (c *Claimer) askAll(attempt *quorum.Attempt) bool {
	incarnations := c.incarnations()
	if attempt.AsksAll() && maps.Equal(incarnations, attempt.Claim().Incarnations) {
		return false
	}
	attempt.AskAll(incarnations)
	c.counters.Add("wide", 1)
	return true
}

// undecidedAnswer returns the answer for a request whose claim reached no quorum. A
// first request did not run and is refused. With a resend, an earlier request
// may have run, so the outcome is unknown.
func (c *Claimer) undecidedAnswer(request Request) Answer {
	if request.Resend {
		c.counters.Add("unknown", 1)
		return Answer{Outcome: glade.Unknown, Reason: glade.ReasonHistoryIncomplete}
	}
	c.counters.Add("refused", 1)
	return Answer{Outcome: glade.Refused, Reason: glade.ReasonHistoryIncomplete}
}

// newPermit prepares the claim. It adds the execution to the active ones before the
// first vote, so that a request that loses to this one always finds the execution.
func (c *Claimer) newPermit(request Request) *Permit {
	key := quorum.NewKey(request.Customer, request.Service, request.CallerKey)
	voters := c.rendezvous.Voters(key, quorum.HomeZone(request.CallerKey), c.config.Self)
	c.mu.Lock()
	defer c.mu.Unlock()
	token := c.config.Random.Uint64() | 1
	permit := &Permit{key: key, execution: &execution{callerKey: request.CallerKey, token: token, done: make(chan struct{})}}
	c.active[claimID{key, token}] = permit.execution
	permit.attempt = quorum.NewAttempt(quorum.AttemptConfig{
		Voters: voters,
		Claim: quorum.Claim{
			Key: key, Token: token, Node: c.config.Self,
			Window: min(request.Window, MaxWindow).Milliseconds(), MaxKeyAgeMs: (request.Age + inFlightDeadlines*request.ContractDeadline).Milliseconds(), Incarnations: c.store.Incarnations(),
		},
	})
	return permit
}

func (c *Claimer) incarnations() map[glade.Node]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Incarnations()
}

// collectVotes asks for votes until they decide the claim, all have come in, or ctx ends.
// Calls still in flight then are not canceled; their votes are ignored.
func (c *Claimer) collectVotes(ctx context.Context, attempt *quorum.Attempt) quorum.Verdict {
	voters := attempt.Targets()
	votes := make(chan quorum.Vote, len(voters))
	for _, node := range voters {
		if node == c.config.Self {
			votes <- c.vote(attempt.Claim())
			continue
		}
		call := voteCall{claimer: c, node: node, claim: attempt.Claim(), votes: votes}
		go call.run(context.WithoutCancel(ctx))
	}
	for range voters {
		select {
		case <-ctx.Done():
			return attempt.Verdict()
		case v := <-votes:
			attempt.Add(v)
		}
		if verdict := attempt.Verdict(); verdict != quorum.Undecided {
			return verdict
		}
	}
	return attempt.Verdict()
}

// voteCall is a call that asks one peer for its vote.
type voteCall struct {
	claimer *Claimer
	node    glade.Node
	claim   quorum.Claim
	votes   chan<- quorum.Vote
}

// run puts the peer's vote on the channel, or an empty vote when the call failed.
func (v voteCall) run(ctx context.Context) {
	vote, err := jrpc.Call[quorum.Claim, quorum.Vote](ctx, v.claimer.config.Peers[v.node], "claim", v.claim)
	if err != nil {
		v.claimer.counters.Add("unreached", 1)
		vote = quorum.Vote{}
	} else {
		v.claimer.recordIncarnation(vote)
	}
	v.votes <- vote
}

// recordIncarnation records the incarnation that a peer voted with, for the next
// claims.
func (c *Claimer) recordIncarnation(v quorum.Vote) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store.RecordIncarnation(v.Node, v.Incarnation)
}

func (c *Claimer) vote(claim quorum.Claim) quorum.Vote {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store.Claim(c.config.Clock.Now(), claim)
}

// Finish ends a permit with the answer of its request. A refused answer means
// that the request did not run: the key is released, so that a resend may run.
// Any other answer is cached for resends.
func (c *Claimer) Finish(permit *Permit, answer Answer) {
	if answer.Outcome == glade.Refused {
		c.completeAndRelease(permit, answer)
		return
	}
	c.complete(permit, answer, true)
}

// abandon ends a permit whose claim was lost or undecided.
func (c *Claimer) abandon(permit *Permit) {
	c.completeAndRelease(permit, Answer{Outcome: glade.Refused, Reason: glade.ReasonDuplicate})
}

// completeAndRelease ends a permit whose request did not run, and releases its key
// at the entry hosts that were asked.
func (c *Claimer) completeAndRelease(permit *Permit, answer Answer) {
	c.complete(permit, answer, false)
	claim := permit.attempt.Claim()
	for _, node := range permit.attempt.Targets() {
		c.release(node, ReleaseRequest{Key: claim.Key, Token: claim.Token})
	}
}

// complete sets the answer of an execution and wakes the requests that wait for it.
// When cacheAnswer is set, it also keeps the answer for later resends.
func (c *Claimer) complete(permit *Permit, answer Answer, cacheAnswer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	permit.execution.answer = answer
	close(permit.execution.done)
	delete(c.active, claimID{permit.key, permit.execution.token})
	if cacheAnswer {
		c.answers.put(permit.key, permit.execution)
	}
}
