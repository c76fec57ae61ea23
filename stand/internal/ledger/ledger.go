// Package ledger records what the endpoints really ran, so that outcomes can
// be checked against it.
package ledger

import (
	"maps"
	"sync"
)

// Count is what the endpoints know of one request.
type Count struct {
	// Runs is the number of times that the work was started.
	Runs int `json:"runs"`
	// Done is the number of times that the work ran to its end.
	Done int `json:"done"`
}

// Totals sums up what the endpoints saw.
type Totals struct {
	Runs int `json:"runs"`
	// Cut counts work that a reboot or stop broke off.
	Cut int `json:"cut"`
	// Late counts work that began more than the allowed time after its
	// endpoint began to leave.
	Late int `json:"late"`
	// Peak is the greatest number of requests in flight on one endpoint.
	Peak int `json:"peak"`
	// Tasks counts started tasks, and TasksCut those that a reboot broke off.
	Tasks    int `json:"tasks"`
	TasksCut int `json:"taskscut"`
}

// Ledger counts runs by request id.
type Ledger struct {
	mu     sync.Mutex
	counts map[string]Count
	totals Totals
	jobs   map[string]int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{counts: make(map[string]Count), jobs: make(map[string]int)}
}

// Start records that the work of a request began, with the number of requests
// now in flight on its endpoint.
func (l *Ledger) Start(request string, flight int, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[request]
	c.Runs++
	l.counts[request] = c
	l.totals.Runs++
	l.totals.Peak = max(l.totals.Peak, flight)
	if late {
		l.totals.Late++
	}
}

// Done records that the work of a request ran to its end.
func (l *Ledger) Done(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[request]
	c.Done++
	l.counts[request] = c
}

// Cut records that n running requests were broken off.
func (l *Ledger) Cut(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Cut += n
}

// StartTask records that a task of a job began.
func (l *Ledger) StartTask(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[job]++
	l.totals.Tasks++
}

// CutTasks records that a reboot broke n running tasks off.
func (l *Ledger) CutTasks(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.TasksCut += n
}

// Jobs returns how often each job was started.
func (l *Ledger) Jobs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.jobs)
}

// Counts returns a copy of the counts of every request.
func (l *Ledger) Counts() map[string]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]Count, len(l.counts))
	for id, c := range l.counts {
		counts[id] = c
	}
	return counts
}

// Totals returns the sums.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}
