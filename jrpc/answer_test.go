package jrpc_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"indigoglade/bubble"
	"indigoglade/clock"
	"indigoglade/jrpc"
)

// oneListener accepts one connection.
type oneListener struct {
	net.Listener
	conn   net.Conn
	closed chan struct{}
}

func (l *oneListener) Accept() (net.Conn, error) {
	if conn := l.conn; conn != nil {
		l.conn = nil
		return conn, nil
	}
	<-l.closed
	return nil, net.ErrClosed
}

func (l *oneListener) Close() error {
	close(l.closed)
	return nil
}

// TestUnreadAnswers guards against a peer that reads no answers, or whose side of a link is cut: each of its calls would
// wait for the answers before it, without end.
func TestUnreadAnswers(t *testing.T) {
	expect := func(name string, after time.Duration, open bool) {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				mux := jrpc.NewMux()
				jrpc.Handle(mux, "echo", func(_ context.Context, in echo) (echo, error) { return in, nil })
				near, far := net.Pipe()
				ctx, cancel := context.WithCancel(context.Background())
				run := &background{ctx: ctx, task: jrpc.NewServer(&oneListener{conn: far, closed: make(chan struct{})}, mux).Run, done: make(chan struct{})}
				go run.run()
				defer func() {
					near.Close()
					cancel()
					<-run.done
				}()
				call := []byte(`{"jsonrpc":"2.0","id":1,"method":"echo","params":{"text":"a"}}` + "\n")
				_, err := near.Write(call)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, clock.System{}.Sleep(ctx, after), qt.IsNil)
				_, err = near.Write(call)
				qt.Assert(t, err == nil, qt.Equals, open, qt.Commentf("%v", err))
				qt.Assert(t, open || errors.Is(err, io.ErrClosedPipe), qt.IsTrue)
			})
		})
	}
	expect("are waited for", 3*time.Second, true)
	expect("end the connection", 6*time.Second, false)
}
