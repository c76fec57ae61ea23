package ticket

import (
	"context"
	"slices"
	"sync"
	"time"

	glade "indigoglade"
	"indigoglade/jobs"
)

// Bounds of the writer.
const (
	// maxWaiting bounds the jobs that wait to be written.
	maxWaiting = 256
	// maxBatch bounds the jobs of one transaction.
	maxBatch = 32
	// maxWriters bounds the transactions under way at once.
	maxWriters = 4
	// patience is how long a job waits for its transaction to begin.
	patience = 2 * time.Second
)

// writer writes accepted jobs. Jobs that arrive while all transactions are under
// way go into the next one together. The handlers do the work themselves: one
// that gets a slot writes for all that wait, so nothing is left over when the
// program stops.
type writer struct {
	config Config
	slots  chan struct{}

	mu      sync.Mutex
	waiting []*ask
}

// ask is a job that waits to be written.
type ask struct {
	row    glade.JobRow
	result glade.Commit
	done   chan struct{}
}

func newWriter(config Config) *writer {
	return &writer{config: config, slots: make(chan struct{}, maxWriters)}
}

// write writes one job. It returns false when the job was not written because
// too many wait, or for too long.
func (w *writer) write(ctx context.Context, row glade.JobRow) (glade.Commit, bool) {
	a := &ask{row: row, done: make(chan struct{})}
	if !w.add(a) {
		return glade.Unavailable, false
	}
	limit := time.NewTimer(patience)
	defer limit.Stop()
	for {
		select {
		case <-a.done:
			return a.result, true
		case w.slots <- struct{}{}:
			// The transaction goes on when the caller leaves: others are in it.
			w.writeAll(context.WithoutCancel(ctx), w.take())
			<-w.slots
		case <-limit.C:
			if w.remove(a) {
				return glade.Unavailable, false
			}
			<-a.done
		}
	}
}

func (w *writer) add(a *ask) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) >= maxWaiting {
		return false
	}
	w.waiting = append(w.waiting, a)
	return true
}

// take removes the jobs of the next transaction: the oldest, and those of the
// same customer.
func (w *writer) take() []*ask {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch, rest []*ask
	for _, a := range w.waiting {
		if len(batch) < maxBatch && (len(batch) == 0 || a.row.Customer == batch[0].row.Customer) {
			batch = append(batch, a)
			continue
		}
		rest = append(rest, a)
	}
	w.waiting = rest
	return batch
}

// remove takes back a job that no transaction has taken.
func (w *writer) remove(a *ask) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := slices.Index(w.waiting, a)
	if at < 0 {
		return false
	}
	w.waiting = slices.Delete(w.waiting, at, at+1)
	return true
}

func (w *writer) writeAll(ctx context.Context, batch []*ask) {
	if len(batch) == 0 {
		return
	}
	rows := make([]glade.JobRow, 0, len(batch))
	for _, a := range batch {
		rows = append(rows, a.row)
	}
	results := jobs.Accept(ctx, w.config.Table, rows, w.config.Clock.Now())
	for _, a := range batch {
		a.result = results[a.row.Ticket]
		close(a.done)
	}
}
