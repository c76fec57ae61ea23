package drain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"indigoglade/drain"
)

// conns is a listener for pipes.
type conns struct {
	net.Listener
	queue chan net.Conn
}

func (c conns) Accept() (net.Conn, error) {
	if conn := <-c.queue; conn != nil {
		return conn, nil
	}
	return nil, net.ErrClosed
}

func (c conns) Close() error {
	c.queue <- nil
	return nil
}

// stalledConn returns the result of some reads late, if they time out.
type stalledConn struct {
	net.Conn
	stalls atomic.Int64
}

const stallTime = 400 * time.Millisecond

func (c *stalledConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if err != nil && c.stalls.Add(-1) >= 0 {
		time.Sleep(stallTime)
	}
	return n, err
}

// site is a server and a connection to it.
type site struct {
	server *drain.Server
	client net.Conn
	conn   *stalledConn
}

// handle takes as long as the path says.
func handle(_ http.ResponseWriter, r *http.Request) {
	if took, err := time.ParseDuration(r.URL.Path[1:]); err == nil {
		time.Sleep(took)
	}
}

// expectResponse checks that a request is answered, and whether the response announces the end of the connection.
func expectResponse(t *testing.T, conn net.Conn, path string, last bool) {
	_, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a.example\r\n\r\n")
	qt.Check(t, err, qt.IsNil)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, response != nil && response.Close == last, qt.IsTrue)
}

// expectDrain drains for a second while during runs, and checks whether all connections have ended.
func expectDrain(t *testing.T, server *drain.Server, ended bool, during func()) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() { during(); close(done) }()
	qt.Check(t, server.Drain(ctx) == nil, qt.Equals, ended)
	server.Close()
	<-done
}

// Guards against requests that a drain drops, and against silent connections that hold it up.
func TestDrain(t *testing.T) {
	for name, test := range map[string]func(t *testing.T, s *site){
		"a new connection is closed": func(t *testing.T, s *site) {
			expectDrain(t, s.server, true, func() {})
		},
		"a silent connection is closed": func(t *testing.T, s *site) {
			expectResponse(t, s.client, "/", false)
			expectDrain(t, s.server, true, func() {})
		},
		"a response announces the end of its connection": func(t *testing.T, s *site) {
			s.server.CloseConnections()
			expectResponse(t, s.client, "/", true)
			s.server.Close()
		},
		"a request that arrives during the drain is answered": func(t *testing.T, s *site) {
			expectDrain(t, s.server, true, func() {
				time.Sleep(200 * time.Millisecond)
				expectResponse(t, s.client, "/500ms", true)
			})
		},
		"a request that arrives while the process does not run is answered": func(t *testing.T, s *site) {
			time.Sleep(time.Second)
			s.conn.stalls.Store(2)
			expectDrain(t, s.server, true, func() {
				time.Sleep(2*stallTime - time.Millisecond)
				expectResponse(t, s.client, "/", true)
			})
		},
		"a request that takes too long ends with the drain": func(t *testing.T, s *site) {
			go func() { _, _ = io.WriteString(s.client, "GET /3s HTTP/1.1\r\nHost: a.example\r\n\r\n") }()
			synctest.Wait()
			expectDrain(t, s.server, false, func() {})
			time.Sleep(3 * time.Second) // the handler returns
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := conns{queue: make(chan net.Conn, 3)}
				server := drain.New(drain.Config{Listener: listener, Handler: http.HandlerFunc(handle), IdleTimeout: time.Minute})
				client, inner := net.Pipe()
				conn := &stalledConn{Conn: inner}
				listener.queue <- conn
				go func() { _ = server.Serve() }()
				synctest.Wait()
				test(t, &site{server: server, client: client, conn: conn})
			})
		})
	}
}

// Guards against connections that the system resets because they wait to be accepted.
func TestQueuedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	client, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer client.Close()
	server := drain.New(drain.Config{Listener: listener, Handler: http.HandlerFunc(handle)})
	expectDrain(t, server, true, func() {
		time.Sleep(20 * time.Millisecond) // the drain begins
		go func() { _ = server.Serve() }()
		expectResponse(t, client, "/", true)
	})
}
