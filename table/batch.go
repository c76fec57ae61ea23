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

// WriteCount returns the number of rows that the batch writes.
func (b *Batch) WriteCount() int { return len(b.txn.Writes) }

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

// Remove deletes the record's row if it is unchanged. A batch that only deletes
// rows leaves no operation id behind, so after a lost answer its effect can't
// be told from another writer's delete. Combine it with a Replace.
func Remove[T any](b *Batch, record Record[T]) {
	Require(b, record)
	b.txn.Writes = append(b.txn.Writes, glade.Write{Key: record.key, Delete: true})
}

// Commit runs the batch. If the answer is lost, it reads back a written row. If
// the row has the operation id, the batch took effect. If it has not, the batch
// did not take effect, unless the lost write is still in flight; the batch is
// then sent again. That is safe: its conditions let it take effect at most
// once.
//
// The result is Uncertain when maxResolveAttempts attempts to resolve a lost
// answer have failed: the table can't be read, or further answers are lost.
func (b *Batch) Commit(ctx context.Context, t glade.Table) (glade.CommitResult, error) {
	if b.err != nil {
		return glade.Unavailable, b.err
	}
	result := t.Commit(ctx, b.txn)
	for range maxResolveAttempts {
		if result != glade.Uncertain {
			return result, nil
		}
		result = b.resolve(ctx, t)
	}
	return result, nil
}

// maxResolveAttempts bounds how often a lost answer is resolved.
const maxResolveAttempts = 3

// resolve determines the result of a batch whose answer was lost. If the batch
// did not take effect, it is sent again. A conflict then can mean that the
// first send took effect in the meantime.
func (b *Batch) resolve(ctx context.Context, t glade.Table) glade.CommitResult {
	if first := b.readBack(ctx, t); first == glade.Committed || (first == glade.Uncertain && b.writesOpID()) {
		return first
	}
	switch again := t.Commit(ctx, b.txn); again {
	case glade.Conflicted:
		return b.readBack(ctx, t)
	case glade.Unavailable:
		return glade.Uncertain
	default:
		return again
	}
}

// writesOpID reports whether the batch writes its operation id to any row.
func (b *Batch) writesOpID() bool {
	return slices.ContainsFunc(b.txn.Writes, func(w glade.Write) bool { return !w.Delete })
}

// readBack reads a written row. It returns Committed if the row has the
// operation id, Conflicted if it has not, and Uncertain if the row can't be
// read or the batch only deletes rows, which leaves nothing to read.
func (b *Batch) readBack(ctx context.Context, t glade.Table) glade.CommitResult {
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
