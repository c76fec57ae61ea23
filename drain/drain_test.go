package drain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"indigoglade/bubble"
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
			bubble.Test(t, func(t *testing.T) {
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

// TestMaxConns guards against a process that has no descriptor left for its files, the store and other
// hosts, because its callers' connections have them all.
func TestMaxConns(t *testing.T) {
	const most = 3
	run := func(name string, test func(t *testing.T, server *drain.Server, connect func() net.Conn)) {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				listener := conns{queue: make(chan net.Conn, 3)}
				server := drain.New(drain.Config{Listener: listener, Handler: http.HandlerFunc(handle), IdleTimeout: time.Minute, MaxConns: most})
				go func() { _ = server.Serve() }()
				defer server.Close()
				test(t, server, func() net.Conn {
					client, inner := net.Pipe()
					listener.queue <- inner
					time.Sleep(10 * time.Millisecond)
					return client
				})
			})
		})
	}
	isOpen := func(conn net.Conn) bool { // a closed pipe has no deadlines
		if conn.SetReadDeadline(time.Now().Add(time.Millisecond)) != nil {
			return false
		}
		_, err := conn.Read(make([]byte, 1))
		return errors.Is(err, os.ErrDeadlineExceeded) && conn.SetReadDeadline(time.Time{}) == nil
	}
	expectCounts := func(t *testing.T, server *drain.Server, open, idle int, closedIdle, refused int64) {
		t.Helper()
		synctest.Wait() // a connection is idle just after its response
		qt.Assert(t, server.Connections(), qt.Equals, drain.Connections{Open: open, Idle: idle, Most: most, ClosedIdle: closedIdle, Refused: refused})
	}
	run("the one that has been idle longest is closed", func(t *testing.T, server *drain.Server, connect func() net.Conn) {
		var open []net.Conn
		for range most {
			open = append(open, connect())
			expectResponse(t, open[len(open)-1], "/", false)
			time.Sleep(time.Second)
		}
		expectResponse(t, open[0], "/", false)
		expectCounts(t, server, most, most, 0, 0)
		newest := connect()
		expectResponse(t, newest, "/", false)
		qt.Assert(t, []bool{isOpen(open[0]), isOpen(open[1]), isOpen(open[2]), isOpen(newest)}, qt.DeepEquals, []bool{true, false, true, true})
		expectCounts(t, server, most, most, 1, 0)
	})
	run("the newest is refused if none is idle", func(t *testing.T, server *drain.Server, connect func() net.Conn) {
		var open []net.Conn
		for range most {
			conn := connect()
			open = append(open, conn)
			_, err := io.WriteString(conn, "GET /5s HTTP/1.1\r\nHost: a.example\r\n\r\n")
			qt.Assert(t, err, qt.IsNil)
		}
		time.Sleep(time.Second)
		newest := connect()
		qt.Assert(t, isOpen(newest), qt.IsFalse)
		expectCounts(t, server, most, 0, 0, 1)
		for _, conn := range open {
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
		}
		time.Sleep(time.Second)
		expectResponse(t, connect(), "/", false)
		expectCounts(t, server, most, most, 1, 1)
	})
}
