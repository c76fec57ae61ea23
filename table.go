package glade

import "context"

// Row is one row of the table service: a key, a value, and the version that
// the service gives each write of it. Version 0 means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Check is a condition of a transaction: the row has exactly this version.
// Version 0 asks that the row is absent.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a row, or deletes it when Delete is set.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a set of conditions and writes that take effect together or not at
// all.
type Txn struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// Commit is the result of a transaction.
type Commit int

const (
	// Committed means that every write took effect.
	Committed Commit = iota + 1
	// Conflicted means that a condition did not hold and nothing was written.
	Conflicted
	// Unavailable means that the service refused and nothing was written.
	Unavailable
	// Uncertain means that the answer was lost: the writes took effect or not.
	// The caller reads the rows back to find out.
	Uncertain
)

// String returns a lower-case name for logs and counters.
func (c Commit) String() string {
	switch c {
	case Committed:
		return "committed"
	case Conflicted:
		return "conflicted"
	case Unavailable:
		return "unavailable"
	case Uncertain:
		return "uncertain"
	}
	return "invalid"
}

// Table is the platform's transactional table service. Keys are paths such as
// "host/h07". Scans are ordered by key.
type Table interface {
	// Get returns the row at key. A row with version 0 is absent. The error
	// tells that the service could not be read.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose key starts with prefix and is
	// greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs a transaction.
	Commit(ctx context.Context, txn Txn) Commit
}

// Objects is the platform's object store.
type Objects interface {
	// Get returns the object's bytes, and false when there is none.
	Get(ctx context.Context, key string) ([]byte, bool, error)
	// Create writes an object that does not exist yet. It returns Conflicted
	// when the key is taken, and leaves the object as it is.
	Create(ctx context.Context, key string, value []byte) Commit
}
