package memory

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// PartitionedTable is an in-memory partitioned table service with fault injection.
type PartitionedTable struct {
	mu      sync.Mutex
	rows    map[partitionedKey]glade.PartitionRow
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

type partitionedKey struct{ table, part, key string }

// PartitionedFault is a fault that a partitioned table simulates.
type PartitionedFault int

// Faults of a partitioned table.
const (
	// PartitionedHealthy is no fault.
	PartitionedHealthy PartitionedFault = iota
	// PartitionedDown refuses every call.
	PartitionedDown
	// PartitionedLoseAnswers commits transactions but loses the answers.
	PartitionedLoseAnswers
	// PartitionedUnresponsive answers no call, and delays transactions until ApplyDelayed.
	PartitionedUnresponsive
	// PartitionedDelayWrites delays transactions until ApplyDelayed, and loses
	// their answers.
	PartitionedDelayWrites
)

// NewPartitionedTable returns an empty table.
func NewPartitionedTable() *PartitionedTable {
	return &PartitionedTable{rows: make(map[partitionedKey]glade.PartitionRow), changed: make(chan struct{})}
}

// SetFault sets the fault; the zero value clears it.
func (t *PartitionedTable) SetFault(fault PartitionedFault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = fault
}

// SetDelay adds a delay to every call that is answered.
func (t *PartitionedTable) SetDelay(delay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delay = delay
}

// IsDown reports whether every call is refused or unanswered.
func (t *PartitionedTable) IsDown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault == PartitionedDown || t.fault == PartitionedUnresponsive
}

// Put writes and deletes rows, whatever the fault, as a writer other than the
// system does.
func (t *PartitionedTable) Put(rows ...glade.PartitionRow) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var txn glade.PartitionTxn
	for _, row := range rows {
		if row.Deleted {
			txn.Deletes = append(txn.Deletes, row)
		} else {
			txn.Puts = append(txn.Puts, row)
		}
	}
	t.apply(txn)
}

// TrimHistory drops the history, so that feeds have to start anew.
func (t *PartitionedTable) TrimHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.trimmedVersion, t.log = t.version, nil
	close(t.changed)
	t.changed = make(chan struct{})
}

// sleepDelay waits for the delay set by SetDelay.
func (t *PartitionedTable) sleepDelay() {
	t.mu.Lock()
	delay := t.delay
	t.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		<-timer.C
	}
}

// Commits returns the number of transactions that took effect.
func (t *PartitionedTable) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// ApplyDelayed applies the delayed transactions whose conditions still hold, the
// newest first, and returns how many took effect.
func (t *PartitionedTable) ApplyDelayed() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	done := 0
	for _, txn := range slices.Backward(t.delayed) {
		if rows := t.conflicts(txn); len(rows) == 0 {
			t.apply(txn)
			done++
		}
	}
	t.delayed = nil
	return done
}

var errPartitionedDown = errors.New("partitioned table service is down")

// Commit runs a transaction.
func (t *PartitionedTable) Commit(ctx context.Context, txn glade.PartitionTxn) (int64, []glade.PartitionRow, glade.CommitResult) {
	t.sleepDelay()
	if t.isUnresponsive() {
		t.mu.Lock()
		t.delayed = append(t.delayed, txn)
		t.mu.Unlock()
		<-ctx.Done()
		return 0, nil, glade.Uncertain
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch t.fault {
	case PartitionedDown:
		return 0, nil, glade.Unavailable
	case PartitionedDelayWrites:
		t.delayed = append(t.delayed, txn)
		return 0, nil, glade.Uncertain
	}
	if !isSinglePartition(txn) || !txn.IsWithinLimits() {
		return 0, nil, glade.Rejected
	}
	if rows := t.conflicts(txn); len(rows) > 0 {
		return t.version, rows, glade.Conflicted
	}
	t.apply(txn)
	if t.fault == PartitionedLoseAnswers {
		return 0, nil, glade.Uncertain
	}
	return t.version, nil, glade.Committed
}

// Partitions returns the partitions of a table that have rows, in order.
func (t *PartitionedTable) Partitions(ctx context.Context, table string) ([]string, error) {
	t.sleepDelay()
	if t.isUnresponsive() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault == PartitionedDown {
		return nil, errPartitionedDown
	}
	parts := make(map[string]bool)
	for key := range t.rows {
		if key.table == table {
			parts[key.part] = true
		}
	}
	return slices.Sorted(maps.Keys(parts)), nil
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
func (t *PartitionedTable) conflicts(txn glade.PartitionTxn) []glade.PartitionRow {
	var rows []glade.PartitionRow
	conflict := false
	for _, check := range txn.Checks {
		row := t.rows[partitionedKey{check.Table, check.Part, check.Key}]
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

func (t *PartitionedTable) apply(txn glade.PartitionTxn) {
	t.version++
	t.commits++
	for _, row := range txn.Puts {
		row.Version = t.version
		t.rows[partitionedKey{row.Table, row.Part, row.Key}] = row
		t.log = append(t.log, row)
	}
	for _, row := range txn.Deletes {
		delete(t.rows, partitionedKey{row.Table, row.Part, row.Key})
		row.Version, row.Deleted = t.version, true
		t.log = append(t.log, row)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *PartitionedTable) isUnresponsive() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fault == PartitionedUnresponsive
}

// clientTimeout bounds reads that get no answer when their context doesn't, because
// the clients of the real platform have timeouts of their own.
const clientTimeout = 1500 * time.Millisecond

// awaitClientTimeout waits until a client would give up, and returns an error.
func (*PartitionedTable) awaitClientTimeout(ctx context.Context) error {
	timer := time.NewTimer(clientTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return errPartitionedDown
}

// List returns every row of a partition of a table, sorted by key.
func (t *PartitionedTable) List(ctx context.Context, table, part string) ([]glade.PartitionRow, int64, error) {
	t.sleepDelay()
	if t.isUnresponsive() {
		return nil, 0, t.awaitClientTimeout(ctx)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault == PartitionedDown {
		return nil, 0, errPartitionedDown
	}
	var rows []glade.PartitionRow
	for key, row := range t.rows {
		if key.table == table && key.part == part {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b glade.PartitionRow) int { return cmp.Compare(a.Key, b.Key) })
	return rows, t.version, nil
}

// ListPage returns the first rows of a partition whose keys are not below from.
func (t *PartitionedTable) ListPage(ctx context.Context, table, part, from string, limit int) (glade.RowPage, error) {
	rows, version, err := t.List(ctx, table, part)
	if err != nil {
		return glade.RowPage{}, err
	}
	first, _ := slices.BinarySearchFunc(rows, from, func(row glade.PartitionRow, key string) int { return cmp.Compare(row.Key, key) })
	page := glade.RowPage{Rows: rows[first:], Version: version}
	if len(page.Rows) > limit {
		page.Next = page.Rows[limit].Key
		page.Rows = page.Rows[:limit]
	}
	return page, nil
}

// Get returns one row. Version 0 means that the row is absent.
func (t *PartitionedTable) Get(ctx context.Context, table, part, key string) (glade.PartitionRow, error) {
	t.sleepDelay()
	if t.isUnresponsive() {
		return glade.PartitionRow{}, t.awaitClientTimeout(ctx)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault == PartitionedDown {
		return glade.PartitionRow{}, errPartitionedDown
	}
	return t.rows[partitionedKey{table, part, key}], nil
}

// Feed waits for changes of a table after a version.
func (t *PartitionedTable) Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]glade.PartitionRow, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if t.isUnresponsive() {
			return nil, 0, t.awaitClientTimeout(ctx)
		}
		t.mu.Lock()
		if t.fault == PartitionedDown {
			t.mu.Unlock()
			return nil, 0, errPartitionedDown
		}
		if after < t.trimmedVersion {
			t.mu.Unlock()
			return nil, 0, errors.Wrapf(glade.ErrHistoryTrimmed, "feed of %s after %d", table, after)
		}
		var rows []glade.PartitionRow
		for _, row := range t.log {
			if row.Table == table && row.Version > after {
				rows = append(rows, row)
			}
		}
		version, changed := t.version, t.changed
		t.mu.Unlock()
		if len(rows) > 0 {
			t.sleepDelay()
			return rows, version, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			if t.isUnresponsive() {
				return nil, 0, t.awaitClientTimeout(ctx)
			}
			return nil, version, nil
		case <-changed:
		}
	}
}
