// Package table adds types and idempotent transactions to the platform's table
// service. Rows are decoded to records with operation ids, by which a
// transaction whose answer was lost is resolved.
package table

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Record is a decoded row.
type Record[T any] struct {
	key     string
	version uint64
	entry   glade.Entry[T]
}

// Key returns the row's key.
func (r Record[T]) Key() string { return r.key }

// Version returns the row's version; 0 means that the row is absent.
func (r Record[T]) Version() uint64 { return r.version }

// Exists tells whether the row is present.
func (r Record[T]) Exists() bool { return r.version != 0 }

// Data returns the row's data, or the zero value when the row is absent.
func (r Record[T]) Data() T { return r.entry.Data }

// HasOp reports whether operation op is among the row's last writers.
func (r Record[T]) HasOp(op string) bool { return r.entry.HasOp(op) }

// Absent returns the record of a row that is expected to be absent, for a write
// without a read.
func Absent[T any](key string) Record[T] { return Record[T]{key: key} }

// Decode decodes a row. An absent row gives a record without data.
func Decode[T any](row glade.Row) (Record[T], error) {
	record := Record[T]{key: row.Key, version: row.Version}
	if row.Version == 0 {
		return record, nil
	}
	if err := json.Unmarshal(row.Value, &record.entry); err != nil {
		return record, errors.Wrapf(err, "decode row %s", row.Key)
	}
	return record, nil
}

// Load reads and decodes the row at key.
func Load[T any](ctx context.Context, t glade.Table, key string) (Record[T], error) {
	row, err := t.Get(ctx, key)
	if err != nil {
		return Record[T]{}, errors.Wrapf(err, "get %s", key)
	}
	return Decode[T](row)
}

// scanPage is the number of rows per scan.
const scanPage = 500

// LoadAll reads and decodes every row under prefix.
func LoadAll[T any](ctx context.Context, t glade.Table, prefix string) ([]Record[T], error) {
	return LoadAfter[T](ctx, t, prefix, "")
}

// LoadAfter reads and decodes every row under prefix whose key is greater
// than after.
func LoadAfter[T any](ctx context.Context, t glade.Table, prefix, after string) ([]Record[T], error) {
	return loadPages(ctx, t, prefix, after, Decode[T])
}

func loadPages[T any](ctx context.Context, t glade.Table, prefix, after string, decode func(glade.Row) (Record[T], error)) ([]Record[T], error) {
	var records []Record[T]
	for {
		rows, err := t.Scan(ctx, prefix, after, scanPage)
		if err != nil {
			return nil, errors.Wrapf(err, "scan %s", prefix)
		}
		for _, row := range rows {
			record, err := decode(row)
			if err != nil {
				return nil, err
			}
			records = append(records, record)
			after = row.Key
		}
		if len(rows) < scanPage {
			return records, nil
		}
	}
}
