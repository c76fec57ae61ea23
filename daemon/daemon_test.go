package daemon_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"indigoglade/daemon"
)

// stalledListener accepts connections whose reads return after resume is closed, like those of a
// process that gets no processor time.
type stalledListener struct {
	net.Listener
	accepted, arrived, resume chan struct{}
}

func (l *stalledListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	l.accepted <- struct{}{}
	return &stalledConn{Conn: conn, listener: l}, err
}

type stalledConn struct {
	net.Conn
	listener *stalledListener
}

func (c *stalledConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.listener.arrived <- struct{}{}
		<-c.listener.resume
	}
	return n, err
}

// Guards against a stop that drops a request which has arrived and is not read yet, or that waits
// for a connection without a request.
func TestStop(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	listener := &stalledListener{Listener: inner, accepted: make(chan struct{}, 3), arrived: make(chan struct{}, 1), resume: make(chan struct{})}
	group := daemon.New(daemon.Config{Name: "test", Output: io.Discard, StopTimeout: 4 * time.Second})
	group.ServeOn(listener, http.NotFoundHandler(), nil)
	end, stopped := make(chan struct{}), make(chan struct{})
	group.Add(func(context.Context) error { <-end; return nil })
	go func() { _ = group.Run(); close(stopped) }()
	var conns [2]net.Conn
	for i := range conns {
		conns[i], err = net.Dial("tcp", inner.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		defer conns[i].Close()
		<-listener.accepted
	}
	_, err = io.WriteString(conns[0], "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
	qt.Assert(t, err, qt.IsNil)
	<-listener.arrived
	close(end)
	time.Sleep(50 * time.Millisecond) // the stop begins
	close(listener.resume)
	response, err := http.ReadResponse(bufio.NewReader(conns[0]), nil)
	qt.Check(t, err, qt.IsNil)
	qt.Check(t, response != nil && response.Close, qt.IsTrue)
	select {
	case <-stopped:
	case <-time.After(2 * time.Second):
		t.Fatal("the group has not stopped")
	}
}
