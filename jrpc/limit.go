package jrpc

import (
	"sync"

	"github.com/pkg/errors"
)

// Limit bounds the memory of calls that are under way at the same time. What one call takes is bounded by the size of
// a message; what all take together is not. All its methods may be called concurrently.
type Limit struct {
	max, small int64
	mu         sync.Mutex
	used       int64
	refused    int64
}

// LimitConfig configures a Limit.
type LimitConfig struct {
	// MaxBytes is how much all calls may take together. Calls of more than SmallBytes leave half of it to the others.
	MaxBytes, SmallBytes int64
}

// NewLimit returns a limit of which nothing is used.
func NewLimit(config LimitConfig) *Limit {
	return &Limit{max: config.MaxBytes, small: config.SmallBytes}
}

// Take takes bytes for a call that begins, or refuses and counts it. A call is never refused while no other is under way.
func (l *Limit) Take(bytes int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := l.max
	if bytes > l.small {
		allowed /= 2
	}
	if l.used > 0 && l.used+bytes > allowed {
		l.refused++
		return false
	}
	l.used += bytes
	return true
}

// Give gives back what a call has taken.
func (l *Limit) Give(bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= bytes
}

// Use returns how many bytes are taken, and how many calls were refused so far.
func (l *Limit) Use() (bytes, refused int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used, l.refused
}

// ErrBusy is wrapped by the errors of calls that the peer has refused without carrying them out, because others take
// the memory that there is for them.
var ErrBusy = errors.New("the peer has no room for the call")

// codeBusy is the code of such an error between two processes, one of those that JSON-RPC leaves to applications.
const codeBusy = -32001
