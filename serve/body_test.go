package serve_test

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

// stalledBody is a body of which all bytes but the last arrive.
type stalledBody struct {
	left    int
	stalled chan<- struct{}
	release <-chan struct{}
}

func (b *stalledBody) Read(data []byte) (int, error) {
	if b.left == 0 {
		b.stalled <- struct{}{}
		<-b.release
		return 0, http.ErrBodyReadAfterClose
	}
	n := min(len(data), b.left)
	b.left -= n
	return n, nil
}

// stalledCaller sends a stalled body.
type stalledCaller struct {
	host  *entryHost
	body  *stalledBody
	codes chan<- int
}

func (c stalledCaller) run() {
	reply := httptest.NewRecorder()
	c.host.server.Handler().ServeHTTP(reply, httptest.NewRequest(http.MethodPost, "/v1/dealers/quotes", c.body))
	c.codes <- reply.Code
}

// TestBodiesAreBounded guards against callers whose bodies are of legal size and take the memory of the process together:
// 2,048 requests in flight may have 1 MB each.
func TestBodiesAreBounded(t *testing.T) {
	const (
		callers = 200
		bound   = 64 << 20 // what an entry host may use for bodies
	)
	h := newHost(t, "e1", nil)
	stalled, release, codes := make(chan struct{}), make(chan struct{}), make(chan int, callers)
	before := heapBytes()
	for range callers {
		go stalledCaller{host: h, body: &stalledBody{left: 1<<20 - 1, stalled: stalled, release: release}, codes: codes}.run()
	}
	waiting, refused := 0, 0
	for waiting+refused < callers {
		select {
		case <-stalled:
			waiting++
		case code := <-codes:
			qt.Assert(t, code, qt.Equals, http.StatusTooManyRequests)
			refused++
		}
	}
	t.Run("all together", func(t *testing.T) {
		used := heapBytes() - before
		qt.Assert(t, used < bound, qt.IsTrue, qt.Commentf("%d bytes for %d bodies", used, waiting))
	})
	t.Run("a small one beside them", func(t *testing.T) {
		expectReply(t, h.call("/v1/dealers/quotes", "roof"), 503, "refused", "endpoints")
	})
	close(release)
	for range waiting {
		<-codes
	}
	t.Run("the largest one after them", func(t *testing.T) {
		expectReply(t, h.call("/v1/dealers/quotes", string(make([]byte, 1<<20))), 503, "refused", "endpoints")
	})
}

// heapBytes returns the bytes that are in use after a collection.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}
