package remote

import (
	"context"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// GetCall asks for a row or an object by its key.
type GetCall struct {
	Key string `json:"key"`
}

// ScanCall asks for rows in the order of their keys.
type ScanCall struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// CommitReply is the result of a transaction.
type CommitReply struct {
	Result glade.CommitResult `json:"result"`
}

// Get reads a row.
func (c *Client) Get(ctx context.Context, key string) (glade.Row, error) {
	return call[GetCall, glade.Row](ctx, c, "/table/get", GetCall{Key: key})
}

// Scan reads rows in the order of their keys.
func (c *Client) Scan(ctx context.Context, prefix, after string, limit int) ([]glade.Row, error) {
	return call[ScanCall, []glade.Row](ctx, c, "/table/scan", ScanCall{Prefix: prefix, After: after, Limit: limit})
}

// Commit runs a transaction. The result is Uncertain when the answer was lost.
func (c *Client) Commit(ctx context.Context, txn glade.Txn) glade.CommitResult {
	reply, err := call[glade.Txn, CommitReply](ctx, c, "/table/commit", txn)
	return commitResult(reply, err)
}

func commitResult(reply CommitReply, err error) glade.CommitResult {
	switch {
	case errors.Is(err, errUnavailable):
		return glade.Unavailable
	case err != nil:
		return glade.Uncertain
	}
	return reply.Result
}

// ObjectStore is the client of the platform's object store.
type ObjectStore struct {
	client *Client
}

// NewObjectStore returns the object store behind client.
func NewObjectStore(client *Client) *ObjectStore { return &ObjectStore{client: client} }

// CreateCall creates an object.
type CreateCall struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// ObjectReply is the answer to a read of an object.
type ObjectReply struct {
	Value []byte `json:"value"`
	Found bool   `json:"found"`
}

// Get reads an object.
func (s *ObjectStore) Get(ctx context.Context, key string) ([]byte, bool, error) {
	reply, err := call[GetCall, ObjectReply](ctx, s.client, "/object/get", GetCall{Key: key})
	return reply.Value, reply.Found, err
}

// Create writes an object that does not exist yet.
func (s *ObjectStore) Create(ctx context.Context, key string, value []byte) glade.CommitResult {
	reply, err := call[CreateCall, CommitReply](ctx, s.client, "/object/create", CreateCall{Key: key, Value: value})
	return commitResult(reply, err)
}
