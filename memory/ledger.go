package memory

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// PartitionedTable is an in-memory partitioned table service with fault injection.
type PartitionedTable struct {
	mu      sync.Mutex
	rows    map[ledgerKey]glade.PartitionRow
	log     []glade.PartitionRow
	version int64
	changed chan struct{}
	fault   PartitionedFault
	delay   time.Duration
	delayed []glade.PartitionTxn
	commits int
	// trimmedVersion is the newest version whose changes were dropped from log.
	trimmedVersion int64
}

type ledgerKey struct{ table, part, key string }

// PartitionedFault is a fault that a ledger simulates.
type PartitionedFault int

// Faults of a ledger.
const (
	// PartitionedHealthy is no fault.
	PartitionedHealthy PartitionedFault = iota
	// PartitionedDown refuses every call.
	PartitionedDown
	// PartitionedLoseAnswers commits transactions but loses the answers.
	PartitionedLoseAnswers
	// PartitionedUnresponsive answers no call, and delays transactions until Release.
	PartitionedUnresponsive
	// PartitionedDelayWrites delays transactions until Release, and loses their answers.
	PartitionedDelayWrites
)

// NewPartitionedTable returns an empty ledger.
func NewPartitionedTable() *PartitionedTable {
	return &PartitionedTable{rows: make(map[ledgerKey]glade.PartitionRow), changed: make(chan struct{})}
}

// SetFault sets the fault; the zero value clears it.
func (l *PartitionedTable) SetFault(fault PartitionedFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

// SetDelay adds a delay to every call that is answered.
func (l *PartitionedTable) SetDelay(delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// IsDown reports whether every call is refused or unanswered.
func (l *PartitionedTable) IsDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault == PartitionedDown || l.fault == PartitionedUnresponsive
}

// Put writes and deletes rows, whatever the fault, as a writer other than the
// system does.
func (l *PartitionedTable) Put(rows ...glade.PartitionRow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var txn glade.PartitionTxn
	for _, row := range rows {
		if row.Deleted {
			txn.Deletes = append(txn.Deletes, row)
		} else {
			txn.Puts = append(txn.Puts, row)
		}
	}
	l.apply(txn)
}

// TrimHistory drops the history, so that feeds have to start anew.
func (l *PartitionedTable) TrimHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trimmedVersion, l.log = l.version, nil
	close(l.changed)
	l.changed = make(chan struct{})
}

// sleepDelay waits for the delay set by SetDelay.
func (l *PartitionedTable) sleepDelay() {
	l.mu.Lock()
	delay := l.delay
	l.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		<-timer.C
	}
}

// Commits returns the number of transactions that took effect.
func (l *PartitionedTable) Commits() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.commits
}

// ApplyDelayed applies the delayed transactions whose conditions still hold, the
// newest first, and returns how many took effect.
func (l *PartitionedTable) ApplyDelayed() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := 0
	for _, txn := range slices.Backward(l.delayed) {
		if rows := l.conflicts(txn); len(rows) == 0 {
			l.apply(txn)
			done++
		}
	}
	l.delayed = nil
	return done
}

var errLedgerDown = errors.New("ledger is down")

// Commit runs a transaction.
func (l *PartitionedTable) Commit(ctx context.Context, txn glade.PartitionTxn) (int64, []glade.PartitionRow, glade.CommitResult) {
	l.sleepDelay()
	if l.isUnresponsive() {
		l.mu.Lock()
		l.delayed = append(l.delayed, txn)
		l.mu.Unlock()
		<-ctx.Done()
		return 0, nil, glade.Uncertain
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.fault {
	case PartitionedDown:
		return 0, nil, glade.Unavailable
	case PartitionedDelayWrites:
		l.delayed = append(l.delayed, txn)
		return 0, nil, glade.Uncertain
	}
	if !isSinglePartition(txn) {
		return 0, nil, glade.Unavailable
	}
	if rows := l.conflicts(txn); len(rows) > 0 {
		return l.version, rows, glade.Conflicted
	}
	l.apply(txn)
	if l.fault == PartitionedLoseAnswers {
		return 0, nil, glade.Uncertain
	}
	return l.version, nil, glade.Committed
}

// isSinglePartition reports whether a transaction lies within one partition.
func isSinglePartition(txn glade.PartitionTxn) bool {
	all := slices.Concat(txn.Checks, txn.Puts, txn.Deletes)
	for _, row := range all {
		if row.Part != all[0].Part {
			return false
		}
	}
	return true
}

// conflicts returns the checked rows as they stand if any check fails, and nil
// otherwise. Absent rows are left out, but the result of a conflict is never
// empty.
func (l *PartitionedTable) conflicts(txn glade.PartitionTxn) []glade.PartitionRow {
	var rows []glade.PartitionRow
	conflict := false
	for _, check := range txn.Checks {
		row := l.rows[ledgerKey{check.Table, check.Part, check.Key}]
		conflict = conflict || row.Version != check.Version
		if row.Version > 0 {
			rows = append(rows, row)
		}
	}
	if !conflict {
		return nil
	}
	return append(rows, glade.PartitionRow{Deleted: true})[:max(len(rows), 1)]
}

func (l *PartitionedTable) apply(txn glade.PartitionTxn) {
	l.version++
	l.commits++
	for _, row := range txn.Puts {
		row.Version = l.version
		l.rows[ledgerKey{row.Table, row.Part, row.Key}] = row
		l.log = append(l.log, row)
	}
	for _, row := range txn.Deletes {
		delete(l.rows, ledgerKey{row.Table, row.Part, row.Key})
		row.Version, row.Deleted = l.version, true
		l.log = append(l.log, row)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *PartitionedTable) isUnresponsive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault == PartitionedUnresponsive
}

// clientTimeout bounds reads without an answer, as the platform clients do.
const clientTimeout = 1500 * time.Millisecond

// awaitClientTimeout waits until a client would give up, and returns an error.
func (*PartitionedTable) awaitClientTimeout(ctx context.Context) error {
	timer := time.NewTimer(clientTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return errLedgerDown
}

// List returns every row of a partition of a table, sorted by key.
func (l *PartitionedTable) List(ctx context.Context, table, part string) ([]glade.PartitionRow, int64, error) {
	l.sleepDelay()
	if l.isUnresponsive() {
		return nil, 0, l.awaitClientTimeout(ctx)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == PartitionedDown {
		return nil, 0, errLedgerDown
	}
	var rows []glade.PartitionRow
	for key, row := range l.rows {
		if key.table == table && key.part == part {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b glade.PartitionRow) int { return cmp.Compare(a.Key, b.Key) })
	return rows, l.version, nil
}

// Get returns one row. Version 0 means that the row is absent.
func (l *PartitionedTable) Get(ctx context.Context, table, part, key string) (glade.PartitionRow, error) {
	l.sleepDelay()
	if l.isUnresponsive() {
		return glade.PartitionRow{}, l.awaitClientTimeout(ctx)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fault == PartitionedDown {
		return glade.PartitionRow{}, errLedgerDown
	}
	return l.rows[ledgerKey{table, part, key}], nil
}

// Feed waits for changes of a table after a version.
func (l *PartitionedTable) Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]glade.PartitionRow, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if l.isUnresponsive() {
			return nil, 0, l.awaitClientTimeout(ctx)
		}
		l.mu.Lock()
		if l.fault == PartitionedDown {
			l.mu.Unlock()
			return nil, 0, errLedgerDown
		}
		if after < l.trimmedVersion {
			l.mu.Unlock()
			return nil, 0, errors.Wrapf(glade.ErrHistoryTrimmed, "feed of %s after %d", table, after)
		}
		var rows []glade.PartitionRow
		for _, row := range l.log {
			if row.Table == table && row.Version > after {
				rows = append(rows, row)
			}
		}
		version, changed := l.version, l.changed
		l.mu.Unlock()
		if len(rows) > 0 {
			l.sleepDelay()
			return rows, version, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			if l.isUnresponsive() {
				return nil, 0, l.awaitClientTimeout(ctx)
			}
			return nil, version, nil
		case <-changed:
		}
	}
}
