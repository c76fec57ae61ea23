package memory

import (
	"context"
	"sync"

	glade "indigoglade"
)

// ObjectStore is an in-memory object store.
type ObjectStore struct {
	mu      sync.Mutex
	objects map[string][]byte
}

// NewObjectStore returns an empty object store.
func NewObjectStore() *ObjectStore {
	return &ObjectStore{objects: make(map[string][]byte)}
}

// Get returns the object's bytes, and false when there is no such object.
func (s *ObjectStore) Get(_ context.Context, key string) ([]byte, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value, ok := s.objects[key]
	return value, ok, nil
}

// Create writes an object that does not exist yet.
func (s *ObjectStore) Create(_ context.Context, key string, value []byte) glade.CommitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, taken := s.objects[key]; taken {
		return glade.Conflicted
	}
	s.objects[key] = append([]byte(nil), value...)
	return glade.Committed
}
