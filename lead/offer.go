package lead

import (
	"context"
	"sync"
	"time"

	glade "indigoglade"
	"indigoglade/sched"
)

// OfferArgs asks the leader of a service for its decision on a batch before the batch is
// sent. A batch is several times as large as its summary, and an overloaded leader refuses
// most of them.
type OfferArgs struct {
	Service glade.Service `json:"service"`
	ID      glade.BatchID `json:"id"`
	Queue   glade.Queue   `json:"queue"`
	Path    string        `json:"path,omitempty"`
	Batch   sched.Summary `json:"batch"`
	// TimeoutMs is the time that the caller waits, in milliseconds.
	TimeoutMs int64 `json:"within"`
}

func (m *Manager) offerLocal(ctx context.Context, in OfferArgs) SubmitReply {
	return m.decideLocal(ctx, in.Service, in.TimeoutMs, func(ctx context.Context, leader *ServiceLeader) SubmitReply {
		return leader.offer(ctx, in)
	})
}

func (s *ServiceLeader) offer(ctx context.Context, in OfferArgs) SubmitReply {
	var admission sched.Admission
	decided := false
	s.activity.recordOffer()
	former, _, hasPath := s.paths.formers(in.Path)
	if !s.withSched(func(scheduler *sched.Scheduler) {
		if (len(former) > 0 || !hasPath) && !scheduler.IsKnown(in.ID) {
			return // another service may know the batch, which decides with the whole of it
		}
		admission, decided = scheduler.Offer(in.ID, in.Queue, in.Batch, s.clock.Now())
	}) {
		return SubmitReply{Code: SubmitNotLeader, Reason: "loading"}
	}
	if !decided {
		return SubmitReply{Code: SubmitNeeded}
	}
	return s.replyTo(ctx, in.ID, admission)
}

// isOverload reports whether a leader has refused a batch for lack of capacity.
func isOverload(reason string) bool { return reason == "load" || reason == "link" }

// isLimit reports whether a leader has refused a batch because of its tenant's limit.
func isLimit(reason string) bool { return reason == "limit" || reason == "limitsize" }

// IsShortage reports whether a batch was refused because its pool or its tenant's limit has
// no room for it.
func IsShortage(reason string) bool { return reason == "load" || isLimit(reason) }

// offerTime is how long batches of a queue are offered first after one was refused for
// lack of capacity. An offer that is not decided costs a round trip.
const offerTime = 5 * time.Second

// overloads remembers which queues had a batch refused for lack of capacity, or for a
// tenant's limit.
type overloads struct {
	mu        sync.Mutex
	refusedAt map[queueKey]time.Time
}

type queueKey struct {
	service glade.Service
	queue   glade.Queue
	// tenant is set if the tenant's limit was the reason: batches of others are not refused
	// for it.
	tenant glade.Tenant
}

func (o *overloads) record(service glade.Service, queue glade.Queue, now time.Time) {
	o.recordLimit(service, queue, "", now)
}

// recordLimit records that the limit of a tenant was the reason.
func (o *overloads) recordLimit(service glade.Service, queue glade.Queue, tenant glade.Tenant, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.refusedAt == nil {
		o.refusedAt = make(map[queueKey]time.Time)
	}
	o.refusedAt[queueKey{service, queue, tenant}] = now
}

// isRecent reports whether a batch of a queue was refused less than offerTime ago.
func (o *overloads) isRecent(service glade.Service, queue glade.Queue, now time.Time) bool {
	return o.isLimitRecent(service, queue, "", now)
}

// isLimitRecent reports whether a batch was refused less than offerTime ago for the limit of
// the tenant.
func (o *overloads) isLimitRecent(service glade.Service, queue glade.Queue, tenant glade.Tenant, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, ok := o.refusedAt[queueKey{service, queue, tenant}]
	return ok && now.Sub(at) < offerTime
}
