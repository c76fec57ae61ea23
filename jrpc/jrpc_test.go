package jrpc_test

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"indigoglade/jrpc"
)

type echo struct {
	Text string `json:"text"`
}

// newPeer starts a server whose method "echo" returns its input and whose method "fail"
// panics, and returns a client and the server's address.
func newPeer(t *testing.T) (*jrpc.Client, *jrpc.Mux, string) {
	t.Helper()
	mux := jrpc.NewMux()
	jrpc.Handle(mux, "echo", func(_ context.Context, in echo) (echo, error) { return in, nil })
	jrpc.Handle(mux, "fail", func(context.Context, echo) (echo, error) { panic("broken") })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	server := &background{ctx: ctx, task: jrpc.NewServer(listener, mux).Run, done: make(chan struct{})}
	go server.run()
	client := jrpc.NewClient(jrpc.Config{Address: listener.Addr().String(), Timeout: 5 * time.Second})
	t.Cleanup(func() {
		client.Close()
		cancel()
		<-server.done
	})
	return client, mux, listener.Addr().String()
}

type background struct {
	ctx  context.Context
	task func(context.Context) error
	done chan struct{}
}

func (b *background) run() {
	defer close(b.done)
	_ = b.task(b.ctx) // the error at the end of ctx is of no interest
}

func expectEcho(t *testing.T, client *jrpc.Client, text string) {
	t.Helper()
	reply, err := jrpc.Call[echo, echo](context.Background(), client, "echo", echo{Text: text})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Text, qt.Equals, text)
}

// TestBadMessages guards against a peer whose message takes the process down.
func TestBadMessages(t *testing.T) {
	t.Run("a handler that panics ends its call only", func(t *testing.T) {
		client, mux, _ := newPeer(t)
		methods := make(chan string, 1)
		mux.OnPanic(func(method string, _ any) { methods <- method })
		_, err := jrpc.Call[echo, echo](context.Background(), client, "fail", echo{})
		qt.Assert(t, err, qt.ErrorMatches, ".*handler of fail failed.*")
		qt.Assert(t, <-methods, qt.Equals, "fail")
		qt.Assert(t, mux.Panics(), qt.Equals, int64(1))
		expectEcho(t, client, "still there")
	})
	expectSurvives := func(name string, message []byte) {
		t.Run(name, func(t *testing.T) {
			client, _, address := newPeer(t)
			conn, err := net.Dial("tcp", address)
			qt.Assert(t, err, qt.IsNil)
			defer conn.Close()
			_, _ = conn.Write(message) // fails when the server has closed the connection
			expectEcho(t, client, "still there")
		})
	}
	expectSurvives("bytes that are no message", []byte("\x00\xff{{{"))
	expectSurvives("a message nested too deep", bytes.Repeat([]byte("["), 1<<20))
	expectSurvives("parameters of another type", []byte(`{"jsonrpc":"2.0","id":1,"method":"echo","params":[1,2]}`))
	expectSurvives("a call without parameters", []byte(`{"jsonrpc":"2.0","id":1,"method":"echo"}`))
	t.Run("a message that is too large ends the connection", func(t *testing.T) {
		_, _, address := newPeer(t)
		conn, err := net.Dial("tcp", address)
		qt.Assert(t, err, qt.IsNil)
		defer conn.Close()
		chunk := bytes.Repeat([]byte("x"), 1<<20)
		_, err = conn.Write([]byte(`"`))
		for range 64 {
			if err != nil {
				break
			}
			_, err = conn.Write(chunk)
		}
		qt.Assert(t, err, qt.IsNotNil)
	})
}
