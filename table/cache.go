package table

import (
	"context"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Cache keeps decoded rows, so that a read of an unchanged row needs no
// decoding. It may only be used for rows that are never deleted: a row that is
// written again after a delete repeats its versions. The returned records share
// their data and are read-only. A Cache must be used by one goroutine only.
type Cache[T any] struct {
	table   glade.Table
	records map[string]Record[T]
}

// NewCache returns an empty cache of rows of t.
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
	cached, ok := c.records[row.Key]
	if ok && cached.version == row.Version {
		return cached, nil
	}
	record, err := Decode[T](row)
	if err == nil {
		c.records[row.Key] = record
	}
	return record, err
}

// Clear removes all rows, to free the memory of rows that are no longer read.
func (c *Cache[T]) Clear() { clear(c.records) }
