package drain

import (
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

// body is the body of a request. Its time ends when it has been read.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read reads the body.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
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
	if r.ContentLength == 0 {
		return r
	}
	if s.bodyTime > 0 {
		_ = c.SetReadDeadline(time.Now().Add(s.bodyTime)) // fails only on a closed connection
	}
	// The HTTP server looks at the type of the body of its own copy.
	copied := r.WithContext(r.Context())
	copied.Body = &body{ReadCloser: r.Body, conn: c}
	return copied
}
