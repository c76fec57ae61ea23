package claim

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	glade "indigoglade"
	"indigoglade/once"
)

// Answer is the result of a send that ran, or of one that was given up.
type Answer struct {
	Outcome glade.Outcome `json:"outcome"`
	Reason  glade.Reason  `json:"reason,omitempty"`
	Body    []byte        `json:"body,omitempty"`
}

// run is a send of this entry host that has the key.
type run struct {
	text  string
	token uint64
	// done is closed when answer is set.
	done   chan struct{}
	answer Answer
}

// recordBytes is about the size of a run without its body.
const recordBytes = 256

func (r *run) size() int { return recordBytes + len(r.answer.Body) }

// cache holds the answers of ended runs, bounded by their size in bytes. The
// least recently used go first.
type cache struct {
	runs  *simplelru.LRU[once.Key, *run]
	bytes int
	limit int
}

func newCache(limit int) *cache {
	c := &cache{limit: limit}
	// The bound in entries is never met before the one in bytes.
	runs, err := simplelru.NewLRU(limit/recordBytes+1, func(_ once.Key, r *run) { c.bytes -= r.size() })
	if err != nil {
		panic(err)
	}
	c.runs = runs
	return c
}

func (c *cache) put(key once.Key, r *run) {
	if r.size() > c.limit {
		return
	}
	c.runs.Remove(key)
	c.runs.Add(key, r)
	c.bytes += r.size()
	for c.bytes > c.limit {
		c.runs.RemoveOldest()
	}
}

func (c *cache) get(key once.Key) (*run, bool) { return c.runs.Get(key) }
