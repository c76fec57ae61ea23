// Package admit decides which requests get a slot, which wait for one, and
// which are refused because they can't be answered in time.
package admit

import (
	"time"

	glade "indigoglade"
	"indigoglade/route"
)

// Ask is a request that needs a slot.
type Ask struct {
	Customer glade.Customer
	Service  glade.Service
	Deadline time.Time
	// Depth bounds the customer's waiting requests for the service.
	Depth int
	// Weight is the customer's share of turns beside others.
	Weight float64
	// Avoid is the endpoint of an earlier attempt.
	Avoid glade.Endpoint
}

// Ticket is a request that waits.
type Ticket struct {
	customer glade.Customer
	service  glade.Service
	deadline time.Time
	weight   float64
	avoid    glade.Endpoint
	number   uint64
	index    int
	waiting  bool
	owner    any
}

// Owner returns the value given to Ask.
func (t *Ticket) Owner() any { return t.owner }

// Decision is the answer to an Ask: a grant, a ticket to wait with, or a
// reason for the refusal.
type Decision struct {
	grant  route.Grant
	ticket *Ticket
	reason glade.Reason
	retry  time.Duration
}

// Ticket returns the ticket of a request that waits or waited, or nil.
func (d Decision) Ticket() *Ticket { return d.ticket }

// Reason returns why the request is refused, or ReasonNone.
func (d Decision) Reason() glade.Reason { return d.reason }

// Grant returns the permission for one attempt, if there is one.
func (d Decision) Grant() (route.Grant, bool) { return d.grant, d.grant != route.Grant{} }

// Retry returns the time after which a refused request may be sent again.
func (d Decision) Retry() time.Duration { return d.retry }

// Gate joins the routing table with the queues. It is not safe for concurrent
// use.
type Gate struct {
	router  *route.Router
	queues  map[glade.Service]*queue
	spare   []*Ticket
	decided []Decision
	number  uint64
}

// New returns a gate without waiting requests.
func New(router *route.Router) *Gate {
	return &Gate{router: router, queues: make(map[glade.Service]*queue)}
}

func (g *Gate) queue(service glade.Service) *queue {
	q, ok := g.queues[service]
	if !ok {
		q = newQueue()
		g.queues[service] = q
	}
	return q
}

// Ask decides on a request. Owner is kept in the ticket when it has to wait.
func (g *Gate) Ask(now time.Time, ask Ask, owner any) Decision {
	q := g.queue(ask.Service)
	if !now.Before(ask.Deadline) {
		return g.refuse(ask.Service, glade.ReasonDeadline)
	}
	if q.length == 0 {
		if grant, ok := g.router.Pick(now, ask.Service, ask.Avoid); ok {
			return Decision{grant: grant}
		}
	}
	slots := g.router.Slots(ask.Service)
	if slots == 0 {
		return g.refuse(ask.Service, glade.ReasonEndpoints)
	}
	if q.line(ask.Customer).Len() >= ask.Depth {
		return g.refuse(ask.Service, glade.ReasonQueue)
	}
	if now.Add(q.wait(q.length+1, slots) + q.mean.long()).After(ask.Deadline) {
		return g.refuse(ask.Service, glade.ReasonDeadline)
	}
	t := g.ticket(ask, owner)
	q.push(t)
	return Decision{ticket: t}
}

// wait estimates the time until the request at a position of the queue has its
// turn.
func (q *queue) wait(position, slots int) time.Duration {
	return q.mean.value * time.Duration(position) / time.Duration(slots)
}

// leastRetry is the shortest time to ask a caller to wait.
const leastRetry = time.Second

func (g *Gate) refuse(service glade.Service, reason glade.Reason) Decision {
	retry := leastRetry
	if slots := g.router.Slots(service); slots > 0 {
		q := g.queue(service)
		retry = max(retry, q.wait(q.length, slots))
	}
	return Decision{reason: reason, retry: retry}
}

func (g *Gate) ticket(ask Ask, owner any) *Ticket {
	t := &Ticket{}
	if n := len(g.spare); n > 0 {
		t = g.spare[n-1]
		g.spare = g.spare[:n-1]
	}
	g.number++
	*t = Ticket{
		customer: ask.Customer, service: ask.Service, deadline: ask.Deadline, weight: max(ask.Weight, 1),
		avoid: ask.Avoid, number: g.number, owner: owner,
	}
	return t
}

// Free takes back a ticket that was decided on, for reuse.
func (g *Gate) Free(t *Ticket) {
	t.owner = nil
	g.spare = append(g.spare, t)
}

// Quit takes out a request that no longer waits for its turn. It returns false
// when it was decided on before.
func (g *Gate) Quit(t *Ticket) bool {
	if !t.waiting {
		return false
	}
	g.queue(t.service).remove(t)
	return true
}

// Done returns a grant with its result and the time that the attempt took, and
// returns the decisions on waiting requests that follow. They are valid until
// the next call.
func (g *Gate) Done(now time.Time, service glade.Service, grant route.Grant, result route.Result, took time.Duration) []Decision {
	g.router.Done(now, grant, result)
	if result == route.Good {
		g.queue(service).mean.add(took)
	}
	g.decided = g.decided[:0]
	g.serve(now, service)
	return g.decided
}

// Update takes up a host list and returns the decisions that follow.
func (g *Gate) Update(now time.Time, list []glade.Listed) []Decision {
	g.router.Update(now, list)
	g.decided = g.decided[:0]
	for service := range g.queues {
		g.serve(now, service)
		g.shed(now, service)
	}
	return g.decided
}

// Leave takes an endpoint incarnation out for good.
func (g *Gate) Leave(endpoint glade.Endpoint) bool { return g.router.Leave(endpoint) }

// serve grants slots to waiting requests while there are both. Requests that
// can't be answered in time any more are refused instead.
func (g *Gate) serve(now time.Time, service glade.Service) {
	q := g.queue(service)
	for q.length > 0 {
		t := q.first()
		if now.Add(q.mean.long()).After(t.deadline) {
			g.drop(q, t, glade.ReasonDeadline)
			continue
		}
		grant, ok := g.router.Pick(now, service, t.avoid)
		if !ok {
			return
		}
		q.serve(t)
		g.decided = append(g.decided, Decision{grant: grant, ticket: t})
	}
}

// shed refuses what the slots that are left can't answer in time.
func (g *Gate) shed(now time.Time, service glade.Service) {
	q := g.queue(service)
	slots := g.router.Slots(service)
	for _, l := range q.lines {
		for i := len(l.waiting) - 1; i >= 0 && i < len(l.waiting); i-- {
			t := l.waiting[i]
			switch {
			case slots == 0:
				g.drop(q, t, glade.ReasonEndpoints)
			case now.Add(q.wait(i+1, slots) + q.mean.long()).After(t.deadline):
				g.drop(q, t, glade.ReasonDeadline)
			}
		}
	}
}

func (g *Gate) drop(q *queue, t *Ticket, reason glade.Reason) {
	q.remove(t)
	d := g.refuse(t.service, reason)
	d.ticket = t
	g.decided = append(g.decided, d)
}
