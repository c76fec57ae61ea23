package serve

import (
	"context"
	"sync/atomic"
	"time"
)

// noticeTime is how long the balancer may take to see that the entry host is
// not ready.
const noticeTime = 500 * time.Millisecond

// drainPeriod is the time between two looks at what is still under way.
const drainPeriod = 10 * time.Millisecond

// Stop makes the entry host unready, takes no further relays, and waits until
// the balancer has noticed and the peers have the answers of their relays.
// Callers' own requests are left to the HTTP server, which stops after it.
func (s *Server) Stop(ctx context.Context) {
	s.stopping.Store(true)
	_ = s.config.Clock.Sleep(ctx, noticeTime)
	s.waitFor(ctx, &s.relays)
}

// Drain waits until no endpoint works for this entry host any more. A process
// that ended earlier would leave work behind that its successor doesn't know
// of, and both together could fill more than the slots of an endpoint.
func (s *Server) Drain(ctx context.Context) { s.waitFor(ctx, &s.attempts) }

func (s *Server) waitFor(ctx context.Context, count *atomic.Int64) {
	for count.Load() > 0 {
		if s.config.Clock.Sleep(ctx, drainPeriod) != nil {
			return
		}
	}
}
