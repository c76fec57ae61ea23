package fleet

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// gatePeriod is how often a gate looks whether its host went down or came up.
const gatePeriod = 50 * time.Millisecond

// gate is the listener of a runner. While the host is down it refuses
// connections, and the ones that were open are broken.
type gate struct {
	address string
	isDown  func() bool

	mu     sync.Mutex
	inner  *net.TCPListener
	open   map[*gateConn]bool
	closed bool
}

// gateConn is a connection through a gate.
type gateConn struct {
	net.Conn
	gate *gate
}

func newGate(address string, isDown func() bool) (*gate, error) {
	g := &gate{address: address, isDown: isDown, open: make(map[*gateConn]bool)}
	return g, g.listen()
}

func (g *gate) listen() error {
	listener, err := net.Listen("tcp", g.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", g.address)
	}
	g.inner = listener.(*net.TCPListener)
	g.address = listener.Addr().String()
	return nil
}

// Accept returns the next connection while the host is up.
func (g *gate) Accept() (net.Conn, error) {
	for {
		listener, err := g.current()
		if err != nil {
			return nil, err
		}
		if listener == nil {
			time.Sleep(gatePeriod)
			continue
		}
		listener.SetDeadline(time.Now().Add(gatePeriod))
		conn, err := listener.Accept()
		var network net.Error
		if errors.As(err, &network) && network.Timeout() || errors.Is(err, net.ErrClosed) {
			continue
		}
		if err != nil {
			return nil, err
		}
		return g.track(conn), nil
	}
}

// current returns the listener, or nil while the host is down.
func (g *gate) current() (*net.TCPListener, error) {
	down := g.isDown()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return nil, net.ErrClosed
	}
	if down {
		g.shut()
		return nil, nil
	}
	if g.inner == nil {
		if err := g.listen(); err != nil {
			return nil, err
		}
	}
	return g.inner, nil
}

func (g *gate) shut() {
	if g.inner != nil {
		g.inner.Close()
		g.inner = nil
	}
	for conn := range g.open {
		conn.Conn.Close()
		delete(g.open, conn)
	}
}

func (g *gate) track(conn net.Conn) net.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	tracked := &gateConn{Conn: conn, gate: g}
	g.open[tracked] = true
	return tracked
}

// Close ends the connection.
func (c *gateConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.open, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// Close stops accepting. Open connections go on.
func (g *gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.inner == nil {
		return nil
	}
	return g.inner.Close()
}

// Addr returns the address that the gate listens on.
func (g *gate) Addr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	address, err := net.ResolveTCPAddr("tcp", g.address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return address
}
