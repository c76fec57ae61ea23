package lead

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// errNotLeader means that another host has taken over the term.
var errNotLeader = errors.New("another host leads the service now")

// leadership is this host's ownership of a service's term row. Every write of a
// leader is conditional on the row's version, so a leader that was paused and
// replaced can't write any more.
type leadership struct {
	manager *Manager
	service glade.Service
	term    Term
	version int64
	// confirmedAt is when the last successful write was sent. Each one confirms that
	// this host still led.
	confirmedAt time.Time
	// heartbeatAt is when the last successful write of the term row itself was sent:
	// other hosts see only that as a heartbeat.
	heartbeatAt time.Time
	// predecessorSeen is when this host had seen the last renewal of the earlier
	// leader's term.
	predecessorSeen time.Time
	// inheritedLeases is how long leases of earlier leaders may last from inheritedSince on; 0 if that is not known.
	// inheritedSince is zero if they count from the takeover.
	inheritedLeases time.Duration
	inheritedSince  time.Time
	clock           glade.Clock
	stepWake        chan struct{}
	health          storeHealth
	// lost logs the loss of the leadership once: the writer and the monitor may both notice it.
	lost sync.Once
}

// logLost logs why the leadership was lost.
func (l *leadership) logLost(reason string) {
	l.lost.Do(func() {
		l.manager.config.Log.Info("leadership lost", "service", l.service, "epoch", l.term.Epoch, "why", reason)
	})
}

// Timeout and retry pause of calls to the store.
const (
	storeTimeout    = 2 * time.Second // a call to a store 100 times slower than usual takes half of it
	storeRetryPause = 120 * time.Millisecond
)

// termRow returns the term row with the version that a check expects.
func (l *leadership) termRow() glade.PartitionRow {
	return glade.PartitionRow{
		Table: tableTerm, Part: string(l.service), Key: singletonKey, Value: encodeRow(l.term), Version: l.version,
	}
}

// commit writes rows on the condition that the term row is unchanged, and rewrites
// the term row as a heartbeat if renew is set. The result is Committed, Unavailable
// (nothing was written), Rejected (nor will it be) or Uncertain; if another host leads,
// the error is errNotLeader.
func (l *leadership) commit(ctx context.Context, puts, deletes []glade.PartitionRow, renew bool) (glade.CommitResult, error) {
	txn := glade.PartitionTxn{Checks: []glade.PartitionRow{l.termRow()}, Puts: puts, Deletes: deletes}
	sent := l.clock.Now()
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	// Only a higher count of heartbeats keeps a host from claiming that was asked to.
	renew = l.health.begin(sent, cancel) || renew
	if renew {
		l.term.Heartbeats++
		l.health.setHeartbeats(l.term.Heartbeats)
		txn.Puts = append(slices.Clip(txn.Puts), l.termRow())
	}
	version, rows, result := l.manager.config.PartitionedTable.Commit(bounded, txn)
	// A service that rejects a transaction works.
	l.health.end(result == glade.Committed || result == glade.Rejected, renew && result == glade.Committed)
	switch result {
	case glade.Committed:
		if renew {
			l.version = version
			l.heartbeatAt = sent
			l.manager.config.Directory.RecordTerm(l.service, l.term, version)
		}
		l.confirmedAt = sent
	case glade.Conflicted:
		l.manager.config.Directory.applyTerms(rows)
		return result, errNotLeader
	}
	return result, nil
}

// renewAlone renews the term without other rows, after the store has rejected some.
func (l *leadership) renewAlone(ctx context.Context) (renewed bool, err error) {
	result, err := l.commit(ctx, nil, nil, true)
	if err == nil && result == glade.Uncertain {
		err = l.fencePendingWrite(ctx)
	}
	return err == nil && result == glade.Committed, err
}

// releaseTimeout bounds the release of a service. A host that is asked to stop must still
// serve callers within its grace period, also while the store does not answer.
const releaseTimeout = 1500 * time.Millisecond

// release gives up the term, so that another host can lead without waiting for
// heartbeatTimeout.
func (l *leadership) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	l.term.Node, l.term.Address = "", ""
	result, err := l.commit(ctx, nil, nil, true)
	l.manager.config.Log.Info("leadership released", "service", l.service, "epoch", l.term.Epoch, "result", result.String(), "lost", err != nil)
}

// fencePendingWrite makes sure that an earlier write whose answer was lost can't
// take effect any more: it gives the term row a new version, so that the condition
// of that write fails. From the second attempt on it probes the store first: a renewal
// that takes effect without an answer would show other hosts a leader that works.
func (l *leadership) fencePendingWrite(ctx context.Context) error {
	l.health.suspect(l.clock.Now())
	for probe := false; ctx.Err() == nil; probe = true {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		found, err := l.manager.config.PartitionedTable.Get(bounded, tableTerm, string(l.service), singletonKey)
		cancel()
		if err == nil {
			var current Term
			if err := json.Unmarshal(found.Value, &current); err != nil {
				return errors.Wrap(err, "decode this host's term row")
			}
			if current.Node != l.term.Node || current.Epoch != l.term.Epoch {
				return errNotLeader
			}
			l.version = found.Version
			if !probe || l.manager.takesWrites(ctx, l.service) {
				result, err := l.commit(ctx, nil, nil, true)
				if err != nil || result == glade.Committed {
					return err
				}
			}
		}
		if l.clock.Sleep(ctx, storeRetryPause) != nil {
			break
		}
	}
	return ctx.Err()
}
