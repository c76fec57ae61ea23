// Package intake owns the routing table and the admission queues of an entry
// host. One goroutine makes all decisions; requests and other events reach it
// through a bounded queue.
package intake

import (
	"context"
	"math/rand/v2"
	"time"

	glade "indigoglade"
	"indigoglade/admit"
	"indigoglade/route"
)

// Config configures a Dispatcher.
type Config struct {
	Node glade.Node
	Zone glade.Zone
	// Nodes are the entry hosts, this one included, that share the endpoints of
	// the zone.
	Nodes []glade.Node
	Clock glade.Clock
	// QueueLength is the length of the event queue.
	QueueLength int
}

// Request is a request for a slot.
type Request struct {
	Contract glade.Contract
	Pool     glade.PoolSpec
	Deadline time.Time
	// Avoid is the endpoint of an earlier attempt, used only if there is no
	// other.
	Avoid glade.Endpoint
	// NoQueue means that the request does not wait for a slot.
	NoQueue bool
}

// Answer is the decision on a Request.
type Answer struct {
	grant  route.Grant
	at     time.Time
	reason glade.Reason
	retry  time.Duration
}

// Grant returns the permission for one attempt, and false if there is none.
func (a Answer) Grant() (route.Grant, bool) { return a.grant, a.reason == glade.ReasonNone }

// Reason returns why there is no grant.
func (a Answer) Reason() glade.Reason { return a.reason }

// RetryAfter returns the time after which a refused request may be sent again.
func (a Answer) RetryAfter() time.Duration { return a.retry }

// Dispatcher decides on routing and admission.
type Dispatcher struct {
	config     Config
	events     chan event
	controller *admit.Controller
}

type event interface {
	apply(d *Dispatcher, now time.Time)
}

type acquireEvent struct {
	Request
	reply chan Answer
	// waiter may only be used by the goroutine that decides.
	waiter *admit.Waiter
}

type cancelEvent struct{ acquireEvent *acquireEvent }

// Attempt is the result of an attempt that used a grant.
type Attempt struct {
	Service glade.Service
	Result  route.Result
	// Leaving means that the endpoint reported that it is leaving.
	Leaving bool
}

type releaseEvent struct {
	answer  Answer
	attempt Attempt
}

type leaveEvent struct{ endpoint glade.Endpoint }

type updateEvent struct{ list []glade.HostListing }

// runnerSlots is the number of slots of a runner.
const runnerSlots = 8

// New returns a dispatcher without endpoints. Run must be running for it to decide.
func New(config Config) *Dispatcher {
	seed := uint64(config.Clock.Now().UnixNano())
	return &Dispatcher{
		config:     config,
		events:     make(chan event, config.QueueLength),
		controller: admit.New(route.New(route.Config{Share: config.share, Random: rand.New(rand.NewPCG(seed, 0))})),
	}
}

// share returns this entry host's part of the slots of a runner. Only the entry
// hosts of the runner's zone get a part. The parts never add up to more than
// the runner's slots, because they depend only on the settings and not on which
// hosts are up.
func (c Config) share(row glade.HostListing, reserved int) int {
	if row.Zone != c.Zone {
		return 0
	}
	return route.Share(row.Host, runnerSlots-reserved, c.Node, c.Nodes)
}

// Run applies events until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-d.events:
			e.apply(d, d.config.Clock.Now())
		}
	}
}

// fullQueueRetryAfter is sent to callers when the event queue is full.
const fullQueueRetryAfter = time.Second

// Acquire waits for a grant. It returns a reason at once when the request is
// refused, for example because it can't be answered by its deadline. While the
// request is queued, the wait ends at the deadline or when ctx ends.
func (d *Dispatcher) Acquire(ctx context.Context, request Request) Answer {
	a := &acquireEvent{Request: request, reply: make(chan Answer, 1)}
	select {
	case d.events <- a:
	default:
		return Answer{reason: glade.ReasonQueueFull, retry: fullQueueRetryAfter}
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	select {
	case answer := <-a.reply:
		return answer
	case <-ctx.Done():
		d.events <- cancelEvent{acquireEvent: a}
		return <-a.reply
	}
}

// Release returns a grant with the result of its attempt.
func (d *Dispatcher) Release(answer Answer, attempt Attempt) {
	d.events <- releaseEvent{answer: answer, attempt: attempt}
}

// UpdateHosts replaces the host list.
func (d *Dispatcher) UpdateHosts(list []glade.HostListing) { d.events <- updateEvent{list: list} }

// Leave stops routing to an endpoint incarnation for good.
func (d *Dispatcher) Leave(endpoint glade.Endpoint) { d.events <- leaveEvent{endpoint: endpoint} }

func (a *acquireEvent) apply(d *Dispatcher, now time.Time) {
	spec := a.Contract.Spec().Answer
	depth := spec.MaxQueued
	if a.NoQueue {
		depth = 0
	}
	decision := d.controller.Admit(now, admit.Request{
		Customer: a.Contract.Customer(), Service: a.Pool.Serve, Deadline: a.Deadline,
		QueueLimit: depth, Weight: spec.Rate, Avoid: a.Avoid,
	}, a)
	if a.waiter = decision.Waiter(); a.waiter == nil {
		a.answer(now, decision)
	}
}

func (a *acquireEvent) answer(now time.Time, decision admit.Decision) {
	grant, _ := decision.Grant()
	a.reply <- Answer{grant: grant, at: now, reason: decision.Reason(), retry: decision.RetryAfter()}
}

// apply takes the request out of the admission queue. If the decision was made
// in the meantime, the reply is already sent.
func (e cancelEvent) apply(d *Dispatcher, _ time.Time) {
	waiter := e.acquireEvent.waiter
	if waiter == nil {
		return
	}
	e.acquireEvent.waiter = nil
	d.controller.Cancel(waiter)
	d.controller.Recycle(waiter)
	e.acquireEvent.reply <- Answer{reason: glade.ReasonDeadline}
}

func (e releaseEvent) apply(d *Dispatcher, now time.Time) {
	if e.attempt.Leaving {
		d.controller.ExcludeEndpoint(e.answer.grant.Endpoint())
	}
	took := now.Sub(e.answer.at)
	d.answerAll(now, d.controller.Done(now, e.attempt.Service, e.answer.grant, e.attempt.Result, took))
}

func (e leaveEvent) apply(d *Dispatcher, _ time.Time) { d.controller.ExcludeEndpoint(e.endpoint) }

func (e updateEvent) apply(d *Dispatcher, now time.Time) {
	d.answerAll(now, d.controller.Update(now, e.list))
}

// answerAll answers the requests that were decided on.
func (d *Dispatcher) answerAll(now time.Time, decisions []admit.Decision) {
	for _, decision := range decisions {
		a := decision.Waiter().Value().(*acquireEvent)
		a.waiter = nil
		a.answer(now, decision)
		d.controller.Recycle(decision.Waiter())
	}
}
