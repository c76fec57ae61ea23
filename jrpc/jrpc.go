// Package jrpc implements RPC between the system's processes: JSON-RPC 2.0 over
// TCP, with optional mutual TLS.
package jrpc

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

	"indigoglade/accept"
	"indigoglade/wire"
)

// Mux maps method names to handlers.
type Mux struct {
	handlers map[string]rawHandler
	panics   atomic.Int64
	onPanic  func(method string, cause any)
}

// OnPanic sets a function that is called when a handler panics. It must be called before
// the mux serves.
func (m *Mux) OnPanic(fn func(method string, cause any)) { m.onPanic = fn }

// Panics returns the number of calls that ended because their handler panicked.
func (m *Mux) Panics() int64 { return m.panics.Load() }

type rawHandler func(ctx context.Context, params json.RawMessage) (any, error)

// NewMux returns a mux without handlers.
func NewMux() *Mux {
	return &Mux{handlers: make(map[string]rawHandler)}
}

// Handle registers fn for a method. It must be called before the mux serves.
func Handle[In, Out any](m *Mux, method string, fn func(ctx context.Context, in In) (Out, error)) {
	m.handlers[method] = handler(fn)
}

// HandleLimited is Handle for a method whose calls take memory of a limit while they are under way: their cost, which is
// called with the size of a call's parameters in bytes of JSON. A call that finds none is refused before it is decoded.
func HandleLimited[In, Out any](m *Mux, method string, limit *Limit, cost func(size int) int64, fn func(ctx context.Context, in In) (Out, error)) {
	handle := handler(fn)
	m.handlers[method] = func(ctx context.Context, params json.RawMessage) (any, error) {
		bytes := cost(len(params))
		if !limit.Take(bytes) {
			return nil, &jsonrpc2.Error{Code: codeBusy, Message: ErrBusy.Error()}
		}
		defer limit.Give(bytes)
		return handle(ctx, params)
	}
}

func handler[In, Out any](fn func(ctx context.Context, in In) (Out, error)) rawHandler {
	return func(ctx context.Context, params json.RawMessage) (any, error) {
		var in In
		if err := json.Unmarshal(params, &in); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		out, err := fn(ctx, in)
		if errors.Is(err, ErrBusy) {
			return out, &jsonrpc2.Error{Code: codeBusy, Message: err.Error()}
		}
		return out, err
	}
}

// serve calls the handler of a request. A handler that panics ends its request with an
// error, and not the process, which serves others.
func (m *Mux) serve(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (result any, err error) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		m.panics.Add(1)
		if m.onPanic != nil {
			m.onPanic(request.Method, cause)
		}
		result, err = nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "handler of " + request.Method + " failed"}
	}()
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

// Server accepts connections of peers.
type Server struct {
	listener *accept.Listener
	mux      *Mux
	refused  atomic.Int64
}

// NewServer returns a server on listener. With a TLS listener it refuses peers
// without a valid certificate before it reads a message, and counts them.
func NewServer(listener net.Listener, mux *Mux) *Server {
	return &Server{listener: accept.New(listener), mux: mux}
}

// Refused returns the number of connections refused in the TLS handshake.
func (s *Server) Refused() int64 { return s.refused.Load() }

// AcceptFailures returns the number of connections that could not be accepted.
func (s *Server) AcceptFailures() int64 { return s.listener.Failures() }

// Run accepts connections until ctx ends. An error means that the listener is of no more use.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.mux.serve))
	for {
		conn, err := s.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection")
		}
		a := &acceptedConn{server: s, conn: conn, handler: handler}
		go a.run(ctx)
	}
}

// acceptedConn is a connection that a peer opened.
type acceptedConn struct {
	server  *Server
	conn    net.Conn
	handler jsonrpc2.Handler
}

// handshakeTimeout bounds the TLS handshake of a peer.
const handshakeTimeout = 2 * time.Second

// answerTimeout bounds the writing of an answer to a peer that reads none. Its later calls wait with all that they hold.
const answerTimeout = 5 * time.Second

func (a *acceptedConn) run(ctx context.Context) {
	if tlsConn, ok := a.conn.(*tls.Conn); ok {
		handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		if err := tlsConn.HandshakeContext(handshakeCtx); err != nil {
			a.server.refused.Add(1)
			a.conn.Close()
			return
		}
	}
	stream := newStream(a.conn)
	stream.writeTimeout = answerTimeout
	jsonrpc2.NewConn(ctx, stream, a.handler, jsonrpc2.SetLogger(discardLogger{}))
}

// Config configures a Client.
type Config struct {
	// Address is the peer's IP address and port.
	Address string
	// TLS is the TLS configuration; nil means plain TCP.
	TLS *tls.Config
	// Timeout bounds one call, including the time to connect.
	Timeout time.Duration
	// Traffic counts the bytes of the connection unless it is nil.
	Traffic *wire.Counter
	// Dial connects without TLS in place of net.Dialer, unless it is nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls one peer over one connection, which is opened when needed.
type Client struct {
	config Config
	mu     sync.Mutex
	conn   *clientConn
	// connecting is a semaphore of the call that connects.
	connecting chan struct{}
}

// NewClient returns a client; the first call connects it.
func NewClient(config Config) *Client {
	return &Client{config: config, connecting: make(chan struct{}, 1)}
}

// ErrNotSent is wrapped by the errors of calls that the peer has certainly not received.
var ErrNotSent = errors.New("call was not sent")

// Call sends in to a method of the peer and returns the answer. After an error that doesn't
// wrap ErrNotSent, the peer may or may not have acted.
func Call[In, Out any](ctx context.Context, c *Client, method string, in In) (Out, error) {
	var out Out
	parent := ctx
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return out, err
	}
	sent := time.Now()
	if err := conn.call(ctx, method, in, &out); err != nil {
		var rpcErr *jsonrpc2.Error
		if errors.As(err, &rpcErr) && rpcErr.Code == codeBusy {
			return out, errors.Wrapf(ErrBusy, "call %s of %s", method, c.config.Address)
		}
		// If the caller gave up, that tells nothing about the connection, which
		// other calls share, unless a message was written in part.
		if !errors.As(err, &rpcErr) && (parent.Err() == nil || conn.stream.failed.Load()) {
			c.discard(conn)
		} else if errors.Is(ctx.Err(), context.DeadlineExceeded) && conn.isSilent(sent, time.Now()) {
			c.retire(conn)
		}
		return out, errors.Wrapf(err, "call %s of %s", method, c.config.Address)
	}
	return out, nil
}

// IsAnswered reports whether the peer has answered a call with this error.
func IsAnswered(err error) bool {
	var rpcErr *jsonrpc2.Error
	return errors.As(err, &rpcErr) || errors.Is(err, ErrBusy)
}

// clientConn is a connection that the client has opened.
type clientConn struct {
	*jsonrpc2.Conn
	stream *stream
	// dispatching is a semaphore that lets one call at a time be written, so that it is known
	// of each whether the stream has written it.
	dispatching chan struct{}
	mu          sync.Mutex
	// silentSince is when the oldest call was sent that has reached its deadline while nothing
	// was received.
	silentSince time.Time
}

// maxSilence is how long a connection may leave calls unanswered until their deadlines, and
// carry nothing else, before later calls use a new one: it may be silent for good, and callers
// whose deadlines are below the client's timeout would never replace it.
const maxSilence = time.Second

// isSilent reports whether calls that have reached their deadlines, the last of which was sent
// at the given time, show that a connection is silent.
func (c *clientConn) isSilent(sent, now time.Time) bool {
	received := time.Unix(0, c.stream.receivedAt.Load())
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silentSince.After(received) {
		c.silentSince = sent
	}
	return c.silentSince.After(received) && now.Sub(c.silentSince) >= maxSilence
}

func (c *clientConn) call(ctx context.Context, method string, in, out any) error {
	waiter, err := c.dispatch(ctx, method, in)
	if err != nil {
		return err
	}
	return waiter.Wait(ctx, out)
}

func (c *clientConn) dispatch(ctx context.Context, method string, in any) (jsonrpc2.Waiter, error) {
	select {
	case c.dispatching <- struct{}{}:
	case <-ctx.Done():
		return jsonrpc2.Waiter{}, errors.Wrapf(ErrNotSent, "wait for earlier calls to be written: %s", ctx.Err())
	}
	defer func() { <-c.dispatching }()
	before := c.stream.written.Load()
	waiter, err := c.DispatchCall(ctx, method, in)
	if err != nil && c.stream.written.Load() == before {
		err = errors.Wrapf(ErrNotSent, "%s", err)
	}
	return waiter, err
}

// current returns the open connection, or nil.
func (c *Client) current() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// trustTime is how long a connection may have been without a byte from the peer when a call is sent on it. One that
// goes silent while nothing is sent would cost the next call its whole time, and 3 s after
// connections have gone silent calls have to work again as before.
const trustTime = 2500 * time.Millisecond

// isUnheard reports whether nothing was received for longer than trustTime.
func (c *clientConn) isUnheard(now time.Time) bool {
	return now.Sub(time.Unix(0, c.stream.receivedAt.Load())) > trustTime
}

// connect returns the open connection, or opens one. While another call does that, it waits for
// it, but not beyond the end of ctx.
func (c *Client) connect(ctx context.Context) (*clientConn, error) {
	if conn := c.current(); conn != nil {
		if !conn.isUnheard(time.Now()) {
			return conn, nil
		}
		c.retire(conn)
	}
	select {
	case c.connecting <- struct{}{}:
		defer func() { <-c.connecting }()
	case <-ctx.Done():
		return nil, errors.Wrapf(ErrNotSent, "wait for the connection to %s: %s", c.config.Address, ctx.Err())
	}
	if conn := c.current(); conn != nil {
		return conn, nil
	}
	raw, err := c.dial(ctx)
	if err != nil {
		return nil, errors.Wrapf(ErrNotSent, "connect to %s: %s", c.config.Address, err)
	}
	// The connection outlives the call that opened it.
	background := context.WithoutCancel(ctx)
	stream := newStream(raw)
	stream.receivedAt.Store(time.Now().UnixNano()) // the peer has accepted
	// A call whose message takes longer to write has timed out.
	stream.writeTimeout = c.config.Timeout
	conn := &clientConn{stream: stream, dispatching: make(chan struct{}, 1), Conn: jsonrpc2.NewConn(background, stream, jsonrpc2.HandlerWithError(rejectCall),
		jsonrpc2.SetLogger(discardLogger{}))}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	return conn, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	dialer := &net.Dialer{}
	if c.config.TLS == nil {
		dial := c.config.Dial
		if dial == nil {
			dial = dialer.DialContext
		}
		conn, err := dial(ctx, "tcp", c.config.Address)
		if err != nil || c.config.Traffic == nil {
			return conn, err
		}
		return c.config.Traffic.Wrap(conn), nil
	}
	tlsDialer := &tls.Dialer{NetDialer: dialer, Config: c.config.TLS}
	return tlsDialer.DialContext(ctx, "tcp", c.config.Address)
}

// discardLogger drops the log lines of the jsonrpc2 library. Callers count the
// calls that fail.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// rejectCall answers calls that a server makes over a client's connection.
func rejectCall(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "this side of the connection serves no calls"}
}

func (c *Client) discard(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
	}
	conn.Close()
}

// retire lets later calls use a new connection. Calls in flight may still be answered on the
// present one.
func (c *Client) retire(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.conn = nil
		time.AfterFunc(c.config.Timeout, func() { conn.Close() })
	}
}

// Close closes the connection. A later call opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
