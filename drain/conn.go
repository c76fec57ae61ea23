package drain

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"indigoglade/accept"
	"indigoglade/wire"
)

// Times of a drain. A request that was sent lossSlackMs (200 ms) before its connection is
// closed must be answered, however little processor time the process gets.
const (
	// silentTime is how long a connection without a request is kept at least.
	silentTime = 300 * time.Millisecond
	// checkTime is the length of the read after which a connection is closed, and
	// acceptTime that of the wait after which the listener is closed. Each begins with a look
	// at what has arrived.
	checkTime  = 50 * time.Millisecond
	acceptTime = 10 * time.Millisecond
	// lateTime is how late a wait may end and still show that nothing has arrived. One that
	// ends later is repeated: the process did not run, and what arrived meanwhile is unread.
	// checkTime and lateTime together stay under lossSlackMs.
	lateTime = 50 * time.Millisecond
	// acceptLimit bounds accepting during a drain, in case new connections keep arriving.
	acceptLimit = 500 * time.Millisecond
)

// wait is one attempt to read or accept that ends after a time without a result.
type wait struct {
	start  time.Time
	length time.Duration
}

// foundNothing reports whether a wait that ended without a result at a time shows that
// nothing has arrived.
func (w wait) foundNothing(now time.Time) bool {
	took := now.Sub(w.start)
	return took >= w.length && took <= w.length+lateTime
}

// end returns when the wait is due to end.
func (w wait) end() time.Time { return w.start.Add(w.length) }

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// conn is a connection whose reads for the next request end early during a drain.
type conn struct {
	net.Conn
	draining *atomic.Bool
	// writeTime limits each write; 0 means without limit.
	writeTime time.Duration
	// onLargeHeader is called when the header of a request has become a large one.
	onLargeHeader func(*conn)
	// stopped is whether no more bytes are read from the peer.
	stopped atomic.Bool
	mu      sync.Mutex
	// deadline is the read deadline that the HTTP server has set.
	deadline time.Time
	// awaiting is whether no byte of the next request has been read.
	awaiting    bool
	silentSince time.Time
	wait        wait
	// headerCost estimates the memory of the header of the next request, and headerRead is whether it has been parsed.
	headerCost int
	headerRead bool
}

func (l *listener) newConn(inner net.Conn) *conn {
	return &conn{Conn: inner, draining: l.draining, writeTime: l.writeTime, onLargeHeader: l.onLargeHeader, awaiting: true, silentSince: time.Now()}
}

// SetReadDeadline sets the deadline of reads outside of a drain.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// Read reads. During a drain it times out on a connection that is silent.
func (c *conn) Read(data []byte) (int, error) {
	for {
		if c.stopped.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		c.startWait()
		n, err := c.Conn.Read(data)
		if n > 0 {
			c.setReceived()
			if c.addHeader(data[:n]) {
				c.onLargeHeader(c)
			}
			return n, err
		}
		if !isTimeout(err) || !c.mustRepeat(time.Now()) {
			return n, err
		}
	}
}

// Write writes. It fails if the peer does not read.
func (c *conn) Write(data []byte) (int, error) {
	if c.writeTime > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTime)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(data)
}

// stopReading ends the read in progress and all later ones.
func (c *conn) stopReading() {
	c.stopped.Store(true)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// Limits of what is read and dropped before a connection with unread bytes is closed. Closing it at once would reset it,
// and the peer could lose the response.
const (
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 256 << 10
)

// Close closes the connection. If the peer was sending a request of which the rest is not read, it has some time to read
// the response.
func (c *conn) Close() error {
	if c.stopped.Load() {
		if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
			_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // ends with an error in each case
		}
	}
	return c.Conn.Close()
}

// setAwaiting notes that a response has been sent.
func (c *conn) setAwaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaiting, c.silentSince = true, time.Now()
	c.headerCost, c.headerRead = 0, false
}

// setReceived notes that bytes of a request have been read.
func (c *conn) setReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting && c.draining.Load() {
		_ = c.Conn.SetReadDeadline(c.deadline) // fails only on a closed connection
	}
	c.awaiting = false
}

// endRead ends a read for the next request that began before the drain.
func (c *conn) endRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaiting {
		_ = c.Conn.SetReadDeadline(time.Now()) // fails only on a closed connection
	}
}

// startWait limits the next read, if the connection is drained and has no request.
func (c *conn) startWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaiting || !c.draining.Load() {
		return
	}
	c.wait = wait{start: time.Now(), length: checkTime}
	_ = c.Conn.SetReadDeadline(c.wait.end()) // fails only on a closed connection
}

// mustRepeat reports whether the connection is kept after a read that timed out.
func (c *conn) mustRepeat(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isSilent := c.wait.foundNothing(now) && now.Sub(c.silentSince) >= silentTime
	return c.awaiting && c.draining.Load() && !isSilent
}

// listener accepts the connections that wait in its queue before it closes for a drain: the
// system resets those that are left.
type listener struct {
	*accept.Listener
	traffic   *wire.Counter
	draining  *atomic.Bool
	writeTime time.Duration
	// onLargeHeader is passed to each connection.
	onLargeHeader func(*conn)
	// acceptUntil is set when the drain begins.
	mu          sync.Mutex
	acceptUntil time.Time
}

// stop makes Accept close the listener when no connection waits.
func (l *listener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.acceptUntil = now.Add(acceptLimit)
	if l.SetDeadline(now) != nil {
		_ = l.Listener.Close() // a second Close of the HTTP server returns the error
	}
}

// Accept accepts a connection.
func (l *listener) Accept() (net.Conn, error) {
	for {
		w, ok := l.startWait()
		if !ok {
			return nil, net.ErrClosed
		}
		inner, err := l.Listener.Accept()
		if err == nil {
			if l.traffic != nil {
				inner = l.traffic.Wrap(inner)
			}
			return l.newConn(inner), nil
		}
		if !isTimeout(err) {
			return nil, err
		}
		if w.foundNothing(time.Now()) {
			return nil, net.ErrClosed
		}
	}
}

// startWait limits the next Accept if the drain has begun. It returns false if no more
// connections may be accepted.
func (l *listener) startWait() (wait, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.acceptUntil.IsZero() {
		return wait{}, true
	}
	w := wait{start: time.Now(), length: acceptTime}
	_ = l.SetDeadline(w.end()) // fails on a closed listener, which Accept reports
	return w, w.start.Before(l.acceptUntil)
}
