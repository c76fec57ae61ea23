package drain_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"indigoglade/bubble"
	"indigoglade/drain"
)

// crowded is a server with bounds on what clients take of it.
type crowded struct {
	server *drain.Server
	queue  chan net.Conn
	// errs are the errors with which the bodies ended.
	errs chan error
}

// Bounds of the server.
const (
	mostConns = 3
	bodyTime  = 10 * time.Second
	writeTime = 5 * time.Second
)

// ServeHTTP reads the body, or stops it, and takes as long as the path says.
func (c *crowded) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/stop" {
		w.Header().Set("Connection", "close")
		drain.StopReading(r.Context())
	}
	_, err := io.Copy(io.Discard, r.Body)
	c.errs <- err
	handle(w, r)
	if r.URL.Path == "/large" {
		_, _ = io.WriteString(w, strings.Repeat("a", 1<<20))
	}
}

func runCrowded(t *testing.T, name string, test func(t *testing.T, c *crowded)) {
	t.Run(name, func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			c := &crowded{queue: make(chan net.Conn, 3), errs: make(chan error, 1000)}
			c.server = drain.New(drain.Config{
				Listener: conns{queue: c.queue}, Handler: c, HeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxConns: mostConns,
				BodyTime: bodyTime, WriteTime: writeTime, MaxLargeHeaders: 2,
			})
			go func() { _ = c.server.Serve() }()
			test(t, c)
			c.server.Close()
		})
	})
}

// send opens a connection and sends text on it.
func (c *crowded) send(text string) net.Conn {
	client, inner := net.Pipe()
	c.queue <- inner
	go func() { _, _ = io.WriteString(client, text) }()
	synctest.Wait()
	return client
}

const header = "POST %s HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n"

// expectEnd checks that a connection ends without a response after some time.
func expectEnd(t *testing.T, conn net.Conn, after time.Duration) {
	t.Helper()
	start := time.Now()
	_, err := conn.Read(make([]byte, 1))
	qt.Assert(t, errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, time.Since(start), qt.Equals, after)
}

// expectOK checks that a request is answered, and whether the response ends the connection.
func expectOK(t *testing.T, conn net.Conn, last bool) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusOK)
	qt.Assert(t, response.Close, qt.Equals, last)
}

// TestArrival guards against requests that are never whole: they hold memory and connections, and keep others out.
func TestArrival(t *testing.T) {
	runCrowded(t, "a body has a time to arrive", func(t *testing.T, c *crowded) {
		client := c.send(fmt.Sprintf(header, "/", 100) + "abc")
		start := time.Now()
		qt.Assert(t, errors.Is(<-c.errs, os.ErrDeadlineExceeded), qt.IsTrue)
		qt.Assert(t, time.Since(start), qt.Equals, bodyTime)
		client.Close()
	})
	runCrowded(t, "a request that takes longer than its body may is answered", func(t *testing.T, c *crowded) {
		client := c.send(fmt.Sprintf(header, "/20s", 3) + "abc")
		expectOK(t, client, false)
		qt.Assert(t, <-c.errs, qt.IsNil)
		expectResponse(t, client, "/", false)
	})
	runCrowded(t, "a stopped body ends at once, and the response arrives", func(t *testing.T, c *crowded) {
		client := c.send(fmt.Sprintf(header, "/stop", 100) + "abc")
		qt.Assert(t, errors.Is(<-c.errs, os.ErrDeadlineExceeded), qt.IsTrue)
		expectOK(t, client, true)
		_, err := io.WriteString(client, "more that is dropped")
		qt.Assert(t, err, qt.IsNil)
		expectEnd(t, client, 500*time.Millisecond)
	})
	runCrowded(t, "a stopped connection whose client has left is closed at once", func(t *testing.T, c *crowded) {
		client := c.send(fmt.Sprintf(header, "/stop", 100) + "abc")
		expectOK(t, client, true)
		client.Close()
		synctest.Wait()
		qt.Assert(t, c.server.Connections().Open, qt.Equals, 0)
	})
	runCrowded(t, "a response that nobody takes has a time", func(t *testing.T, c *crowded) {
		client := c.send("GET /large HTTP/1.1\r\nHost: a.example\r\n\r\n")
		time.Sleep(writeTime)
		synctest.Wait()
		qt.Assert(t, c.server.Connections().Open, qt.Equals, 0)
		client.Close()
	})
}

// TestMaxArriving guards against connections with unfinished requests that keep all new ones out.
func TestMaxArriving(t *testing.T) {
	expectClosed := func(t *testing.T, c *crowded, arriving, refused int64) {
		t.Helper()
		synctest.Wait()
		counts := c.server.Connections()
		qt.Assert(t, []int64{counts.ClosedArriving, counts.Refused}, qt.DeepEquals, []int64{arriving, refused})
	}
	for name, text := range map[string]string{
		"nothing":            "",
		"a part of a header": "GET / HTTP/1.1\r\nHost:",
		"a part of a body":   fmt.Sprintf(header, "/", 100) + "abc",
	} {
		runCrowded(t, "the one that has sent "+name+" for longest is closed", func(t *testing.T, c *crowded) {
			var open []net.Conn
			for range mostConns {
				open = append(open, c.send(text))
				time.Sleep(time.Second)
			}
			newest := c.send("")
			expectEnd(t, open[0], 0)
			expectResponse(t, newest, "/", false)
			expectClosed(t, c, 1, 0)
			for _, conn := range open {
				conn.Close()
			}
		})
	}
	runCrowded(t, "a request that began to arrive just now is kept", func(t *testing.T, c *crowded) {
		var open []net.Conn
		for range mostConns {
			open = append(open, c.send(fmt.Sprintf(header, "/", 3)+"ab"))
		}
		expectEnd(t, c.send(""), 0)
		for _, conn := range open {
			_, err := io.WriteString(conn, "c")
			qt.Assert(t, err, qt.IsNil)
			expectOK(t, conn, false)
		}
		expectClosed(t, c, 0, 1)
	})
	runCrowded(t, "a request that has arrived is kept", func(t *testing.T, c *crowded) {
		var open []net.Conn
		for range mostConns {
			open = append(open, c.send(fmt.Sprintf(header, "/5s", 3)+"abc"))
		}
		time.Sleep(time.Second)
		expectEnd(t, c.send(""), 0)
		for _, conn := range open {
			expectOK(t, conn, false)
		}
		expectClosed(t, c, 0, 1)
	})
}

// TestLargeHeaders guards against headers of many short fields: their parsed form takes many times their size.
func TestLargeHeaders(t *testing.T) {
	fields := func(n, size int) string {
		return "GET /5s HTTP/1.1\r\nHost: a.example\r\n" + strings.Repeat("a: "+strings.Repeat("b", size)+"\r\n", n)
	}
	expect := func(name, text string, closed int64) {
		runCrowded(t, name, func(t *testing.T, c *crowded) {
			var open []net.Conn
			for range mostConns {
				open = append(open, c.send(text))
			}
			qt.Assert(t, c.server.Connections().ClosedHeaders, qt.Equals, closed)
			for _, conn := range open {
				conn.Close()
			}
			time.Sleep(6 * time.Second) // the handlers return
		})
	}
	expect("many short fields", fields(100, 1), 1)
	expect("many short fields, complete", fields(100, 1)+"\r\n", 1)
	expect("a long field", fields(1, 10000), 1)
	expect("a usual header", fields(10, 30), 0)
	expect("a usual header, complete", fields(10, 30)+"\r\n", 0)
	expect("a body of many lines", fmt.Sprintf(header, "/5s", 10000)+strings.Repeat("\n", 10000), 0)
	runCrowded(t, "headers of earlier requests do not count", func(t *testing.T, c *crowded) {
		client := c.send("")
		for range 200 {
			expectResponse(t, client, "/", false)
		}
		qt.Assert(t, c.server.Connections().ClosedHeaders, qt.Equals, int64(0))
	})
}
