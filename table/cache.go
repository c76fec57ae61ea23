package table

import (
	"context"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Cache keeps decoded rows, so that reading a row that has not changed costs no
// decoding. It serves rows that are never deleted, because versions of a row
// that was written again after a delete repeat. Records that it returns share
// their data and are read-only. A Cache belongs to one goroutine.
type Cache[T any] struct {
	table   glade.Table
	records map[string]Record[T]
}

// NewCache returns an empty cache over t.
func NewCache[T any](t glade.Table) *Cache[T] {
	return &Cache[T]{table: t, records: make(map[string]Record[T])}
}

// Load reads the row at key, and decodes it if it has changed.
func (c *Cache[T]) Load(ctx context.Context, key string) (Record[T], error) {
	row, err := c.table.Get(ctx, key)
	if err != nil {
		return Record[T]{}, errors.Wrapf(err, "get %s", key)
	}
	return c.decode(row)
}

// LoadAll reads every row under prefix, and decodes those that have changed.
func (c *Cache[T]) LoadAll(ctx context.Context, prefix string) ([]Record[T], error) {
	return loadPages(ctx, c.table, prefix, "", c.decode)
}

func (c *Cache[T]) decode(row glade.Row) (Record[T], error) {
	known, ok := c.records[row.Key]
	if ok && known.version == row.Version {
		return known, nil
	}
	record, err := Decode[T](row)
	if err == nil {
		c.records[row.Key] = record
	}
	return record, err
}

// Forget drops every row, to bound the memory of what is no longer read.
func (c *Cache[T]) Forget() { clear(c.records) }
