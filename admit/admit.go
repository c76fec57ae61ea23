// Package admit is the admission control of an entry host: it grants a request
// a slot, queues it until a slot is free, or refuses it, for example because it
// can't be answered before its deadline.
package admit

import (
	"time"

	glade "indigoglade"
	"indigoglade/route"
)

// Ask describes a request that needs a slot.
type Ask struct {
	Customer glade.Customer
	Service  glade.Service
	Deadline time.Time
	// Depth is the maximum number of requests of the customer that may wait for
	// the service.
	Depth int
	// Weight is the customer's weight in the weighted fair queueing. A value
	// below 1 counts as 1.
	Weight float64
	// Avoid is the endpoint of an earlier attempt. Another one is preferred.
	Avoid glade.Endpoint
}

// Ticket is the handle of a queued request.
type Ticket struct {
	customer glade.Customer
	service  glade.Service
	deadline time.Time
	weight   float64
	avoid    glade.Endpoint
	seq      uint64
	index    int
	waiting  bool
	value    any
}

// Owner returns the value that the caller attached to the request.
func (w *Ticket) Owner() any { return w.value }

// Decision is the result of admission: a grant, the handle of a queued request,
// or the reason for a refusal. The decision on a request that was queued also
// holds its handle.
type Decision struct {
	grant  route.Grant
	waiter *Ticket
	reason glade.Reason
	retry  time.Duration
}

// Ticket returns the handle of a request that is or was queued, or nil.
func (d Decision) Ticket() *Ticket { return d.waiter }

// Reason returns why the request was refused, or ReasonNone.
func (d Decision) Reason() glade.Reason { return d.reason }

// Grant returns the grant for one attempt. The second result is false if there
// is none.
func (d Decision) Grant() (route.Grant, bool) { return d.grant, d.grant != route.Grant{} }

// Retry returns the delay after which the caller may send a refused request
// again.
func (d Decision) Retry() time.Duration { return d.retry }

// Gate combines the router with a queue for each service. It is not safe for
// concurrent use.
type Gate struct {
	router    *route.Router
	queues    map[glade.Service]*queue
	recycled  []*Ticket
	decisions []Decision
	seq       uint64
}

// New returns an admission controller with empty queues.
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

// Ask grants, queues or refuses a request. value is kept with the request while
// it is queued.
func (g *Gate) Ask(now time.Time, request Ask, value any) Decision {
	q := g.queue(request.Service)
	if !now.Before(request.Deadline) {
		return g.refuse(request.Service, glade.ReasonDeadline)
	}
	if q.length == 0 {
		if grant, ok := g.router.Pick(now, request.Service, request.Avoid); ok {
			return Decision{grant: grant}
		}
	}
	slots := g.router.Slots(request.Service)
	if slots == 0 {
		return g.refuse(request.Service, glade.ReasonEndpoints)
	}
	if q.queueOf(request.Customer).Len() >= request.Depth {
		return g.refuse(request.Service, glade.ReasonQueue)
	}
	if now.Add(q.wait(q.length+1, slots) + q.serviceTime.upperBound()).After(request.Deadline) {
		return g.refuse(request.Service, glade.ReasonDeadline)
	}
	w := g.waiter(request, value)
	q.push(w)
	return Decision{waiter: w}
}

// wait estimates the time until the request at a position of the queue is
// granted a slot.
func (q *queue) wait(position, slots int) time.Duration {
	return q.serviceTime.mean * time.Duration(position) / time.Duration(slots)
}

// minRetryDelay is the shortest delay suggested to the caller of a refused
// request.
const minRetryDelay = time.Second

func (g *Gate) refuse(service glade.Service, reason glade.Reason) Decision {
	retry := minRetryDelay
	if slots := g.router.Slots(service); slots > 0 {
		q := g.queue(service)
		retry = max(retry, q.wait(q.length, slots))
	}
	return Decision{reason: reason, retry: retry}
}

func (g *Gate) waiter(request Ask, value any) *Ticket {
	w := &Ticket{}
	if n := len(g.recycled); n > 0 {
		w = g.recycled[n-1]
		g.recycled = g.recycled[:n-1]
	}
	g.seq++
	*w = Ticket{
		customer: request.Customer, service: request.Service, deadline: request.Deadline, weight: max(request.Weight, 1),
		avoid: request.Avoid, seq: g.seq, value: value,
	}
	return w
}

// Free recycles the handle of a request that was granted or refused after
// waiting. The caller must not use it any more.
func (g *Gate) Free(w *Ticket) {
	w.value = nil
	g.recycled = append(g.recycled, w)
}

// Quit removes a request from its queue. It returns false if the request no
// longer waits there.
func (g *Gate) Quit(w *Ticket) bool {
	if !w.waiting {
		return false
	}
	g.queue(w.service).remove(w)
	return true
}

// Done releases a grant with the result and the duration of its attempt. It
// returns the decisions on queued requests that follow, which are valid until
// the next call of Done or Update.
func (g *Gate) Done(now time.Time, service glade.Service, grant route.Grant, result route.Result, took time.Duration) []Decision {
	g.router.Done(now, grant, result)
	if result == route.Good {
		g.queue(service).serviceTime.add(took)
	}
	g.decisions = g.decisions[:0]
	g.dispatch(now, service)
	return g.decisions
}

// Update applies a host list. It returns the decisions on queued requests that
// follow, which are valid until the next call of Done or Update.
func (g *Gate) Update(now time.Time, list []glade.Listed) []Decision {
	g.router.Update(now, list)
	g.decisions = g.decisions[:0]
	for service := range g.queues {
		g.dispatch(now, service)
		g.shed(now, service)
	}
	return g.decisions
}

// Leave excludes an endpoint incarnation permanently. It returns false if the
// incarnation was excluded before.
func (g *Gate) Leave(endpoint glade.Endpoint) bool { return g.router.Leave(endpoint) }

// dispatch grants free slots to queued requests in turn. A request that can no
// longer be answered before its deadline is refused instead.
func (g *Gate) dispatch(now time.Time, service glade.Service) {
	q := g.queue(service)
	for q.length > 0 {
		w := q.first()
		if now.Add(q.serviceTime.upperBound()).After(w.deadline) {
			g.refuseQueued(q, w, glade.ReasonDeadline)
			continue
		}
		grant, ok := g.router.Pick(now, service, w.avoid)
		if !ok {
			return
		}
		q.dispatch(w)
		g.decisions = append(g.decisions, Decision{grant: grant, waiter: w})
	}
}

// shed refuses queued requests that the remaining slots can't answer before
// their deadlines.
func (g *Gate) shed(now time.Time, service glade.Service) {
	q := g.queue(service)
	slots := g.router.Slots(service)
	for _, c := range q.customers {
		for i := len(c.waiting) - 1; i >= 0 && i < len(c.waiting); i-- {
			w := c.waiting[i]
			switch {
			case slots == 0:
				g.refuseQueued(q, w, glade.ReasonEndpoints)
			case now.Add(q.wait(i+1, slots) + q.serviceTime.upperBound()).After(w.deadline):
				g.refuseQueued(q, w, glade.ReasonDeadline)
			}
		}
	}
}

func (g *Gate) refuseQueued(q *queue, w *Ticket, reason glade.Reason) {
	q.remove(w)
	d := g.refuse(w.service, reason)
	d.waiter = w
	g.decisions = append(g.decisions, d)
}
