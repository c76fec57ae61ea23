// Package memory has in-memory implementations of the platform's interfaces
// with fault injection, for tests and for the simulated platform.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Mode is a fault that a table simulates.
type Mode int

const (
	// Up is no fault.
	Up Mode = iota
	// Down refuses every call.
	Down
	// LoseAnswers applies writes but loses the answers.
	LoseAnswers
	// LoseWrites drops writes, and loses the answers.
	LoseWrites
	// DelayWrites loses the answers, and applies writes some calls later.
	DelayWrites
)

// delayCalls is the number of calls after which a delayed write is applied.
const delayCalls = 2

// ErrDown is returned by reads while the table is down.
var ErrDown = errors.New("table service is down")

// Table is an in-memory table service.
type Table struct {
	mu      sync.Mutex
	rows    map[string]glade.Row
	mode    Mode
	reads   int
	writes  int
	delayed []delayedTxn
	onWrite func(write glade.Write)
}

// delayedTxn is a transaction that is applied after a number of calls.
type delayedTxn struct {
	txn   glade.Txn
	calls int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]glade.Row)}
}

// SetMode sets the fault; Up clears it.
func (t *Table) SetMode(mode Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = mode
}

// OnWrite calls fn for every write that takes effect. fn must not call the table.
func (t *Table) OnWrite(fn func(write glade.Write)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onWrite = fn
}

// applyDelayed counts a call, and applies the delayed transactions that are due
// if their checks hold.
func (t *Table) applyDelayed() {
	var waiting []delayedTxn
	for _, d := range t.delayed {
		d.calls--
		if d.calls > 0 {
			waiting = append(waiting, d)
			continue
		}
		if t.checksPass(d.txn) {
			t.applyAll(d.txn)
		}
	}
	t.delayed = waiting
}

func (t *Table) checksPass(txn glade.Txn) bool {
	for _, check := range txn.Checks {
		if t.rows[check.Key].Version != check.Version {
			return false
		}
	}
	return true
}

func (t *Table) applyAll(txn glade.Txn) {
	for _, write := range txn.Writes {
		if t.onWrite != nil {
			t.onWrite(write)
		}
		t.apply(write)
	}
	t.writes += len(txn.Writes)
}

// Counts returns how many rows were read and written.
func (t *Table) Counts() (reads, writes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Get returns the row at key. Version 0 means that the row is absent.
func (t *Table) Get(_ context.Context, key string) (glade.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode == Down {
		return glade.Row{}, ErrDown
	}
	t.applyDelayed()
	t.reads++
	row := t.rows[key]
	row.Key = key
	return row, nil
}

// Scan returns rows in the order of their keys.
func (t *Table) Scan(_ context.Context, prefix, after string, limit int) ([]glade.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode == Down {
		return nil, ErrDown
	}
	t.applyDelayed()
	var keys []string
	for key := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	if len(keys) > limit {
		keys = keys[:limit]
	}
	rows := make([]glade.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.rows[key])
	}
	t.reads += len(rows) + 1
	return rows, nil
}

// Commit runs a transaction.
func (t *Table) Commit(_ context.Context, txn glade.Txn) glade.CommitResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode == Down {
		return glade.Unavailable
	}
	t.applyDelayed()
	switch t.mode {
	case LoseWrites:
		return glade.Uncertain
	case DelayWrites:
		t.delayed = append(t.delayed, delayedTxn{txn: txn, calls: delayCalls})
		return glade.Uncertain
	}
	if !t.checksPass(txn) {
		return glade.Conflicted
	}
	t.applyAll(txn)
	if t.mode == LoseAnswers {
		return glade.Uncertain
	}
	return glade.Committed
}

func (t *Table) apply(write glade.Write) {
	if write.Delete {
		delete(t.rows, write.Key)
		return
	}
	version := t.rows[write.Key].Version + 1
	t.rows[write.Key] = glade.Row{Key: write.Key, Version: version, Value: write.Value}
}
