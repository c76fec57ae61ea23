package table

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	glade "indigoglade"
)

// Batch collects the conditions and writes of one transaction under one
// operation id.
type Batch struct {
	op  string
	txn glade.Txn
	err error
}

// NewBatch returns an empty batch with a new operation id.
func NewBatch() *Batch {
	return &Batch{op: uuid.NewString()}
}

// Op returns the operation id.
func (b *Batch) Op() string { return b.op }

// Rows returns the number of rows that the batch writes.
func (b *Batch) Rows() int { return len(b.txn.Writes) }

// Require adds the condition that the record's row is unchanged.
func Require[T any](b *Batch, record Record[T]) {
	b.txn.Checks = append(b.txn.Checks, glade.Check{Key: record.key, Version: record.version})
}

// Replace writes data to the record's row if the row is unchanged.
func Replace[T any](b *Batch, record Record[T], data T) {
	value, err := json.Marshal(record.entry.Next(b.op, data))
	if err != nil {
		b.err = errors.Wrapf(err, "encode row %s", record.key)
		return
	}
	Require(b, record)
	b.txn.Writes = append(b.txn.Writes, glade.Write{Key: record.key, Value: value})
}

// Remove deletes the record's row if it is unchanged. A batch that only
// removes rows leaves no operation id, so a lost answer can't be told from
// another writer's delete; pair it with a Replace.
func Remove[T any](b *Batch, record Record[T]) {
	Require(b, record)
	b.txn.Writes = append(b.txn.Writes, glade.Write{Key: record.key, Delete: true})
}

// Commit runs the batch. When the answer is lost it reads back a written row:
// the operation id there means that the batch took effect. A row that still
// has the version of the condition means that it did not, unless the lost
// write is still on its way, so the same conditional batch is sent once more.
// The condition makes that safe: it can take effect at most once.
//
// Uncertain is returned only while the table can't be read.
func (b *Batch) Commit(ctx context.Context, t glade.Table) (glade.Commit, error) {
	if b.err != nil {
		return glade.Unavailable, b.err
	}
	result := t.Commit(ctx, b.txn)
	for range settleTries {
		if result != glade.Uncertain {
			return result, nil
		}
		result = b.settle(ctx, t)
	}
	return result, nil
}

// settleTries bounds how often a lost answer is looked up.
const settleTries = 3

// settle finds out what became of a batch whose answer was lost. Where it did
// not take effect it is sent again, and a conflict then can mean that the first
// send took effect in between.
func (b *Batch) settle(ctx context.Context, t glade.Table) glade.Commit {
	if first := b.look(ctx, t); first == glade.Committed || (first == glade.Uncertain && b.leavesTrace()) {
		return first
	}
	switch again := t.Commit(ctx, b.txn); again {
	case glade.Conflicted:
		return b.look(ctx, t)
	case glade.Unavailable:
		return glade.Uncertain
	default:
		return again
	}
}

// leavesTrace tells whether the batch writes its operation id to a row.
func (b *Batch) leavesTrace() bool {
	return slices.ContainsFunc(b.txn.Writes, func(w glade.Write) bool { return !w.Delete })
}

// look reads a written row back. It returns Committed when the row has the
// operation id, Conflicted when it has not, and Uncertain when the row can't be
// read or the batch only deletes, which leaves nothing to read.
func (b *Batch) look(ctx context.Context, t glade.Table) glade.Commit {
	for _, write := range b.txn.Writes {
		if write.Delete {
			continue
		}
		record, err := Load[json.RawMessage](ctx, t, write.Key)
		switch {
		case err != nil:
			return glade.Uncertain
		case record.HasOp(b.op):
			return glade.Committed
		}
		return glade.Conflicted
	}
	return glade.Uncertain
}
