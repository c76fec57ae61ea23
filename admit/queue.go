package admit

import (
	"container/heap"

	glade "indigoglade"
)

// customerQueue is a heap of one customer's waiting requests, the earliest
// deadline first.
type customerQueue struct {
	waiting []*Waiter
	// served is the sum of 1/weight over the customer's granted requests.
	served float64
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (c *customerQueue) Len() int { return len(c.waiting) }

// Less orders requests by deadline, then by arrival.
func (c *customerQueue) Less(i, j int) bool {
	a, b := c.waiting[i], c.waiting[j]
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.seq < b.seq
}

// Swap exchanges two requests and updates their indexes.
func (c *customerQueue) Swap(i, j int) {
	c.waiting[i], c.waiting[j] = c.waiting[j], c.waiting[i]
	c.waiting[i].index, c.waiting[j].index = i, j
}

// Push appends a request; heap.Push then moves it to its place.
func (c *customerQueue) Push(x any) {
	w := x.(*Waiter)
	w.index = len(c.waiting)
	c.waiting = append(c.waiting, w)
}

// Pop removes and returns the last request.
func (c *customerQueue) Pop() any {
	last := len(c.waiting) - 1
	w := c.waiting[last]
	c.waiting[last] = nil
	c.waiting = c.waiting[:last]
	return w
}

// queue holds the waiting requests of one service. Customers take turns by
// their weights (weighted fair queueing); among the requests of a customer, the
// earliest deadline goes first.
type queue struct {
	customers map[glade.Customer]*customerQueue
	length    int
	// virtualTime is the served value of the customer that was served last. A
	// customer whose queue was empty continues from there, so that it can't
	// accumulate turns while it sends nothing.
	virtualTime float64
	serviceTime serviceTime
}

func newQueue() *queue {
	return &queue{customers: make(map[glade.Customer]*customerQueue)}
}

func (q *queue) queueOf(customer glade.Customer) *customerQueue {
	c, ok := q.customers[customer]
	if !ok {
		c = &customerQueue{}
		q.customers[customer] = c
	}
	return c
}

func (q *queue) push(w *Waiter) {
	c := q.queueOf(w.customer)
	if c.Len() == 0 {
		c.served = max(c.served, q.virtualTime)
	}
	heap.Push(c, w)
	w.waiting = true
	q.length++
}

// first returns the request whose turn it is, or nil if none waits.
func (q *queue) first() *Waiter {
	var best *customerQueue
	for _, c := range q.customers {
		if c.Len() == 0 {
			continue
		}
		if best == nil || c.served < best.served ||
			(c.served == best.served && c.waiting[0].seq < best.waiting[0].seq) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting[0]
}

func (q *queue) remove(w *Waiter) {
	heap.Remove(q.queueOf(w.customer), w.index)
	w.waiting = false
	q.length--
}

// dispatch removes a request and counts it as a turn of its customer.
func (q *queue) dispatch(w *Waiter) {
	c := q.queueOf(w.customer)
	q.virtualTime = c.served
	c.served += 1 / w.weight
	q.remove(w)
}
