// Package wire counts the bytes that pass over connections.
package wire

import (
	"net"
	"sync/atomic"
)

// Counter counts the bytes of all connections that it has wrapped. Its zero value is
// ready for use.
type Counter struct {
	sent, received atomic.Int64
}

// Sent returns the bytes that were sent, without the headers of TCP and IP.
func (c *Counter) Sent() int64 { return c.sent.Load() }

// Received returns the bytes that were received.
func (c *Counter) Received() int64 { return c.received.Load() }

// Wrap returns a connection that passes everything on to conn and counts its bytes.
func (c *Counter) Wrap(conn net.Conn) net.Conn { return &countedConn{Conn: conn, counter: c} }

// Listen returns a listener whose connections are counted.
func (c *Counter) Listen(listener net.Listener) net.Listener {
	return &countedListener{Listener: listener, counter: c}
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read reads and counts.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.counter.sent.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept accepts a connection that is counted.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Wrap(conn), nil
}
