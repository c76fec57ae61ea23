package serve

import (
	"context"
	"sync/atomic"
	"time"
)

// unreadyNoticeTime is how long the load balancer may take to notice that the
// entry host is not ready.
const unreadyNoticeTime = 500 * time.Millisecond

// drainPollInterval is the time between two checks whether the work in flight has
// ended.
const drainPollInterval = 10 * time.Millisecond

// Stop makes the entry host report not ready and refuses new relayed requests.
// It waits until the load balancer has noticed and all relayed requests are
// answered. The callers' own requests are left to the HTTP server, which is
// shut down afterwards.
func (s *Server) Stop(ctx context.Context) {
	s.stopping.Store(true)
	_ = s.config.Clock.Sleep(ctx, unreadyNoticeTime)
	s.waitForZero(ctx, &s.relays)
}

// Drain waits until no endpoint works on an attempt of this entry host. If the
// process ended earlier, the endpoints would still be busy, unknown to its
// successor, and both together could exceed the slots of an endpoint.
func (s *Server) Drain(ctx context.Context) { s.waitForZero(ctx, &s.attempts) }

func (s *Server) waitForZero(ctx context.Context, count *atomic.Int64) {
	for count.Load() > 0 {
		if s.config.Clock.Sleep(ctx, drainPollInterval) != nil {
			return
		}
	}
}
