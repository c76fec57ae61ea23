// Package link carries typed messages between the system's processes over
// jsonrpc2 on TCP.
package link

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Mux holds the handlers of a process by method name.
type Mux struct {
	handlers map[string]rawHandler
}

type rawHandler func(ctx context.Context, params json.RawMessage) (any, error)

// NewMux returns a mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: make(map[string]rawHandler)}
}

// Handle registers fn for a method. It must be called before the mux serves.
func Handle[In, Out any](m *Mux, method string, fn func(ctx context.Context, in In) (Out, error)) {
	m.handlers[method] = func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return fn(ctx, in)
	}
}

func (m *Mux) serve(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	handler, ok := m.handlers[request.Method]
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: request.Method}
	}
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	return handler(ctx, params)
}

// Server accepts peers.
type Server struct {
	listener net.Listener
	mux      *Mux
	refused  atomic.Int64
}

// NewServer returns a server on listener. With a TLS listener it refuses and
// counts peers without a valid certificate before any message is read.
func NewServer(listener net.Listener, mux *Mux) *Server {
	return &Server{listener: listener, mux: mux}
}

// Refused returns the number of peers that were refused.
func (s *Server) Refused() int64 { return s.refused.Load() }

// Run accepts peers until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.mux.serve))
	for {
		raw, err := s.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept peer")
		}
		g := &guest{server: s, raw: raw, handler: handler}
		go g.run(ctx)
	}
}

// guest is a connection that a peer opened.
type guest struct {
	server  *Server
	raw     net.Conn
	handler jsonrpc2.Handler
}

// handshakeTimeout bounds how long a peer may take to prove who it is.
const handshakeTimeout = 2 * time.Second

func (g *guest) run(ctx context.Context) {
	if secure, ok := g.raw.(*tls.Conn); ok {
		bounded, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		if err := secure.HandshakeContext(bounded); err != nil {
			g.server.refused.Add(1)
			g.raw.Close()
			return
		}
	}
	jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(g.raw), g.handler, jsonrpc2.SetLogger(quiet{}))
}

// Config configures a Client.
type Config struct {
	// Address is the peer's IP number and port.
	Address string
	// TLS is used when it is not nil.
	TLS *tls.Config
	// Timeout bounds one call, connecting included.
	Timeout time.Duration
}

// Client calls one peer over one connection, which it opens when needed.
type Client struct {
	config Config
	mu     sync.Mutex
	conn   *jsonrpc2.Conn
}

// NewClient returns a client that is not yet connected.
func NewClient(config Config) *Client {
	return &Client{config: config}
}

// Call sends in to the peer's method and returns its answer. An error leaves
// open whether the peer acted.
func Call[In, Out any](ctx context.Context, c *Client, method string, in In) (Out, error) {
	var out Out
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return out, err
	}
	if err := conn.Call(ctx, method, in, &out); err != nil {
		var reported *jsonrpc2.Error
		// A caller that gives up shows nothing of the connection, which other
		// calls share.
		if !errors.As(err, &reported) && parent.Err() == nil {
			c.drop(conn)
		}
		return out, errors.Wrapf(err, "call %s of %s", method, c.config.Address)
	}
	return out, nil
}

func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	raw, err := c.dial(ctx)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", c.config.Address)
	}
	// The connection outlives the call that opened it.
	background := context.WithoutCancel(ctx)
	c.conn = jsonrpc2.NewConn(background, jsonrpc2.NewPlainObjectStream(raw), jsonrpc2.HandlerWithError(refuse),
		jsonrpc2.SetLogger(quiet{}))
	return c.conn, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	dialer := &net.Dialer{}
	if c.config.TLS == nil {
		return dialer.DialContext(ctx, "tcp", c.config.Address)
	}
	secure := &tls.Dialer{NetDialer: dialer, Config: c.config.TLS}
	return secure.DialContext(ctx, "tcp", c.config.Address)
}

// quiet drops the library's own log lines. Calls that fail are counted by their
// callers.
type quiet struct{}

// Printf does nothing.
func (quiet) Printf(string, ...any) {}

// refuse answers calls that a server makes back over a client's connection.
func refuse(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side only calls"}
}

func (c *Client) drop(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	conn.Close()
}

// Close ends the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
