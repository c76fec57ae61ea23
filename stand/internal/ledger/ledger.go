// Package ledger records what the endpoints actually executed, so that tests can
// check the reported outcomes against it.
package ledger

import (
	"maps"
	"sync"
)

// Count counts the executions of one request by the endpoints.
type Count struct {
	// Runs is the number of executions that were started.
	Runs int `json:"runs"`
	// Done is the number of executions that were completed.
	Done int `json:"done"`
}

// Totals holds the sums over all requests, tasks and endpoints.
type Totals struct {
	Runs int `json:"runs"`
	// Aborted is the number of requests, running or queued, that a reboot aborted.
	Aborted int `json:"cut"`
	// LateStarts is the number of executions that were started on a draining endpoint
	// after the grace period had ended.
	LateStarts int `json:"late"`
	// PeakRequests is the maximum number of requests, running and queued, on one
	// endpoint at the same time.
	PeakRequests int `json:"peak"`
	// Tasks is the number of started tasks.
	Tasks int `json:"tasks"`
	// TasksDropped is the number of tasks that a reboot dropped: running tasks, and
	// those that ended less than a lease before and whose result had not been
	// fetched.
	TasksDropped int `json:"taskscut"`
}

// Ledger counts executions by request ID and task starts by job. It is safe for
// concurrent use.
type Ledger struct {
	mu        sync.Mutex
	counts    map[string]Count
	totals    Totals
	jobStarts map[string]int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{counts: make(map[string]Count), jobStarts: make(map[string]int)}
}

// Start records that the execution of a request started. flight is the number of
// requests on its endpoint, running and queued, including this one.
func (l *Ledger) Start(request string, flight int, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[request]
	c.Runs++
	l.counts[request] = c
	l.totals.Runs++
	l.totals.PeakRequests = max(l.totals.PeakRequests, flight)
	if late {
		l.totals.LateStarts++
	}
}

// Done records that the execution of a request was completed.
func (l *Ledger) Done(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[request]
	c.Done++
	l.counts[request] = c
}

// Aborted records that a reboot aborted n requests.
func (l *Ledger) Aborted(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.Aborted += n
}

// StartTask records that a task of a job was started.
func (l *Ledger) StartTask(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobStarts[job]++
	l.totals.Tasks++
}

// DropTasks records that a reboot dropped n tasks.
func (l *Ledger) DropTasks(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.totals.TasksDropped += n
}

// Jobs returns a copy of the number of task starts of each job.
func (l *Ledger) Jobs() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.jobStarts)
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

// Totals returns the sums so far.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals
}
