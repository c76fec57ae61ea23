package admit

import (
	"container/heap"

	glade "indigoglade"
)

// customerQueue is a heap of one customer's waiting requests, the earliest
// deadline first.
type customerQueue struct {
	waiting []*Ticket
	// served is the sum of 1/weight over the customer's granted requests.
	served float64
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (l *customerQueue) Len() int { return len(l.waiting) }

// Less orders requests by deadline, then by arrival.
func (l *customerQueue) Less(i, j int) bool {
	a, b := l.waiting[i], l.waiting[j]
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.seq < b.seq
}

// Swap exchanges two requests and updates their indexes.
func (l *customerQueue) Swap(i, j int) {
	l.waiting[i], l.waiting[j] = l.waiting[j], l.waiting[i]
	l.waiting[i].index, l.waiting[j].index = i, j
}

// Push appends a request; heap.Push then moves it to its place.
func (l *customerQueue) Push(x any) {
	t := x.(*Ticket)
	t.index = len(l.waiting)
	l.waiting = append(l.waiting, t)
}

// Pop removes and returns the last request.
func (l *customerQueue) Pop() any {
	last := len(l.waiting) - 1
	t := l.waiting[last]
	l.waiting[last] = nil
	l.waiting = l.waiting[:last]
	return t
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
	l, ok := q.customers[customer]
	if !ok {
		l = &customerQueue{}
		q.customers[customer] = l
	}
	return l
}

func (q *queue) push(t *Ticket) {
	l := q.queueOf(t.customer)
	if l.Len() == 0 {
		l.served = max(l.served, q.virtualTime)
	}
	heap.Push(l, t)
	t.waiting = true
	q.length++
}

// first returns the request whose turn it is, or nil if none waits.
func (q *queue) first() *Ticket {
	var best *customerQueue
	for _, l := range q.customers {
		if l.Len() == 0 {
			continue
		}
		if best == nil || l.served < best.served ||
			(l.served == best.served && l.waiting[0].seq < best.waiting[0].seq) {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting[0]
}

func (q *queue) remove(t *Ticket) {
	heap.Remove(q.queueOf(t.customer), t.index)
	t.waiting = false
	q.length--
}

// dispatch removes a request and counts it as a turn of its customer.
func (q *queue) dispatch(t *Ticket) {
	l := q.queueOf(t.customer)
	q.virtualTime = l.served
	l.served += 1 / t.weight
	q.remove(t)
}
