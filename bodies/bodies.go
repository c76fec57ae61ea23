// Package bodies bounds the memory of all request bodies that are held at the same time. A bound on each body alone does
// not bound a process: clients that keep to it may send any number of bodies that never end.
package bodies

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Errors of Read for a body that was not read. Nothing of its request has been carried out.
var (
	// ErrTooLarge means that a body exceeds its own limit.
	ErrTooLarge = errors.New("request body too large")
	// ErrFull means that the bodies which are held leave no memory.
	ErrFull = errors.New("too many request bodies at once")
	// ErrSlow means that a body was given up for others because it arrived more slowly.
	ErrSlow = errors.New("request body arrives too slowly while there are many")
)

// Config configures a Budget.
type Config struct {
	// Bytes bounds the memory of all bodies; 0 means without bound. A single body may exceed it while no other is held.
	Bytes int64
	// Reserve is the part of Bytes that is kept for bodies of an announced length up to SmallBody bytes.
	Reserve, SmallBody int64
	// MinTime is how long a body may take before it can be given up for others.
	MinTime time.Duration
	Clock   glade.Clock
}

// Budget is the memory of request bodies. Its methods may be called concurrently.
type Budget struct {
	config Config
	mu     sync.Mutex
	held   int64
	// arriving holds the bodies that have not been read to their end.
	arriving map[*Body]struct{}
	stats    Stats
}

// Stats describes a budget. Its counters only grow.
type Stats struct {
	// Held and Most are the bytes that are held, and the most that were held at a time.
	Held int64 `json:"held"`
	Most int64 `json:"most"`
	// Limit is the bound on Held; 0 if there is none.
	Limit    int64 `json:"limit"`
	Arriving int   `json:"arriving"`
	// Full, Slow and Large count the bodies that failed with ErrFull, ErrSlow and ErrTooLarge.
	Full  int64 `json:"full"`
	Slow  int64 `json:"slow"`
	Large int64 `json:"large"`
}

// New returns a budget of which nothing is held.
func New(config Config) *Budget {
	return &Budget{config: config, arriving: make(map[*Body]struct{})}
}

// Stats returns the state and the counters of the budget.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	stats := b.stats
	stats.Held, stats.Limit, stats.Arriving = b.held, b.config.Bytes, len(b.arriving)
	return stats
}

// Body is a request body and its part of the budget.
type Body struct {
	budget *Budget
	data   []byte
	// stop makes a read of the body return. It is called at most once.
	stop    func()
	isSmall bool
	start   time.Duration
	held    int64
	stopped bool
}

// Data returns the bytes of the body.
func (b *Body) Data() []byte { return b.data }

// Shrink drops the bytes of the body and gives back what it holds beyond some bytes, which are for what was decoded from it.
func (b *Body) Shrink(bytes int64) {
	b.budget.mu.Lock()
	defer b.budget.mu.Unlock()
	b.data = nil
	if b.held > bytes {
		b.budget.held -= b.held - bytes
		b.held = bytes
	}
}

// Release gives back all that the body holds.
func (b *Body) Release() { b.Shrink(0) }

// begin adds a body of an announced length, which is negative if it is not known.
func (b *Budget) begin(length int64, stop func()) *Body {
	body := &Body{budget: b, stop: stop, isSmall: length >= 0 && length <= b.config.SmallBody, start: b.config.Clock.Uptime()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arriving[body] = struct{}{}
	return body
}

// end notes that a body is complete or has failed with an error. A body that was given up meanwhile has failed.
func (b *Budget) end(body *Body, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, body)
	switch {
	case body.stopped:
		err = ErrSlow
		b.stats.Slow++
	case errors.Is(err, ErrFull):
		b.stats.Full++
	case errors.Is(err, ErrTooLarge):
		b.stats.Large++
	}
	if err != nil {
		b.held -= body.held
		body.held, body.data = 0, nil
	}
	return err
}

// keep notes that a body has been read and is not given up any more.
func (b *Budget) keep(body *Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.arriving, body)
}

// take adds bytes to what a body holds. If they are not free, it gives up other bodies that are still arriving.
func (b *Budget) take(body *Body, bytes int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Clock.Uptime()
	for !body.stopped && !b.fits(body, bytes) {
		victim := b.costliest(now)
		if victim == nil || victim == body { // it is not better than the others
			return ErrFull
		}
		victim.stopped = true
		b.held -= victim.held
		victim.held = 0
		victim.stop()
	}
	if body.stopped {
		return ErrSlow
	}
	body.held += bytes
	b.held += bytes
	b.stats.Most = max(b.stats.Most, b.held)
	return nil
}

// fits reports whether bytes are free for a body. The caller holds the lock.
func (b *Budget) fits(body *Body, bytes int64) bool {
	limit := b.config.Bytes
	if !body.isSmall {
		limit -= b.config.Reserve
	}
	return b.config.Bytes == 0 || b.held == body.held || b.held+bytes <= limit
}

// costliest returns the arriving body that has held the most memory for the longest time, of those that have had their
// time, or nil. Of bodies of one size it is the one that arrives most slowly, and a small body is given up after the large
// ones. The caller holds the lock.
func (b *Budget) costliest(now time.Duration) *Body {
	var costliest *Body
	highest := 0.0
	for body := range b.arriving {
		took := now - body.start
		if body.stopped || took < b.config.MinTime {
			continue
		}
		if cost := float64(body.held) * took.Seconds(); cost > highest {
			costliest, highest = body, cost
		}
	}
	return costliest
}
