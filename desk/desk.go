// Package desk owns the routing table and the admission queues of an entry
// host. One goroutine decides; requests and news reach it through a bounded
// ring.
package desk

import (
	"context"
	"math/rand/v2"
	"time"

	glade "indigoglade"
	"indigoglade/admit"
	"indigoglade/route"
)

// Config configures a Desk.
type Config struct {
	Node glade.Node
	Zone glade.Zone
	// Nodes are the entry hosts that share the zone's endpoints, the own one
	// included.
	Nodes []glade.Node
	Clock glade.Clock
	// Ring is the length of the ring of events.
	Ring int
}

// Ask is a request that needs a slot.
type Ask struct {
	Contract glade.Contract
	Pool     glade.PoolSpec
	Deadline time.Time
	// Avoid is the endpoint of an earlier attempt.
	Avoid glade.Endpoint
	// Instant asks for a slot that is free now.
	Instant bool
}

// Answer is the decision on an Ask.
type Answer struct {
	grant  route.Grant
	at     time.Time
	reason glade.Reason
	retry  time.Duration
}

// Grant returns the permission for one attempt, if there is one.
func (a Answer) Grant() (route.Grant, bool) { return a.grant, a.reason == glade.ReasonNone }

// Reason returns why there is no grant.
func (a Answer) Reason() glade.Reason { return a.reason }

// Retry returns the time after which a refused request may be sent again.
func (a Answer) Retry() time.Duration { return a.retry }

// Desk is the owner of routing and admission.
type Desk struct {
	config Config
	events chan event
	gate   *admit.Controller
}

type event interface{ apply(d *Desk, now time.Time) }

type ask struct {
	Ask
	reply chan Answer
	// ticket belongs to the goroutine that decides.
	ticket *admit.Waiter
}

type quit struct{ ask *ask }

// Attempt is what came of a grant.
type Attempt struct {
	Service glade.Service
	Result  route.Result
	// Leaving tells that the endpoint said that it is leaving.
	Leaving bool
}

type done struct {
	answer  Answer
	attempt Attempt
}

type leave struct{ endpoint glade.Endpoint }

type update struct{ list []glade.Listed }

// runnerSlots is the number of slots of a runner.
const runnerSlots = 8

// New returns a desk that knows no endpoint.
func New(config Config) *Desk {
	seed := uint64(config.Clock.Now().UnixNano())
	return &Desk{
		config: config,
		events: make(chan event, config.Ring),
		gate:   admit.New(route.New(route.Config{Share: config.share, Random: rand.New(rand.NewPCG(seed, 0))})),
	}
}

// share splits the slots of a zone's runners over the zone's own entry hosts.
// The parts stay within the runner's slots whoever is alive, because they rest
// on the settings alone.
func (c Config) share(row glade.Listed, kept int) int {
	if row.Zone != c.Zone {
		return 0
	}
	return route.Share(row.Host, runnerSlots-kept, c.Node, c.Nodes)
}

// Run decides until ctx ends.
func (d *Desk) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events:
			e.apply(d, d.config.Clock.Now())
		}
	}
}

// ringRetry is how long a caller is asked to wait when the ring is full.
const ringRetry = time.Second

// Acquire waits for a grant. It returns a reason at once when the request can't
// be answered by its deadline, or when the caller leaves.
func (d *Desk) Acquire(ctx context.Context, request Ask) Answer {
	a := &ask{Ask: request, reply: make(chan Answer, 1)}
	select {
	case d.events <- a:
	default:
		return Answer{reason: glade.ReasonQueue, retry: ringRetry}
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	select {
	case answer := <-a.reply:
		return answer
	case <-ctx.Done():
		d.events <- quit{ask: a}
		return <-a.reply
	}
}

// Release returns a grant with what came of it.
func (d *Desk) Release(answer Answer, attempt Attempt) {
	d.events <- done{answer: answer, attempt: attempt}
}

// Update hands over a host list.
func (d *Desk) Update(list []glade.Listed) { d.events <- update{list: list} }

// Leave takes an endpoint incarnation out for good.
func (d *Desk) Leave(endpoint glade.Endpoint) { d.events <- leave{endpoint: endpoint} }

func (a *ask) apply(d *Desk, now time.Time) {
	spec := a.Contract.Spec().Answer
	depth := spec.Queue
	if a.Instant {
		depth = 0
	}
	decision := d.gate.Admit(now, admit.Request{
		Customer: a.Contract.Customer(), Service: a.Pool.Serve, Deadline: a.Deadline,
		MaxQueued: depth, Weight: spec.Rate, Avoid: a.Avoid,
	}, a)
	if a.ticket = decision.Waiter(); a.ticket == nil {
		a.answer(now, decision)
	}
}

func (a *ask) answer(now time.Time, decision admit.Decision) {
	grant, _ := decision.Grant()
	a.reply <- Answer{grant: grant, at: now, reason: decision.Reason(), retry: decision.RetryAfter()}
}

// apply leaves the queue. When the decision was made in the same moment, the
// reply holds it already.
func (q quit) apply(d *Desk, _ time.Time) {
	ticket := q.ask.ticket
	if ticket == nil {
		return
	}
	q.ask.ticket = nil
	d.gate.Cancel(ticket)
	d.gate.Recycle(ticket)
	q.ask.reply <- Answer{reason: glade.ReasonDeadline}
}

func (e done) apply(d *Desk, now time.Time) {
	if e.attempt.Leaving {
		d.gate.ExcludeEndpoint(e.answer.grant.Endpoint())
	}
	took := now.Sub(e.answer.at)
	d.tell(now, d.gate.Done(now, e.attempt.Service, e.answer.grant, e.attempt.Result, took))
}

func (e leave) apply(d *Desk, _ time.Time) { d.gate.ExcludeEndpoint(e.endpoint) }

func (e update) apply(d *Desk, now time.Time) { d.tell(now, d.gate.Update(now, e.list)) }

// tell answers the requests that were decided on.
func (d *Desk) tell(now time.Time, decisions []admit.Decision) {
	for _, decision := range decisions {
		a := decision.Waiter().Value().(*ask)
		a.ticket = nil
		a.answer(now, decision)
		d.gate.Recycle(decision.Waiter())
	}
}
