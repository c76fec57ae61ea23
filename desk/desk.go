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
	Zone glade.Zone
	// Nodes is the number of entry hosts that share the zone's endpoints.
	Nodes int
	Clock glade.Clock
	// Ring is the length of the ring of events.
	Ring int
}

// Ask is a request that needs a slot.
type Ask struct {
	Contract glade.Contract
	Pool     glade.PoolSpec
	Deadline time.Time
}

// Answer is the decision on an Ask.
type Answer struct {
	grant  route.Grant
	reason glade.Reason
}

// Grant returns the permission for one attempt, if there is one.
func (a Answer) Grant() (route.Grant, bool) { return a.grant, a.reason == glade.ReasonNone }

// Reason returns why there is no grant.
func (a Answer) Reason() glade.Reason { return a.reason }

// Desk is the owner of routing and admission.
type Desk struct {
	config Config
	events chan event
	router *route.Router
	queues map[glade.Service]*admit.Queue
	asks   map[*admit.Ticket]ask
}

type event interface{ apply(d *Desk, now time.Time) }

type ask struct {
	Ask
	reply chan Answer
}

type done struct {
	grant   route.Grant
	service glade.Service
	leaving bool
}

type leave struct{ endpoint glade.Endpoint }

type update struct{ list []glade.Listed }

// New returns a desk that knows no endpoint.
func New(config Config) *Desk {
	seed := uint64(config.Clock.Now().UnixNano())
	d := &Desk{
		config: config,
		events: make(chan event, config.Ring),
		queues: make(map[glade.Service]*admit.Queue),
		asks:   make(map[*admit.Ticket]ask),
	}
	d.router = route.New(route.Config{Zone: config.Zone, Share: d.share, Random: rand.New(rand.NewPCG(seed, 0))})
	return d
}

// runnerSlots is the number of slots of a runner.
const runnerSlots = 8

// share splits the slots of a zone's runners evenly over the zone's own entry
// hosts. The parts stay within the runner's slots whoever is alive, because
// they rest on the settings alone.
func (d *Desk) share(zone glade.Zone) int {
	if zone != d.config.Zone {
		return 0
	}
	return runnerSlots / d.config.Nodes
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

// Acquire waits for a grant. It returns a reason when there is none by the
// deadline, or when the caller leaves.
func (d *Desk) Acquire(ctx context.Context, request Ask) Answer {
	a := ask{Ask: request, reply: make(chan Answer, 1)}
	select {
	case d.events <- a:
	default:
		return Answer{reason: glade.ReasonQueue}
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	select {
	case answer := <-a.reply:
		return answer
	case <-ctx.Done():
		return d.giveUp(a)
	}
}

// giveUp leaves the queue. A grant that was made in the same moment is
// returned unused.
func (d *Desk) giveUp(a ask) Answer {
	select {
	case answer := <-a.reply:
		return answer
	default:
	}
	d.events <- quit{a}
	answer := <-a.reply
	return answer
}

type quit struct{ ask }

func (q quit) apply(d *Desk, _ time.Time) {
	for ticket, waiting := range d.asks {
		if waiting.reply == q.reply && d.queues[q.Pool.Serve].Leave(ticket) {
			delete(d.asks, ticket)
			q.reply <- Answer{reason: glade.ReasonDeadline}
			return
		}
	}
}

// Release returns a grant with what the attempt showed of the endpoint.
func (d *Desk) Release(grant route.Grant, service glade.Service, leaving bool) {
	d.events <- done{grant: grant, service: service, leaving: leaving}
}

// Update hands over a host list.
func (d *Desk) Update(list []glade.Listed) { d.events <- update{list: list} }

// Leave takes an endpoint incarnation out for good.
func (d *Desk) Leave(endpoint glade.Endpoint) { d.events <- leave{endpoint: endpoint} }

func (a ask) apply(d *Desk, now time.Time) {
	if grant, ok := d.router.Pick(now, a.Pool.Serve); ok {
		a.reply <- Answer{grant: grant}
		return
	}
	if d.router.Live(a.Pool.Serve) == 0 {
		a.reply <- Answer{reason: glade.ReasonEndpoints}
		return
	}
	q := d.queue(a.Pool.Serve)
	ticket, ok := q.Join(a.Contract.Customer(), a.Pool.Serve, a.Deadline, a.Contract.Spec().Answer.Queue)
	if !ok {
		a.reply <- Answer{reason: glade.ReasonQueue}
		return
	}
	d.asks[ticket] = a
}

func (d *Desk) queue(service glade.Service) *admit.Queue {
	q, ok := d.queues[service]
	if !ok {
		q = admit.New()
		d.queues[service] = q
	}
	return q
}

func (e done) apply(d *Desk, now time.Time) {
	if e.leaving {
		d.router.Leave(e.grant.Endpoint())
	}
	d.router.Done(now, e.grant)
	d.serveNext(now, e.service)
}

func (e leave) apply(d *Desk, _ time.Time) { d.router.Leave(e.endpoint) }

func (e update) apply(d *Desk, now time.Time) {
	d.router.Update(e.list)
	for service := range d.queues {
		d.serveNext(now, service)
	}
}

// serveNext grants slots to waiting requests while there are both.
func (d *Desk) serveNext(now time.Time, service glade.Service) {
	q := d.queue(service)
	for q.Len() > 0 {
		grant, ok := d.router.Pick(now, service)
		if !ok {
			return
		}
		ticket, ok := q.Next(now)
		if !ok {
			d.router.Done(now, grant)
			return
		}
		a := d.asks[ticket]
		delete(d.asks, ticket)
		a.reply <- Answer{grant: grant}
	}
}
