package glade

import "context"

// Row is a row of the table service. The service gives each write of a row a
// new version. Version 0 means that the row is absent.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Check is a condition of a transaction: the row has exactly this version.
// Version 0 requires that the row is absent.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write sets the value of a row, or deletes the row if Delete is set.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction. Its writes take effect atomically, and only if every
// check holds.
type Txn struct {
	Checks []Check `json:"checks"`
	Writes []Write `json:"writes"`
}

// CommitResult is the result of a transaction.
type CommitResult int

const (
	// Committed means that every write took effect.
	Committed CommitResult = iota + 1
	// Conflicted means that a condition did not hold and nothing was written.
	Conflicted
	// Unavailable means that the service refused and nothing was written.
	Unavailable
	// Uncertain means that the answer was lost and the writes may or may not
	// have taken effect. The caller has to read the rows back.
	Uncertain
	// Rejected means that the service refuses the transaction as it is, for instance
	// because it is too large: it was never written, and a repetition is rejected too.
	Rejected
)

// String returns the lower-case name for logs and counters.
func (c CommitResult) String() string {
	switch c {
	case Committed:
		return "committed"
	case Conflicted:
		return "conflicted"
	case Unavailable:
		return "unavailable"
	case Uncertain:
		return "uncertain"
	case Rejected:
		return "rejected"
	}
	return "invalid"
}

// Table is the platform's transactional table service. Keys are paths such as
// "host/h07". Scans are ordered by key.
type Table interface {
	// Get returns the row at key. A row with version 0 is absent. An error
	// means that the service could not be read.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose key starts with prefix and is
	// greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit runs a transaction.
	Commit(ctx context.Context, txn Txn) CommitResult
}

// ObjectStore is the platform's object store.
type ObjectStore interface {
	// Get returns the object's bytes, and false when there is none.
	Get(ctx context.Context, key string) ([]byte, bool, error)
	// Create writes an object that does not exist yet. If the key is taken, it
	// returns Conflicted and leaves the object unchanged.
	Create(ctx context.Context, key string, value []byte) CommitResult
}
