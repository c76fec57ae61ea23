package lead

import (
	"context"
	"time"

	glade "indigoglade"
	"indigoglade/sched"
)

// failFastAfter is how long writes must have failed before submissions are refused
// at once.
const failFastAfter = 250 * time.Millisecond

// maxAwaitHandover is how long writes must have failed before submissions are refused although
// other hosts may still be found to lead, which then decide on them.
const maxAwaitHandover = 1500 * time.Millisecond

// storeRetryAfter is the time after which a caller may retry while the store does
// not take writes.
const storeRetryAfter = 2 * time.Second

// reasonContract is why a host takes no batch whose path its version of the contract doesn't send
// to the service.
const reasonContract = "contract"

// refusedByStore refuses a batch that certainly was not written.
func (s *ServiceLeader) refusedByStore() SubmitReply {
	return SubmitReply{Code: SubmitRefused, Reason: "store", After: storeRetryAfter.Milliseconds(), Epoch: s.term.Epoch}
}

// hasEnded reports whether this leader has lost the service or has ended.
func (s *ServiceLeader) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

func (s *ServiceLeader) submit(ctx context.Context, in SubmitArgs) SubmitReply {
	if in.Epoch != 0 && in.Epoch < s.term.Epoch {
		return s.manager.notLeader(s.service, "epoch")
	}
	former, version, cleared := s.paths.isCleared(in.Path, in.Cleared, in.Version)
	uncleared := false
	var admission sched.Admission
	s.activity.recordSubmission()
	now := s.clock.Now()
	storeFailing, handedOver := false, false
	if !s.withSched(func(scheduler *sched.Scheduler) {
		handedOver = !scheduler.IsKnown(in.ID) && s.health.isHandingOver()
		uncleared = !scheduler.IsKnown(in.ID) && !cleared
		if handedOver || uncleared {
			return
		}
		storeFailing = !scheduler.IsKnown(in.ID) && s.isStoreFailing(now)
		if storeFailing {
			scheduler.RecordRefused(in.ID, in.Queue, in.Batch, now)
			return
		}
		admission = scheduler.Submit(in.ID, in.Queue, in.Batch, now)
	}) {
		return SubmitReply{Code: SubmitNotLeader, Reason: "loading"}
	}
	switch {
	case handedOver:
		return s.manager.notLeader(s.service, "handover")
	case uncleared && len(former) == 0:
		return s.manager.notLeader(s.service, reasonContract)
	case uncleared:
		return SubmitReply{Code: SubmitFormer, Former: &FormerServices{Services: former, Version: version}, Epoch: s.term.Epoch}
	case storeFailing:
		return s.refusedByStore()
	}
	return s.replyTo(ctx, in.ID, admission)
}

// replyTo returns the reply for an admission, for an accepted batch once it is written.
func (s *ServiceLeader) replyTo(ctx context.Context, id glade.BatchID, admission sched.Admission) SubmitReply {
	if !admission.Accepted {
		if s.mayBeReplaced() {
			return s.manager.notLeader(s.service, "unconfirmed")
		}
		return SubmitReply{Code: SubmitRefused, Reason: admission.Reason, After: admission.After.Milliseconds(), Epoch: s.term.Epoch}
	}
	return s.awaitAccepted(ctx, id, admission.Gen)
}

// mayBeReplaced reports whether another host may lead the service and know batches that this
// one doesn't know: this leader has lost the store, was paused or is handing over.
func (s *ServiceLeader) mayBeReplaced() bool {
	if s.health.isHandingOver() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.sched.LeaderRenewedWithin(heartbeatTimeout, s.clock.Now())
}

// awaitAccepted waits until a batch is written. While the store takes no writes,
// a batch that certainly was not written is withdrawn and refused at once.
func (s *ServiceLeader) awaitAccepted(ctx context.Context, id glade.BatchID, gen int64) SubmitReply {
	for {
		s.mu.Lock()
		written := s.sched.IsWritten(id, gen)
		attempted := s.writeAttempted
		withdrawn, unstorable := false, s.sched.IsUnstorable(id)
		if !written && s.isStoreFailing(s.clock.Now()) {
			withdrawn = s.sched.Withdraw(id)
		}
		s.mu.Unlock()
		switch {
		case written:
			return SubmitReply{Code: SubmitAccepted, Epoch: s.term.Epoch}
		case unstorable:
			return SubmitReply{Code: SubmitRefused, Reason: ReasonRow, Epoch: s.term.Epoch}
		case withdrawn:
			return s.refusedByStore()
		}
		select {
		case <-attempted:
		case <-s.ended:
			return s.endLeading(id, gen)
		case <-ctx.Done():
			return s.endAccepting(id)
		}
	}
}

// endLeading decides the reply when this host loses the service before the batch is known to
// be written. The next leader finds the batch if a write took effect.
func (s *ServiceLeader) endLeading(id glade.BatchID, gen int64) SubmitReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.sched.IsWritten(id, gen):
		return SubmitReply{Code: SubmitAccepted, Epoch: s.term.Epoch}
	case s.sched.Withdraw(id):
		return s.manager.notLeader(s.service, "ended")
	}
	return SubmitReply{Code: SubmitMoved, Reason: "ended", Epoch: s.term.Epoch, Known: s.manager.knownTerm(s.service)}
}

// endAccepting decides the reply when the caller's deadline passes before the batch
// is written.
func (s *ServiceLeader) endAccepting(id glade.BatchID) SubmitReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sched.Withdraw(id) {
		return s.refusedByStore()
	}
	return SubmitReply{Code: SubmitUnknown, Reason: "store", Epoch: s.term.Epoch}
}

// isStoreFailing reports whether writes have failed for longer than failFastAfter, and no other
// host is about to lead.
func (s *ServiceLeader) isStoreFailing(now time.Time) bool {
	if s.failingSince.IsZero() {
		return false
	}
	failing := now.Sub(s.failingSince)
	return failing > maxAwaitHandover || failing > failFastAfter && s.health.isAlone()
}

// awaitWritten waits until a change of a batch is written. It returns false when
// ctx ends before that.
func (s *ServiceLeader) awaitWritten(ctx context.Context, id glade.BatchID, gen int64) bool {
	for {
		s.mu.Lock()
		written := s.sched.IsWritten(id, gen)
		attempted := s.writeAttempted
		s.mu.Unlock()
		if written {
			return true
		}
		select {
		case <-attempted:
		case <-s.ended:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
