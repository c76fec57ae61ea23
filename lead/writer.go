package lead

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/effect"
	"indigoglade/sched"
)

// Intervals of the writer.
const (
	// writeInterval is the pause between two writes, so that one write carries the ends
	// of several runs.
	writeInterval = 18 * time.Millisecond
	// cleanupPeriod is the time between two checks for rows that can be deleted.
	cleanupPeriod = 10 * time.Second
)

// writer writes the rows of a service, one transaction after another, and renews
// the term.
type writer struct {
	leader *ServiceLeader
	done   chan struct{} // closed when run has ended
}

// awaitRelease waits until the writer has released the term, which the end of its context
// would prevent, but no longer than releaseTimeout.
func (w *writer) awaitRelease() {
	timer := time.NewTimer(releaseTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

func (w *writer) run(ctx context.Context) {
	s := w.leader
	defer close(w.done)
	timer := time.NewTimer(heartbeatPeriod)
	defer timer.Stop()
	lastCleanup := s.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.quit.Done():
			s.release(ctx)
			return
		case <-s.writeWake:
		case <-timer.C:
		}
		if err := s.write(ctx); err != nil {
			s.loseLeadership(err.Error())
			return
		}
		if s.clock.Now().Sub(lastCleanup) > cleanupPeriod {
			lastCleanup = s.clock.Now()
			if s.sweep(lastCleanup) {
				s.end(ctx)
				return
			}
		}
		if s.clock.Sleep(ctx, writeInterval) != nil {
			return
		}
		timer.Reset(max(heartbeatPeriod-s.clock.Now().Sub(s.heartbeatAt), writeInterval))
	}
}

// sweep queues the rows of batches for deletion that are no longer needed. It reports whether the service
// has left the contract and has no batches any more.
func (s *ServiceLeader) sweep(now time.Time) (isOver bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.Sweep(now)
	return s.sched.IsEmpty() && s.paths.isStored() && slices.Contains(s.manager.config.Directory.Departed(), s.service)
}

// end releases the term of a service that needs no leader any more.
func (s *ServiceLeader) end(ctx context.Context) {
	s.term.Ended = true
	s.manager.config.Log.Info("service over", "service", s.service, "epoch", s.term.Epoch)
	s.stopLeading()
	s.release(ctx)
}

// write writes the changes that are queued and renews the term when that is due. A transaction
// without an answer is fenced off and repeated until one is committed: that a repetition was refused
// doesn't mean that nothing was written.
func (s *ServiceLeader) write(ctx context.Context) error {
	s.mu.Lock()
	var w sched.Write
	renew := s.sched.NeedsRenewal() || s.clock.Now().Sub(s.heartbeatAt) >= heartbeatPeriod-writeInterval
	s.term.IsSettled = s.sched.IsSettled(s.clock.Now())
	hasChanges := s.sched.HasWrites() || renew && s.sched.HasDeletions()
	if hasChanges {
		w = s.sched.BeginWrite()
	}
	s.mu.Unlock()
	pathsRow := s.paths.beginWrite()
	if !hasChanges && !renew && pathsRow == nil {
		return nil
	}
	puts, deletes := s.encodeWrite(w)
	if pathsRow != nil {
		puts = append(puts, pathsRow.row)
	}
	if len(puts)+len(deletes) == 0 && !renew { // all rows were too large for the store
		s.finishWrite(w, hasChanges, false)
		return nil
	}
	var txn effect.Effect
	for {
		result, err := s.commit(ctx, puts, deletes, renew)
		if err != nil {
			return err
		}
		txn.Record(resultOf(result), s.clock.Now())
		if result == glade.Committed {
			s.paths.finishWrite(pathsRow, true)
			s.finishWrite(w, hasChanges, true)
			return nil
		}
		if result == glade.Rejected && len(puts)+len(deletes) > 0 {
			if txn.State() == effect.Unknown {
				return errUndecidedWrite
			}
			return s.reject(ctx, w, pathsRow, hasChanges, renew)
		}
		s.markStoreFailing()
		if result == glade.Uncertain {
			// Now it can't take effect later, but it may have done so before.
			if err := s.fencePendingWrite(ctx); err != nil {
				return err
			}
		}
		if txn.State() == effect.None {
			s.paths.finishWrite(pathsRow, false)
			s.finishWrite(w, hasChanges, false)
			wake(s.writeWake)
		}
		if result != glade.Uncertain {
			if err := s.clock.Sleep(ctx, storeRetryPause); err != nil {
				return err
			}
		}
		if txn.State() == effect.None {
			return nil
		}
		renew = false
	}
}

// errUndecidedWrite ends a leadership: the next leader reads what is stored.
var errUndecidedWrite = errors.New("the store rejects rows of which an earlier write had no answer")

// reject handles a write that the store rejects as it is: its rows are written otherwise, and the term
// is renewed without them.
func (s *ServiceLeader) reject(ctx context.Context, w sched.Write, pathsRow *pathsWrite, hasChanges, renew bool) error {
	s.mu.Lock()
	if hasChanges {
		s.sched.RejectWrite(w, s.clock.Now())
	}
	s.wakeWaitingLocked()
	s.mu.Unlock()
	s.paths.reject(pathsRow)
	wake(s.writeWake)
	if !renew {
		return nil
	}
	renewed, err := s.renewAlone(ctx)
	if renewed {
		s.finishWrite(w, false, true)
	}
	return err
}

// resultOf returns the result of a transaction.
func resultOf(result glade.CommitResult) effect.Result {
	switch result {
	case glade.Committed:
		return effect.Applied
	case glade.Unavailable, glade.Rejected:
		return effect.Rejected
	}
	return effect.Lost
}

// markStoreFailing records the start of an outage of the store, if none is recorded.
func (s *ServiceLeader) markStoreFailing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failingSince.IsZero() {
		s.failingSince = s.clock.Now()
		s.manager.config.Log.Info("store does not take writes", "service", s.service, "epoch", s.term.Epoch)
	}
}

// finishWrite passes the outcome of a write to the scheduler, and wakes those who
// wait for it.
func (s *ServiceLeader) finishWrite(w sched.Write, hasChanges, ok bool) {
	s.mu.Lock()
	if hasChanges {
		s.sched.FinishWrite(w, ok, s.clock.Now())
	}
	if ok {
		s.sched.LeaderConfirmed(s.confirmedAt)
		s.sched.LeaderRenewed(s.heartbeatAt)
		if !s.failingSince.IsZero() {
			s.manager.config.Log.Info("store takes writes again", "service", s.service, "lost", s.clock.Now().Sub(s.failingSince).Milliseconds())
			s.failingSince = time.Time{}
		}
	}
	s.wakeWaitingLocked()
	more := s.sched.HasWrites()
	s.mu.Unlock()
	s.wakeStep()
	if more {
		wake(s.writeWake)
	}
}

// wakeWaiting wakes those who wait for the outcome of a write.
func (s *ServiceLeader) wakeWaiting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeWaitingLocked()
}

// wakeWaitingLocked is wakeWaiting for callers that hold the lock.
func (s *ServiceLeader) wakeWaitingLocked() {
	close(s.writeAttempted)
	s.writeAttempted = make(chan struct{})
}

func (s *ServiceLeader) encodeWrite(w sched.Write) (puts, deletes []glade.PartitionRow) {
	part := string(s.service)
	for _, r := range w.Rows {
		row := glade.PartitionRow{Part: part, Key: string(r.Batch), Value: r.Value}
		switch r.Kind {
		case sched.KindWork:
			row.Table = tableBatch
		case sched.KindProgress:
			row.Table = tableProgress
		case sched.KindRegistry:
			row.Table, row.Key = tableRunners, runnersKey(r.Part)
		}
		puts = append(puts, row)
	}
	for _, id := range w.Deletions.Work {
		deletes = append(deletes, glade.PartitionRow{Table: tableBatch, Part: part, Key: string(id)})
	}
	for _, id := range w.Deletions.Progress {
		deletes = append(deletes, glade.PartitionRow{Table: tableProgress, Part: part, Key: string(id)})
	}
	return puts, deletes
}

// maxFinalWrites bounds the transactions that are written before the term is
// released.
const maxFinalWrites = 5

// release writes the changes that are queued and releases the term, so that another
// host can lead without waiting for heartbeatTimeout.
func (s *ServiceLeader) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for range maxFinalWrites {
		s.mu.Lock()
		more := s.sched != nil && s.sched.HasWrites()
		s.mu.Unlock()
		if !more {
			break
		}
		if err := s.write(ctx); err != nil {
			s.loseLeadership(err.Error())
			return
		}
	}
	s.endLeases()
	s.leadership.release(ctx)
}

// endLeases grants no lease any more and notes in the term how long the present ones may last. Without a scheduler it
// is not known how long those of earlier leaders do.
func (s *ServiceLeader) endLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sched != nil {
		s.term.LeasesMs = s.sched.EndLeases(s.clock.Now()).Milliseconds() + 1
	}
}
