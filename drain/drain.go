// Package drain serves HTTP and stops without dropping requests that have arrived.
// http.Server.Shutdown closes connections whose request it has not read yet, and waits
// 5 s for new connections that send none.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"indigoglade/accept"
	"indigoglade/wire"
)

// Config configures a Server.
type Config struct {
	Listener net.Listener
	Handler  http.Handler
	// HeaderTimeout limits the time for reading the header of a request, IdleTimeout the
	// time between two requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
	MaxHeaderBytes             int
	// BodyTime limits the time for reading the body of a request, and WriteTime that of each write of a response; 0 means
	// without limit.
	BodyTime, WriteTime time.Duration
	// Traffic counts the bytes of all connections; nil counts nothing.
	Traffic *wire.Counter
	// MaxConns bounds the open connections; 0 means without bound. Beyond it the connection that has
	// been idle longest is closed for a new one. If none is idle, it is the one whose request has been arriving
	// longest, and the new one if none has had some time for that.
	MaxConns int
	// MaxLargeHeaders bounds the requests whose header takes much memory; 0 means without bound. Beyond it the connection
	// of the oldest one is closed.
	MaxLargeHeaders int
}

// Server is an HTTP server with a drain of its own.
type Server struct {
	handler  http.Handler
	listener *listener
	server   *http.Server
	// closing is whether responses ask for the end of their connection.
	closing, draining atomic.Bool
	mu                sync.Mutex
	conns             map[*conn]struct{}
	maxConns          int
	maxLargeHeaders   int
	bodyTime          time.Duration
	// idle holds the connections between two requests, arriving those whose request has not been read, and largeHeaders
	// those of which it has a large header.
	idle, arriving, largeHeaders *queue
	closedIdle, closedArriving   int64
	closedHeaders, refused       int64
	// allAccepted is whether no connection will be added to conns.
	allAccepted bool
	// drained is closed once all connections have ended and none will be accepted.
	drained chan struct{}
}

// New returns a server for a listener that is already open.
func New(config Config) *Server {
	s := &Server{
		handler: config.Handler, conns: make(map[*conn]struct{}), drained: make(chan struct{}),
		maxConns: config.MaxConns, maxLargeHeaders: config.MaxLargeHeaders, bodyTime: config.BodyTime,
		idle: newQueue(), arriving: newQueue(), largeHeaders: newQueue(),
	}
	s.listener = &listener{
		Listener: accept.New(config.Listener), traffic: config.Traffic, draining: &s.draining, writeTime: config.WriteTime, onLargeHeader: s.boundHeaders,
	}
	s.server = &http.Server{
		Handler: s, ConnState: s.track, ConnContext: withConn,
		ReadHeaderTimeout: config.HeaderTimeout, IdleTimeout: config.IdleTimeout, MaxHeaderBytes: config.MaxHeaderBytes,
	}
	return s
}

// Serve accepts connections until Drain or Close. It is called once.
func (s *Server) Serve() error {
	err := s.server.Serve(s.listener)
	s.mu.Lock()
	s.allAccepted = true
	s.signalDrained()
	s.mu.Unlock()
	if errors.Is(err, http.ErrServerClosed) || s.draining.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "serve HTTP")
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, s.receive(r))
}

// CloseConnections closes each connection after its next response, and announces that
// in the response. Connections are still accepted.
func (s *Server) CloseConnections() { s.closing.Store(true) }

// Drain accepts the connections that wait, closes the listener, answers the requests that
// have arrived and closes each connection after its response or when it is silent. It
// returns an error if ctx ends before; connections then remain open until Close.
func (s *Server) Drain(ctx context.Context) error {
	s.closing.Store(true)
	s.draining.Store(true)
	s.listener.stop()
	s.mu.Lock()
	for c := range s.conns {
		c.endRead()
	}
	s.mu.Unlock()
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		return errors.Wrapf(ctx.Err(), "%d connections are still open", len(s.conns))
	}
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Conn.Close() // without the time that a peer has to read its response
	}
	s.mu.Unlock()
	_ = s.server.Close() // fails only when the listener has been closed before
}

// track follows the connections of the HTTP server.
func (s *Server) track(netConn net.Conn, state http.ConnState) {
	c := netConn.(*conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle.remove(c)
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
		s.arriving.add(c)
		s.makeRoom(c)
	case http.StateActive:
		s.arriving.add(c)
	case http.StateIdle:
		s.arriving.remove(c)
		s.largeHeaders.remove(c)
		c.setAwaiting()
		s.idle.add(c)
	case http.StateClosed, http.StateHijacked:
		s.arriving.remove(c)
		s.largeHeaders.remove(c)
		delete(s.conns, c)
		s.signalDrained()
	}
}

// setRead notes that the whole request of a connection has been read.
func (s *Server) setRead(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arriving.remove(c)
}

// setSmall notes that the header of a request is not a large one.
func (s *Server) setSmall(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largeHeaders.remove(c)
}

// minArrival is how long a request may arrive before its connection can be closed for a new one.
const minArrival = 300 * time.Millisecond

// makeRoom closes a connection if there are too many. The caller holds the lock.
func (s *Server) makeRoom(newest *conn) {
	if s.maxConns == 0 || len(s.conns) <= s.maxConns {
		return
	}
	last := newest
	if c := s.idle.first(0); c != nil {
		last = c
		s.closedIdle++
	} else if c := s.arriving.first(minArrival); c != nil {
		last = c
		s.closedArriving++
	} else {
		s.refused++
	}
	s.end(last)
}

// boundHeaders adds a large header, and closes the connection of the oldest one if there are too many.
func (s *Server) boundHeaders(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.largeHeaders.add(c)
	if s.maxLargeHeaders > 0 && s.largeHeaders.len() > s.maxLargeHeaders {
		s.closedHeaders++
		s.end(s.largeHeaders.first(0))
	}
}

// end closes a connection at once. The HTTP server reports its end later. The caller holds the lock.
func (s *Server) end(c *conn) {
	s.idle.remove(c)
	s.arriving.remove(c)
	s.largeHeaders.remove(c)
	_ = c.Conn.Close() // fails only on a connection that is closed
}

// Connections counts the connections of a server.
type Connections struct {
	Open int `json:"open"`
	Idle int `json:"idle"`
	Most int `json:"most"`
	// ClosedIdle, ClosedArriving and Refused count the connections that were closed because there were too many: idle ones,
	// ones whose request had been arriving for some time, and new ones. ClosedHeaders counts those that were closed because
	// there were too many large headers, and Failed those that could not be accepted.
	ClosedIdle     int64 `json:"closed"`
	ClosedArriving int64 `json:"slow"`
	ClosedHeaders  int64 `json:"headers"`
	Refused        int64 `json:"refused"`
	Failed         int64 `json:"failed"`
}

// Connections returns the counts so far.
func (s *Server) Connections() Connections {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Connections{
		Open: len(s.conns), Idle: s.idle.len(), Most: s.maxConns, ClosedIdle: s.closedIdle, ClosedArriving: s.closedArriving,
		ClosedHeaders: s.closedHeaders, Refused: s.refused, Failed: s.listener.Failures(),
	}
}

// signalDrained closes drained if nothing is left. The caller holds the lock. After
// allAccepted the number of connections only falls, so that it becomes zero once.
func (s *Server) signalDrained() {
	if s.allAccepted && len(s.conns) == 0 {
		close(s.drained)
	}
}
