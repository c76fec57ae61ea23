package drain

import (
	"bytes"
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// StopReading ends the read of the body of a request and all later reads from its connection, which is closed after the
// response. It may be called from any goroutine until the handler returns, and does nothing for other servers' requests.
func StopReading(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		c.stopReading()
	}
}

// body is the body of a request. It notes when the request has been read.
type body struct {
	io.ReadCloser
	server *Server
	conn   *conn
}

// Read reads the body.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		b.server.setRead(b.conn)
		_ = b.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	return n, err
}

// receive returns a request as its handler reads it. Its body must arrive within the server's time for bodies.
func (s *Server) receive(r *http.Request) *http.Request {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return r
	}
	if c.endHeader(r) {
		s.setSmall(c)
	}
	if r.ContentLength == 0 {
		s.setRead(c)
		return r
	}
	if s.bodyTime > 0 {
		_ = c.SetReadDeadline(time.Now().Add(s.bodyTime)) // fails only on a closed connection
	}
	// The HTTP server looks at the type of the body of its own copy.
	copied := r.WithContext(r.Context())
	copied.Body = &body{ReadCloser: r.Body, server: s, conn: c}
	return copied
}

// queue holds connections in the order in which they were added.
type queue struct {
	order  *list.List
	places map[*conn]*list.Element
}

// place is an entry of a queue.
type place struct {
	conn  *conn
	since time.Time
}

func newQueue() *queue { return &queue{order: list.New(), places: make(map[*conn]*list.Element)} }

func (q *queue) len() int { return q.order.Len() }

// add adds a connection unless it is there.
func (q *queue) add(c *conn) {
	if _, ok := q.places[c]; !ok {
		q.places[c] = q.order.PushBack(place{conn: c, since: time.Now()})
	}
}

func (q *queue) remove(c *conn) {
	if e, ok := q.places[c]; ok {
		q.order.Remove(e)
		delete(q.places, c)
	}
}

// first returns the connection that was added first, if it was added at least some time ago, or nil.
func (q *queue) first(ago time.Duration) *conn {
	e := q.order.Front()
	if e == nil {
		return nil
	}
	p := e.Value.(place)
	if ago > 0 && time.Since(p.since) < ago {
		return nil
	}
	return p.conn
}

// The memory that a header takes is estimated, as its fields may be short: some bytes for each field, and those of its text.
const (
	fieldBytes = 150
	// smallHeaderBytes is the estimate up to which the number of headers has no bound of its own. A request of the callers'
	// interface has some ten fields, and the first read may bring 4 KB of its body.
	smallHeaderBytes = 8 << 10
)

func headerCost(data []byte) int { return len(data) + fieldBytes*bytes.Count(data, []byte{'\n'}) }

// addHeader notes bytes that were read while the header of a request had not been parsed. It returns true once when the
// header has become a large one.
func (c *conn) addHeader(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headerRead {
		return false
	}
	wasSmall := c.headerCost <= smallHeaderBytes
	c.headerCost += headerCost(data)
	return wasSmall && c.headerCost > smallHeaderBytes
}

// endHeader notes that a header has been parsed. It returns true if it was considered large for the sake of the body that
// was read with it.
func (c *conn) endHeader(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headerRead = true
	if c.headerCost <= smallHeaderBytes {
		return false
	}
	cost := len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			cost += len(name) + len(value) + fieldBytes
		}
	}
	return cost <= smallHeaderBytes
}
