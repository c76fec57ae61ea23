package jobapi

import (
	"context"
	"slices"
	"sync"
	"time"

	glade "indigoglade"
	"indigoglade/jobs"
)

// Limits of the writer.
const (
	// maxQueued is the maximum number of jobs that wait to be written.
	maxQueued = 256
	// maxBatch is the maximum number of jobs in one transaction.
	maxBatch = 32
	// maxTxns is the maximum number of concurrent transactions.
	maxTxns = 4
	// maxQueueTime is how long a job waits for its transaction to begin.
	maxQueueTime = 2 * time.Second
)

// writer writes accepted jobs in batches: jobs that arrive while all
// transactions are in flight share the next one. There is no background
// goroutine. A handler that gets a place writes the queued jobs of others too,
// so that no job is left over when the program stops.
type writer struct {
	config   Config
	inFlight chan struct{}

	mu    sync.Mutex
	queue []*queuedJob
}

// queuedJob is a job that waits to be written.
type queuedJob struct {
	row    glade.JobRow
	result glade.CommitResult
	done   chan struct{}
}

func newWriter(config Config) *writer {
	return &writer{config: config, inFlight: make(chan struct{}, maxTxns)}
}

// write writes one job. It returns false if the job was not written because the
// queue is full or the wait was too long.
func (w *writer) write(ctx context.Context, row glade.JobRow) (glade.CommitResult, bool) {
	j := &queuedJob{row: row, done: make(chan struct{})}
	if !w.enqueue(j) {
		return glade.Unavailable, false
	}
	timer := time.NewTimer(maxQueueTime)
	defer timer.Stop()
	for {
		select {
		case <-j.done:
			return j.result, true
		case w.inFlight <- struct{}{}:
			// Other jobs are in the transaction, so it continues when the
			// caller disconnects.
			w.commit(context.WithoutCancel(ctx), w.nextBatch())
			<-w.inFlight
		case <-timer.C:
			if w.dequeue(j) {
				return glade.Unavailable, false
			}
			<-j.done
		}
	}
}

func (w *writer) enqueue(j *queuedJob) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) >= maxQueued {
		return false
	}
	w.queue = append(w.queue, j)
	return true
}

// nextBatch dequeues the jobs of the next transaction: the oldest job, and
// others of the same customer.
func (w *writer) nextBatch() []*queuedJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch, rest []*queuedJob
	for _, j := range w.queue {
		if len(batch) < maxBatch && (len(batch) == 0 || j.row.Customer == batch[0].row.Customer) {
			batch = append(batch, j)
			continue
		}
		rest = append(rest, j)
	}
	w.queue = rest
	return batch
}

// dequeue removes a job that is in no transaction yet.
func (w *writer) dequeue(j *queuedJob) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := slices.Index(w.queue, j)
	if i < 0 {
		return false
	}
	w.queue = slices.Delete(w.queue, i, i+1)
	return true
}

func (w *writer) commit(ctx context.Context, batch []*queuedJob) {
	if len(batch) == 0 {
		return
	}
	rows := make([]glade.JobRow, 0, len(batch))
	for _, j := range batch {
		rows = append(rows, j.row)
	}
	results := jobs.Accept(ctx, w.config.Table, rows, w.config.Clock.Now())
	for _, j := range batch {
		j.result = results[j.row.Ticket]
		close(j.done)
	}
}
