// Package tunnel carries TCP connections to an address and breaks them as it is
// told, for the stand-ins and for tests.
package tunnel

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Mode is how a tunnel treats its connections.
type Mode int

// Modes of a tunnel.
const (
	Pass Mode = iota
	// Cut closes connections at their next piece, and new ones at once.
	Cut
	// Silent keeps connections open and delivers nothing.
	Silent
	// Mute delivers requests and no answers, Deaf no requests.
	Mute
	Deaf
	// Slow delays every piece.
	Slow
)

// Config configures a Tunnel.
type Config struct {
	// Listen is where connections come, Address where they go.
	Listen, Address string
	// Mode tells how connections are treated now.
	Mode func() Mode
	// Delay is that of a piece on a slow tunnel, by Clock.
	Delay time.Duration
	Clock glade.Clock
}

// Tunnel is one listener with the connections through it.
type Tunnel struct {
	config   Config
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	closed   bool
}

// New returns a tunnel that listens already.
func New(config Config) (*Tunnel, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", config.Listen)
	}
	return &Tunnel{config: config, listener: listener, conns: make(map[net.Conn]bool)}, nil
}

// Address returns where the tunnel listens.
func (t *Tunnel) Address() string { return t.listener.Addr().String() }

// Run accepts connections until ctx ends. All are closed then.
func (t *Tunnel) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, t.close)
	defer stop()
	for {
		near, err := t.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		p := &pipe{tunnel: t, near: near}
		go p.run()
	}
}

// Reset breaks every connection, with a reset.
func (t *Tunnel) Reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // without it the end is a plain one
		}
		conn.Close()
	}
}

func (t *Tunnel) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.listener.Close()
	t.Reset()
}

func (t *Tunnel) hold(conn net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		conn.Close()
		return false
	}
	t.conns[conn] = true
	return true
}

func (t *Tunnel) drop(conn net.Conn) {
	conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}

const (
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// pipe is one connection through a tunnel.
type pipe struct {
	tunnel *Tunnel
	near   net.Conn
}

func (p *pipe) run() {
	t := p.tunnel
	if !t.hold(p.near) {
		return
	}
	defer t.drop(p.near)
	if t.config.Mode() == Cut {
		return
	}
	far, err := net.DialTimeout("tcp", t.config.Address, dialTimeout)
	if err != nil || !t.hold(far) {
		return
	}
	defer t.drop(far)
	back := &flow{tunnel: t, from: far, to: p.near, blocked: []Mode{Silent, Mute}}
	go back.run()
	there := &flow{tunnel: t, from: p.near, to: far, blocked: []Mode{Silent, Deaf}}
	there.run()
}

// flow is one direction of a pipe.
type flow struct {
	tunnel   *Tunnel
	from, to net.Conn
	blocked  []Mode
	// lost means that a piece was not delivered: no later one is, either.
	lost bool
}

// run copies until an end closes or the tunnel is cut. Both ends are closed then,
// so that the other direction ends too.
func (f *flow) run() {
	defer f.tunnel.drop(f.from)
	defer f.tunnel.drop(f.to)
	buffer := make([]byte, bufferBytes)
	for {
		n, err := f.from.Read(buffer)
		if n > 0 && !f.pass(buffer[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (f *flow) pass(data []byte) bool {
	config := f.tunnel.config
	if config.Mode() == Slow && config.Clock.Sleep(context.Background(), config.Delay) != nil {
		return false
	}
	mode := config.Mode()
	f.lost = f.lost || slices.Contains(f.blocked, mode)
	if mode == Cut {
		return false
	}
	if f.lost {
		return true
	}
	_, err := f.to.Write(data)
	return err == nil
}
