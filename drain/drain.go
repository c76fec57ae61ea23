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
	// Traffic counts the bytes of all connections; nil counts nothing.
	Traffic *wire.Counter
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
	// allAccepted is whether no connection will be added to conns.
	allAccepted bool
	// drained is closed once all connections have ended and none will be accepted.
	drained chan struct{}
}

// New returns a server for a listener that is already open.
func New(config Config) *Server {
	s := &Server{handler: config.Handler, conns: make(map[*conn]struct{}), drained: make(chan struct{})}
	s.listener = &listener{Listener: config.Listener, traffic: config.Traffic, draining: &s.draining}
	s.server = &http.Server{
		Handler: s, ConnState: s.track,
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
	s.handler.ServeHTTP(w, r)
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
	_ = s.server.Close() // fails only when the listener has been closed before
}

// track follows the connections of the HTTP server.
func (s *Server) track(netConn net.Conn, state http.ConnState) {
	c := netConn.(*conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateIdle:
		c.setAwaiting()
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
		s.signalDrained()
	}
}

// signalDrained closes drained if nothing is left. The caller holds the lock. After
// allAccepted the number of connections only falls, so that it becomes zero once.
func (s *Server) signalDrained() {
	if s.allAccepted && len(s.conns) == 0 {
		close(s.drained)
	}
}
