package admit

import (
	"container/heap"

	glade "indigoglade"
)

// line holds the waiting requests of one customer, the earliest deadline first.
type line struct {
	waiting []*Ticket
	// served is the customer's granted work over its weight.
	served float64
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (l *line) Len() int { return len(l.waiting) }

// Less orders by deadline, then by arrival.
func (l *line) Less(i, j int) bool {
	a, b := l.waiting[i], l.waiting[j]
	if !a.deadline.Equal(b.deadline) {
		return a.deadline.Before(b.deadline)
	}
	return a.number < b.number
}

// Swap exchanges two requests.
func (l *line) Swap(i, j int) {
	l.waiting[i], l.waiting[j] = l.waiting[j], l.waiting[i]
	l.waiting[i].index, l.waiting[j].index = i, j
}

// Push adds a request at the end.
func (l *line) Push(x any) {
	t := x.(*Ticket)
	t.index = len(l.waiting)
	l.waiting = append(l.waiting, t)
}

// Pop removes the last request.
func (l *line) Pop() any {
	last := len(l.waiting) - 1
	t := l.waiting[last]
	l.waiting[last] = nil
	l.waiting = l.waiting[:last]
	return t
}

// queue holds the waiting requests of one service. Customers take turns by
// their weights; within a customer the earliest deadline goes first.
type queue struct {
	lines  map[glade.Customer]*line
	length int
	// clock is the served work of the customer that was served last. A customer
	// that comes back starts there, so that it can't save up turns.
	clock float64
	mean  mean
}

func newQueue() *queue {
	return &queue{lines: make(map[glade.Customer]*line)}
}

func (q *queue) line(customer glade.Customer) *line {
	l, ok := q.lines[customer]
	if !ok {
		l = &line{}
		q.lines[customer] = l
	}
	return l
}

func (q *queue) push(t *Ticket) {
	l := q.line(t.customer)
	if l.Len() == 0 {
		l.served = max(l.served, q.clock)
	}
	heap.Push(l, t)
	t.waiting = true
	q.length++
}

// first returns the request whose turn it is.
func (q *queue) first() *Ticket {
	var best *line
	for _, l := range q.lines {
		if l.Len() == 0 {
			continue
		}
		if best == nil || l.served < best.served ||
			(l.served == best.served && l.waiting[0].number < best.waiting[0].number) {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting[0]
}

func (q *queue) remove(t *Ticket) {
	heap.Remove(q.line(t.customer), t.index)
	t.waiting = false
	q.length--
}

// serve removes a request and counts it as its customer's turn.
func (q *queue) serve(t *Ticket) {
	l := q.line(t.customer)
	q.clock = l.served
	l.served += 1 / t.weight
	q.remove(t)
}
