// Package admit decides which requests wait for a slot and for how long.
package admit

import (
	"time"

	glade "indigoglade"
)

// Ticket is a request that waits or runs.
type Ticket struct {
	customer glade.Customer
	service  glade.Service
	deadline time.Time
	ready    chan struct{}
	granted  bool
	left     bool
}

// Ready is closed when the request's turn has come. The request then asks the
// router for a grant.
func (t *Ticket) Ready() <-chan struct{} { return t.ready }

// Config configures a Queue.
type Config struct {
	// Depth bounds the number of waiting requests of one service.
	Depth int
}

// Queue holds the waiting requests of one service in the order of their
// deadlines' arrival. It is not safe for concurrent use.
type Queue struct {
	waiting []*Ticket
}

// New returns an empty queue.
func New() *Queue { return &Queue{} }

// Join adds a request, or returns false when depth requests wait already.
func (q *Queue) Join(customer glade.Customer, service glade.Service, deadline time.Time, depth int) (*Ticket, bool) {
	q.trim()
	if len(q.waiting) >= depth {
		return nil, false
	}
	t := &Ticket{customer: customer, service: service, deadline: deadline, ready: make(chan struct{})}
	q.waiting = append(q.waiting, t)
	return t, true
}

// Next takes out the request whose turn it is, passing over those that left or
// whose deadline has passed.
func (q *Queue) Next(now time.Time) (*Ticket, bool) {
	for len(q.waiting) > 0 {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		if t.left || !now.Before(t.deadline) {
			continue
		}
		t.granted = true
		close(t.ready)
		return t, true
	}
	return nil, false
}

// Leave takes a request out. It returns false when its turn had come already.
func (q *Queue) Leave(t *Ticket) bool {
	if t.granted {
		return false
	}
	t.left = true
	return true
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.trim()
	return len(q.waiting)
}

func (q *Queue) trim() {
	for len(q.waiting) > 0 && q.waiting[0].left {
		q.waiting = q.waiting[1:]
	}
}
