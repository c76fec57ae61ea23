package fleet

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// pollInterval is how often a listener checks whether its host is down.
const pollInterval = 50 * time.Millisecond

// hostListener is the listener of a runner. When the host goes down, the listener
// closes all open connections, and it refuses new ones until the host is up.
type hostListener struct {
	address string
	isDown  func() bool

	mu       sync.Mutex
	listener *net.TCPListener
	conns    map[*hostConn]bool
	closed   bool
}

// hostConn is a connection that is removed from its listener's open connections
// when it is closed.
type hostConn struct {
	net.Conn
	hostListener *hostListener
}

func newHostListener(address string, isDown func() bool) (*hostListener, error) {
	l := &hostListener{address: address, isDown: isDown, conns: make(map[*hostConn]bool)}
	return l, l.listen()
}

func (l *hostListener) listen() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", l.address)
	}
	l.listener = listener.(*net.TCPListener)
	l.address = listener.Addr().String()
	return nil
}

// Accept waits until the host is up and returns the next connection.
func (l *hostListener) Accept() (net.Conn, error) {
	for {
		listener, err := l.current()
		if err != nil {
			return nil, err
		}
		if listener == nil {
			time.Sleep(pollInterval)
			continue
		}
		listener.SetDeadline(time.Now().Add(pollInterval))
		conn, err := listener.Accept()
		var network net.Error
		if errors.As(err, &network) && network.Timeout() || errors.Is(err, net.ErrClosed) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return l.track(conn), nil
	}
}

// current returns the TCP listener, or nil while the host is down. It closes or
// reopens the TCP listener if the host went down or came up.
func (l *hostListener) current() (*net.TCPListener, error) {
	down := l.isDown()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, net.ErrClosed
	}
	if down {
		l.closeAll()
		return nil, nil
	}
	if l.listener == nil {
		if err := l.listen(); err != nil {
			return nil, err
		}
	}
	return l.listener, nil
}

func (l *hostListener) closeAll() {
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	for conn := range l.conns {
		conn.Conn.Close()
		delete(l.conns, conn)
	}
}

func (l *hostListener) track(conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	tracked := &hostConn{Conn: conn, hostListener: l}
	l.conns[tracked] = true
	return tracked
}

// Close closes the connection and stops tracking it.
func (c *hostConn) Close() error {
	c.hostListener.mu.Lock()
	delete(c.hostListener.conns, c)
	c.hostListener.mu.Unlock()
	return c.Conn.Close()
}

// Close stops accepting connections. Open connections are not closed.
func (l *hostListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.listener == nil {
		return nil
	}
	return l.listener.Close()
}

// Addr returns the address of the listener, also while the host is down.
func (l *hostListener) Addr() net.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	address, err := net.ResolveTCPAddr("tcp", l.address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return address
}
