package glade

import (
	"context"
	"time"
)

// Clock provides the time. Only programs read it; decision logic takes the time
// as an argument.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Uptime returns the time since the machine's start. Unlike Now, it includes the
	// time for which the machine was suspended, and nobody sets it.
	Uptime() time.Duration
	// Sleep waits for d or until ctx ends, and returns the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
}
