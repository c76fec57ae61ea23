// Package memory holds in-memory twins of the platform's interfaces, for tests
// and for the stand-ins.
package memory

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Mode is a fault of the table that can be switched on.
type Mode int

const (
	// Up serves everything.
	Up Mode = iota
	// Down refuses everything.
	Down
	// Lossy applies writes and loses the answer.
	Lossy
	// Lost loses writes before they are applied, without an answer.
	Lost
	// Late applies writes some calls after their answer was given up.
	Late
)

// lateCalls is the number of calls after which a late write is applied.
const lateCalls = 2

// ErrDown is the error of a read while the table is down.
var ErrDown = errors.New("table service is down")

// Table is an in-memory table service.
type Table struct {
	mu     sync.Mutex
	rows   map[string]glade.Row
	mode   Mode
	reads  int
	writes int
	late   []lateTxn
	watch  func(write glade.Write)
}

// lateTxn is a transaction on its way to the table.
type lateTxn struct {
	txn   glade.Txn
	calls int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[string]glade.Row)}
}

// SetMode switches a fault on or off.
func (t *Table) SetMode(mode Mode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = mode
}

// Watch calls fn for every write that takes effect. fn must not call the table.
func (t *Table) Watch(fn func(write glade.Write)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watch = fn
}

// arrive applies the late transactions whose time has come, one call closer.
func (t *Table) arrive() {
	var waiting []lateTxn
	for _, l := range t.late {
		l.calls--
		if l.calls > 0 {
			waiting = append(waiting, l)
			continue
		}
		if t.holds(l.txn) {
			t.applyAll(l.txn)
		}
	}
	t.late = waiting
}

func (t *Table) holds(txn glade.Txn) bool {
	for _, check := range txn.Checks {
		if t.rows[check.Key].Version != check.Version {
			return false
		}
	}
	return true
}

func (t *Table) applyAll(txn glade.Txn) {
	for _, write := range txn.Writes {
		if t.watch != nil {
			t.watch(write)
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

// Get returns the row at key.
func (t *Table) Get(_ context.Context, key string) (glade.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode == Down {
		return glade.Row{}, ErrDown
	}
	t.arrive()
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
	t.arrive()
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
func (t *Table) Commit(_ context.Context, txn glade.Txn) glade.Commit {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.mode == Down {
		return glade.Unavailable
	}
	t.arrive()
	switch t.mode {
	case Lost:
		return glade.Uncertain
	case Late:
		t.late = append(t.late, lateTxn{txn: txn, calls: lateCalls})
		return glade.Uncertain
	}
	if !t.holds(txn) {
		return glade.Conflicted
	}
	t.applyAll(txn)
	if t.mode == Lossy {
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
