package claim

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	glade "indigoglade"
	"indigoglade/quorum"
)

// Answer is the result of a request that ran, or of one that was refused.
type Answer struct {
	Outcome glade.Outcome `json:"outcome"`
	Reason  glade.Reason  `json:"reason,omitempty"`
	Body    []byte        `json:"body,omitempty"`
}

// execution is a request that this entry host claims or runs, or whose answer it
// still holds.
type execution struct {
	callerKey string
	token     uint64
	// done is closed once answer is set. Before that answer must not be read.
	done   chan struct{}
	answer Answer
}

// overheadBytes is the approximate memory size of an execution without the body of
// its answer.
const overheadBytes = 256

func (e *execution) sizeBytes() int { return overheadBytes + len(e.answer.Body) }

// answerCache holds finished executions with their answers, up to a total size in
// bytes. It evicts the least recently used ones first.
type answerCache struct {
	entries *simplelru.LRU[quorum.Key, *execution]
	// totalBytes is the present total size, maxBytes the maximum.
	totalBytes int
	maxBytes   int
}

func newAnswerCache(maxBytes int) *answerCache {
	c := &answerCache{maxBytes: maxBytes}
	// No execution is smaller than overheadBytes, so the limit in bytes is reached
	// before this maximum number of entries.
	entries, err := simplelru.NewLRU(maxBytes/overheadBytes+1, func(_ quorum.Key, e *execution) { c.totalBytes -= e.sizeBytes() })
	if err != nil {
		panic(err)
	}
	c.entries = entries
	return c
}

func (c *answerCache) put(key quorum.Key, e *execution) {
	if e.sizeBytes() > c.maxBytes {
		return
	}
	c.entries.Remove(key)
	c.entries.Add(key, e)
	c.totalBytes += e.sizeBytes()
	for c.totalBytes > c.maxBytes {
		c.entries.RemoveOldest()
	}
}

func (c *answerCache) get(key quorum.Key) (*execution, bool) { return c.entries.Get(key) }
