// Package admit is the admission control of an entry host: it grants a request
// a slot, queues it until a slot is free, or refuses it, for example because it
// can't be answered before its deadline.
package admit

import (
	"time"

	glade "indigoglade"
	"indigoglade/route"
)

// Request describes a request that needs a slot.
type Request struct {
	Customer glade.Customer
	Service  glade.Service
	Deadline time.Time
	// QueueLimit is the maximum number of requests of the customer that may wait for
	// the service.
	QueueLimit int
	// Weight is the customer's weight in the weighted fair queueing. A value
	// below 1 counts as 1.
	Weight float64
	// Avoid is the endpoint of an earlier attempt. Another one is preferred.
	Avoid glade.Endpoint
}

// Waiter is the handle of a queued request.
type Waiter struct {
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

// Value returns the value that the caller attached to the request.
func (w *Waiter) Value() any { return w.value }

// Decision is the result of admission: a grant, the handle of a queued request,
// or the reason for a refusal. The decision on a request that was queued also
// holds its handle.
type Decision struct {
	grant  route.Grant
	waiter *Waiter
	reason glade.Reason
	retry  time.Duration
}

// Waiter returns the handle of a request that is or was queued, or nil.
func (d Decision) Waiter() *Waiter { return d.waiter }

// Reason returns why the request was refused, or ReasonNone.
func (d Decision) Reason() glade.Reason { return d.reason }

// Grant returns the grant for one attempt. The second result is false if there
// is none.
func (d Decision) Grant() (route.Grant, bool) { return d.grant, d.grant != route.Grant{} }

// RetryAfter returns the delay after which the caller may send a refused request
// again.
func (d Decision) RetryAfter() time.Duration { return d.retry }

// Controller combines the router with a queue for each service. It is not safe for
// concurrent use.
type Controller struct {
	router    *route.Router
	queues    map[glade.Service]*queue
	recycled  []*Waiter
	decisions []Decision
	seq       uint64
}

// New returns an admission controller with empty queues.
func New(router *route.Router) *Controller {
	return &Controller{router: router, queues: make(map[glade.Service]*queue)}
}

func (c *Controller) queue(service glade.Service) *queue {
	q, ok := c.queues[service]
	if !ok {
		q = newQueue()
		c.queues[service] = q
	}
	return q
}

// Admit grants, queues or refuses a request. value is kept with the request while
// it is queued.
func (c *Controller) Admit(now time.Time, request Request, value any) Decision {
	q := c.queue(request.Service)
	if !now.Before(request.Deadline) {
		return c.refuse(request.Service, glade.ReasonDeadline)
	}
	if q.length == 0 {
		if grant, ok := c.router.Pick(now, request.Service, request.Avoid); ok {
			return Decision{grant: grant}
		}
	}
	slots := c.router.Slots(request.Service)
	if slots == 0 {
		return c.refuse(request.Service, glade.ReasonNoEndpoints)
	}
	if q.queueOf(request.Customer).Len() >= request.QueueLimit {
		return c.refuse(request.Service, glade.ReasonQueueFull)
	}
	if now.Add(q.wait(q.length+1, slots) + q.serviceTime.upperBound()).After(request.Deadline) {
		return c.refuse(request.Service, glade.ReasonDeadline)
	}
	w := c.waiter(request, value)
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

func (c *Controller) refuse(service glade.Service, reason glade.Reason) Decision {
	retry := minRetryDelay
	if slots := c.router.Slots(service); slots > 0 {
		q := c.queue(service)
		retry = max(retry, q.wait(q.length, slots))
	}
	return Decision{reason: reason, retry: retry}
}

func (c *Controller) waiter(request Request, value any) *Waiter {
	w := &Waiter{}
	if n := len(c.recycled); n > 0 {
		w = c.recycled[n-1]
		c.recycled = c.recycled[:n-1]
	}
	c.seq++
	*w = Waiter{
		customer: request.Customer, service: request.Service, deadline: request.Deadline, weight: max(request.Weight, 1),
		avoid: request.Avoid, seq: c.seq, value: value,
	}
	return w
}

// Recycle recycles the handle of a request that was granted or refused after
// waiting. The caller must not use it any more.
func (c *Controller) Recycle(w *Waiter) {
	w.value = nil
	c.recycled = append(c.recycled, w)
}

// Cancel removes a request from its queue. It returns false if the request no
// longer waits there.
func (c *Controller) Cancel(w *Waiter) bool {
	if !w.waiting {
		return false
	}
	c.queue(w.service).remove(w)
	return true
}

// Done releases a grant with the result and the duration of its attempt. It
// returns the decisions on queued requests that follow, which are valid until
// the next call of Done or Update.
func (c *Controller) Done(now time.Time, service glade.Service, grant route.Grant, result route.Result, took time.Duration) []Decision {
	c.router.Done(now, grant, result)
	if result == route.Success {
		c.queue(service).serviceTime.add(took)
	}
	c.decisions = c.decisions[:0]
	c.dispatch(now, service)
	return c.decisions
}

// Update applies a host list. It returns the decisions on queued requests that
// follow, which are valid until the next call of Done or Update.
func (c *Controller) Update(now time.Time, list []glade.HostListing) []Decision {
	c.router.Update(now, list)
	c.decisions = c.decisions[:0]
	for service := range c.queues {
		c.dispatch(now, service)
		c.shed(now, service)
	}
	return c.decisions
}

// ExcludeEndpoint excludes an endpoint incarnation permanently. It returns
// false if the incarnation was excluded before.
func (c *Controller) ExcludeEndpoint(endpoint glade.Endpoint) bool {
	return c.router.ExcludeEndpoint(endpoint)
}

// dispatch grants free slots to queued requests in turn. A request that can no
// longer be answered before its deadline is refused instead.
func (c *Controller) dispatch(now time.Time, service glade.Service) {
	q := c.queue(service)
	for q.length > 0 {
		w := q.first()
		if now.Add(q.serviceTime.upperBound()).After(w.deadline) {
			c.refuseQueued(q, w, glade.ReasonDeadline)
			continue
		}
		grant, ok := c.router.Pick(now, service, w.avoid)
		if !ok {
			return
		}
		q.dispatch(w)
		c.decisions = append(c.decisions, Decision{grant: grant, waiter: w})
	}
}

// shed refuses queued requests that the remaining slots can't answer before
// their deadlines.
func (c *Controller) shed(now time.Time, service glade.Service) {
	q := c.queue(service)
	slots := c.router.Slots(service)
	for _, customer := range q.customers {
		for i := len(customer.waiting) - 1; i >= 0 && i < len(customer.waiting); i-- {
			w := customer.waiting[i]
			switch {
			case slots == 0:
				c.refuseQueued(q, w, glade.ReasonNoEndpoints)
			case now.Add(q.wait(i+1, slots) + q.serviceTime.upperBound()).After(w.deadline):
				c.refuseQueued(q, w, glade.ReasonDeadline)
			}
		}
	}
}

func (c *Controller) refuseQueued(q *queue, w *Waiter, reason glade.Reason) {
	q.remove(w)
	d := c.refuse(w.service, reason)
	d.waiter = w
	c.decisions = append(c.decisions, d)
}
