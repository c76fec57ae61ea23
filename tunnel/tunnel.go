// Package tunnel is a TCP proxy with fault injection, for the simulated
// platform and for tests.
package tunnel

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// Mode is the fault that a proxy injects.
type Mode int

// Modes of a proxy. Pass injects no fault.
const (
	Pass Mode = iota
	// Disconnect closes connections when data arrives, and new ones at once.
	Disconnect
	// DropAll keeps connections open and drops all data.
	DropAll
	// DropResponses drops the data from the server, and DropRequests that from the client.
	DropResponses
	DropRequests
	// Slow delays all data.
	Slow
)

// Config configures a Proxy.
type Config struct {
	// Listen is the local address, Address that of the server.
	Listen, Address string
	// Mode returns the current mode.
	Mode func() Mode
	// Delay is the delay of each read in mode Slow, measured by Clock.
	Delay time.Duration
	Clock glade.Clock
	// Rate bounds the data from the server on all connections together, in bytes per second; 0
	// means no bound.
	Rate float64
}

// Proxy is a listener with the connections that it forwards.
type Proxy struct {
	config   Config
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]bool
	open     map[*connection]bool
	closed   bool
	// freeAt is when the data from the server that has come so far has passed the bound of the rate.
	freeAt time.Time
}

// New returns a proxy that is already listening.
func New(config Config) (*Proxy, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", config.Listen)
	}
	return &Proxy{config: config, listener: listener, conns: make(map[net.Conn]bool), open: make(map[*connection]bool)}, nil
}

// Address returns the local address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Run accepts connections until ctx ends, and then closes all of them.
func (p *Proxy) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	for {
		client, err := p.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		c := &connection{proxy: p, client: client}
		go c.run()
	}
}

// pace waits until some data from the server may be passed on.
func (p *Proxy) pace(bytes int) error {
	if p.config.Rate <= 0 {
		return nil
	}
	now := p.config.Clock.Now()
	p.mu.Lock()
	if p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(bytes) / p.config.Rate * float64(time.Second)))
	wait := p.freeAt.Sub(now)
	p.mu.Unlock()
	return p.config.Clock.Sleep(context.Background(), wait)
}

// Reset closes every connection with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // sends a reset instead of a normal close
		}
		conn.Close()
	}
}

// Silence makes the connections that are open drop the data of a mode from now on, without closing them. Those
// that are opened later work. It returns the number of connections.
func (p *Proxy) Silence(mode Mode) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.silent.Store(int64(mode))
	}
	return len(p.open)
}

func (p *Proxy) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.Reset()
}

func (p *Proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		conn.Close()
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *Proxy) closeConn(conn net.Conn) {
	conn.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

const (
	dialTimeout = time.Second
	bufferBytes = 32 << 10
)

// connection is a client connection that the proxy forwards.
type connection struct {
	proxy  *Proxy
	client net.Conn
	// silent is the mode that Silence has set for good.
	silent atomic.Int64
}

// setOpen adds the connection to those that Silence reaches, or removes it.
func (c *connection) setOpen(isOpen bool) {
	c.proxy.mu.Lock()
	defer c.proxy.mu.Unlock()
	if isOpen {
		c.proxy.open[c] = true
	} else {
		delete(c.proxy.open, c)
	}
}

func (c *connection) run() {
	p := c.proxy
	if !p.track(c.client) {
		return
	}
	defer p.closeConn(c.client)
	if p.config.Mode() == Disconnect {
		return
	}
	server, err := net.DialTimeout("tcp", p.config.Address, dialTimeout)
	if err != nil || !p.track(server) {
		return
	}
	defer p.closeConn(server)
	c.setOpen(true)
	defer c.setOpen(false)
	responses := &stream{conn: c, from: server, to: c.client, isPaced: true, dropModes: []Mode{DropAll, DropResponses}}
	go responses.run()
	requests := &stream{conn: c, from: c.client, to: server, dropModes: []Mode{DropAll, DropRequests}}
	requests.run()
}

// stream is one direction of a connection.
type stream struct {
	conn      *connection
	from, to  net.Conn
	dropModes []Mode
	isPaced   bool // the rate bounds it
	// dropping is set once data was dropped: later data is dropped too, so that
	// the receiver never sees a gap.
	dropping bool
}

// run copies data until either side closes or the proxy disconnects. It then closes
// both sides, so that the other direction ends too.
func (s *stream) run() {
	defer s.conn.proxy.closeConn(s.from)
	defer s.conn.proxy.closeConn(s.to)
	buffer := make([]byte, bufferBytes)
	for {
		n, err := s.from.Read(buffer)
		if n > 0 && !s.forward(buffer[:n]) {
			return
		}
		if err != nil {
			return
		}
	}
}

func (s *stream) forward(data []byte) bool {
	config := s.conn.proxy.config
	if config.Mode() == Slow && config.Clock.Sleep(context.Background(), config.Delay) != nil {
		return false
	}
	if s.isPaced && s.conn.proxy.pace(len(data)) != nil {
		return false
	}
	mode := config.Mode()
	s.dropping = s.dropping || slices.Contains(s.dropModes, mode) || slices.Contains(s.dropModes, Mode(s.conn.silent.Load()))
	if mode == Disconnect {
		return false
	}
	if s.dropping {
		return true
	}
	_, err := s.to.Write(data)
	return err == nil
}
