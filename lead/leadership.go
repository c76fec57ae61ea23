package lead

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// errNotLeader means that another host has taken over the term.
var errDeposed = errors.New("another host leads the service now")

// leadership is this host's ownership of a service's term row. Every write of a
// leader is conditional on the row's version, so a leader that was paused and
// replaced can't write any more.
type tenure struct {
	keep    *Keep
	service glade.Service
	term    Term
	version int64
	// confirmedAt is when the last successful write was sent. Each one confirms that
	// this host still led.
	renewed time.Time
	// heartbeatAt is when the last successful write of the term row itself was sent:
	// other hosts see only that as a heartbeat.
	beaten time.Time
	clock  glade.Clock
	kick   chan struct{}
}

// Timeout and retry pause of calls to the store.
const (
	storeTimeout = 2 * time.Second // a call to a store 100 times slower than usual takes half of it
	storePause   = 120 * time.Millisecond
)

// termRow returns the term row with the version that a check expects.
func (t *tenure) row() glade.PartRow {
	return glade.PartRow{
		Table: tableTerm, Part: string(t.service), Key: keyOnly, Value: encode(t.term), Version: t.version,
	}
}

// commit writes rows on the condition that the term row is unchanged, and rewrites
// the term row as a heartbeat if renew is set. The result is Committed, Unavailable
// (nothing was written) or Uncertain; if another host leads, the error is
// errNotLeader.
func (t *tenure) commit(ctx context.Context, puts, deletes []glade.PartRow, renew bool) (glade.Commit, error) {
	txn := glade.PartTxn{Checks: []glade.PartRow{t.row()}, Puts: puts, Deletes: deletes}
	if renew {
		t.term.Beat++
		txn.Puts = append(txn.Puts, t.row())
	}
	sent := t.clock.Now()
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, rows, result := t.keep.config.Ledger.Commit(bounded, txn)
	switch result {
	case glade.Committed:
		if renew {
			t.version = version
			t.beaten = sent
			t.keep.config.Board.Note(t.service, t.term, version)
		}
		t.renewed = sent
	case glade.Conflicted:
		t.keep.config.Board.take(rows)
		return result, errDeposed
	}
	return result, nil
}

// fencePendingWrite makes sure that an earlier write whose answer was lost can't
// take effect any more: it gives the term row a new version, so that the condition
// of that write fails.
func (t *tenure) settle(ctx context.Context) error {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		found, err := t.keep.config.Ledger.Get(bounded, tableTerm, string(t.service), keyOnly)
		cancel()
		if err == nil {
			var standing Term
			if err := json.Unmarshal(found.Value, &standing); err != nil {
				return errors.Wrap(err, "decode this host's term row")
			}
			if standing.Node != t.term.Node || standing.Epoch != t.term.Epoch {
				return errDeposed
			}
			t.version = found.Version
			result, err := t.commit(ctx, nil, nil, true)
			if err != nil || result == glade.Committed {
				return err
			}
		}
		if t.clock.Sleep(ctx, storePause) != nil {
			break
		}
	}
	return ctx.Err()
}
