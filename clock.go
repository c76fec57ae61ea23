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
	// Sleep waits for d or until ctx ends, and returns the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
}
