package jrpc_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"indigoglade/bubble"
	"indigoglade/clock"
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

// pipeConn is the caller's end of a connection whose next write fails after some bytes.
type pipeConn struct {
	net.Conn
	writes int
	failAt int // the number of the write that fails; 0 if none does
	sent   int // the bytes of it that are sent, or all but -sent of them
}

func (c *pipeConn) Write(data []byte) (int, error) {
	c.writes++
	if c.writes != c.failAt {
		return c.Conn.Write(data)
	}
	n := c.sent
	if n < 0 {
		n += len(data)
	}
	_, _ = c.Conn.Write(data[:n])
	c.Conn.Close()
	return n, net.ErrClosed
}

// TestNotSent guards against calls that count as perhaps carried out although the peer has not
// received them, and the reverse.
func TestNotSent(t *testing.T) {
	call := func(client *jrpc.Client) error {
		_, err := jrpc.Call[echo, echo](context.Background(), client, "echo", echo{Text: "a"})
		return err
	}
	// failing returns a client whose second call fails in its write.
	failing := func(t *testing.T, sent int) *jrpc.Client {
		_, _, address := newPeer(t)
		client := jrpc.NewClient(jrpc.Config{Address: address, Timeout: 5 * time.Second, Dial: func(_ context.Context, network, address string) (net.Conn, error) {
			conn, err := net.Dial(network, address)
			return &pipeConn{Conn: conn, failAt: 2, sent: sent}, err
		}})
		t.Cleanup(client.Close)
		qt.Assert(t, call(client), qt.IsNil)
		return client
	}
	t.Run("without a connection", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		listener.Close()
		qt.Assert(t, call(jrpc.NewClient(jrpc.Config{Address: listener.Addr().String(), Timeout: time.Second})), qt.ErrorIs, jrpc.ErrNotSent)
	})
	t.Run("when only a part of the message was written", func(t *testing.T) {
		client := failing(t, 10)
		qt.Assert(t, call(client), qt.ErrorIs, jrpc.ErrNotSent)
		qt.Assert(t, call(client), qt.IsNil, qt.Commentf("the next call must use a new connection"))
	})
	t.Run("not when all but the end of the line was written", func(t *testing.T) {
		err := call(failing(t, -1))
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, err, qt.Not(qt.ErrorIs), jrpc.ErrNotSent)
	})
	t.Run("not when the answer is lost", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		defer listener.Close()
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1000))
			conn.Close()
		}()
		err = call(jrpc.NewClient(jrpc.Config{Address: listener.Addr().String(), Timeout: 5 * time.Second}))
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, err, qt.Not(qt.ErrorIs), jrpc.ErrNotSent)
	})
}

// TestCallsEndInTime guards against calls that outlast their deadline because another call to the
// same peer connects, or because the peer reads nothing.
func TestCallsEndInTime(t *testing.T) {
	const (
		deadline = 50 * time.Millisecond
		latest   = 500 * time.Millisecond
	)
	expectInTime := func(t *testing.T, client *jrpc.Client, deadline time.Duration) error {
		t.Helper()
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		ended := make(chan error, 1)
		go func() {
			_, err := jrpc.Call[echo, echo](ctx, client, "echo", echo{Text: "a"})
			ended <- err
		}()
		select {
		case err := <-ended:
			qt.Assert(t, err, qt.IsNotNil)
			return err
		case <-time.After(latest):
			t.Fatal("the call has not ended")
			return nil
		}
	}
	t.Run("while another call connects", func(t *testing.T) {
		dialing := make(chan struct{})
		client := jrpc.NewClient(jrpc.Config{Address: "a", Timeout: 2 * time.Second, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			close(dialing)
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		go func() { _, _ = jrpc.Call[echo, echo](context.Background(), client, "echo", echo{}) }()
		<-dialing
		qt.Assert(t, expectInTime(t, client, deadline), qt.ErrorIs, jrpc.ErrNotSent)
	})
	// newSilent returns a client whose first connection is never read from by the peer.
	newSilent := func(t *testing.T, timeout time.Duration) *jrpc.Client {
		_, _, address := newPeer(t)
		dials := 0
		client := jrpc.NewClient(jrpc.Config{Address: address, Timeout: timeout, Dial: func(_ context.Context, network, address string) (net.Conn, error) {
			if dials++; dials > 1 {
				return net.Dial(network, address)
			}
			near, far := net.Pipe()
			t.Cleanup(func() { far.Close() })
			return near, nil
		}})
		t.Cleanup(client.Close)
		return client
	}
	t.Run("while the peer reads nothing", func(t *testing.T) {
		client := newSilent(t, 2*deadline)
		qt.Assert(t, expectInTime(t, client, 10*latest), qt.ErrorIs, jrpc.ErrNotSent)
		expectEcho(t, client, "a new connection")
	})
	t.Run("while another call is being written", func(t *testing.T) {
		client := newSilent(t, 2*time.Second)
		go func() { _, _ = jrpc.Call[echo, echo](context.Background(), client, "echo", echo{}) }()
		time.Sleep(deadline)
		qt.Assert(t, expectInTime(t, client, deadline), qt.ErrorIs, jrpc.ErrNotSent)
	})
}

// TestSilentConnection guards against a connection that is silent for good and is used by each
// call, because all of them have deadlines below the client's timeout.
func TestSilentConnection(t *testing.T) {
	const (
		deadline = 300 * time.Millisecond
		timeout  = 2 * time.Second
	)
	// newClient returns a client whose first connection loses all that is sent, and the number
	// of its connections.
	newClient := func(t *testing.T) (*jrpc.Client, *int) {
		_, _, address := newPeer(t)
		dials := 0
		client := jrpc.NewClient(jrpc.Config{Address: address, Timeout: timeout, Dial: func(_ context.Context, network, address string) (net.Conn, error) {
			if dials++; dials > 1 {
				return net.Dial(network, address)
			}
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			t.Cleanup(func() { far.Close() })
			return near, nil
		}})
		t.Cleanup(client.Close)
		return client, &dials
	}
	call := func(client *jrpc.Client) error {
		ctx, cancel := context.WithTimeout(context.Background(), deadline)
		defer cancel()
		_, err := jrpc.Call[echo, echo](ctx, client, "echo", echo{Text: "a"})
		return err
	}
	t.Run("is replaced", func(t *testing.T) {
		client, dials := newClient(t)
		began := time.Now()
		for call(client) != nil {
			qt.Assert(t, time.Since(began) < 2*timeout, qt.IsTrue)
		}
		qt.Assert(t, *dials, qt.Equals, 2)
	})
	t.Run("is kept after one call without an answer", func(t *testing.T) {
		client, dials := newClient(t)
		qt.Assert(t, call(client), qt.IsNotNil)
		qt.Assert(t, call(client), qt.IsNotNil)
		qt.Assert(t, *dials, qt.Equals, 1)
	})
	t.Run("is kept while other calls are answered", func(t *testing.T) {
		mux := jrpc.NewMux()
		jrpc.Handle(mux, "echo", func(_ context.Context, in echo) (echo, error) { return in, nil })
		jrpc.Handle(mux, "wait", func(ctx context.Context, _ echo) (echo, error) {
			<-ctx.Done()
			return echo{}, ctx.Err()
		})
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		server := &background{ctx: ctx, task: jrpc.NewServer(listener, mux).Run, done: make(chan struct{})}
		go server.run()
		dials := 0
		client := jrpc.NewClient(jrpc.Config{Address: listener.Addr().String(), Timeout: timeout, Dial: func(_ context.Context, network, address string) (net.Conn, error) {
			dials++
			return net.Dial(network, address)
		}})
		defer func() {
			client.Close()
			cancel()
			<-server.done
		}()
		for range 5 {
			bounded, cancel := context.WithTimeout(ctx, deadline)
			_, err := jrpc.Call[echo, echo](bounded, client, "wait", echo{})
			cancel()
			qt.Assert(t, err, qt.IsNotNil)
			expectEcho(t, client, "a")
		}
		qt.Assert(t, dials, qt.Equals, 1)
	})
}

// pipeListener accepts one end of each pipe that dial makes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	l.conns <- far
	return near, nil
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	close(l.closed)
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// hushedConn loses what is sent once it is silent.
type hushedConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c hushedConn) Write(data []byte) (int, error) {
	if c.silent.Load() {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

// TestUnheardConnection guards against a call, such as a forwarded request, that is lost on a connection which has
// gone silent while nothing was sent on it.
func TestUnheardConnection(t *testing.T) {
	expectDials := func(name string, pause time.Duration, silent bool, want int) {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				mux := jrpc.NewMux()
				jrpc.Handle(mux, "echo", func(_ context.Context, in echo) (echo, error) { return in, nil })
				listener := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
				ctx, cancel := context.WithCancel(context.Background())
				server := &background{ctx: ctx, task: jrpc.NewServer(listener, mux).Run, done: make(chan struct{})}
				go server.run()
				dials, first := 0, atomic.Bool{}
				client := jrpc.NewClient(jrpc.Config{Timeout: time.Second, Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := listener.dial(ctx, network, address)
					if dials++; dials == 1 {
						conn = hushedConn{Conn: conn, silent: &first}
					}
					return conn, err
				}})
				for range 3 {
					expectEcho(t, client, "a")
					qt.Assert(t, clock.System{}.Sleep(t.Context(), pause), qt.IsNil)
				}
				first.Store(silent)
				expectEcho(t, client, "a")
				qt.Assert(t, dials, qt.Equals, want)
				client.Close()
				qt.Assert(t, clock.System{}.Sleep(t.Context(), 2*time.Second), qt.IsNil) // a retired connection is closed later
				cancel()
				<-server.done
			})
		})
	}
	expectDials("is not used", 3*time.Second, true, 4)
	expectDials("is used while it is heard", 2*time.Second, false, 1)
}

// flakyListener has no free descriptor for its first connections.
type flakyListener struct {
	net.Listener
	failures int
}

func (l *flakyListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestFullServer guards against processes that end because they had no free descriptor for a connection of
// another host.
func TestFullServer(t *testing.T) {
	mux := jrpc.NewMux()
	jrpc.Handle(mux, "echo", func(_ context.Context, in echo) (echo, error) { return in, nil })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	server := jrpc.NewServer(&flakyListener{Listener: listener, failures: 3}, mux)
	run := &background{ctx: ctx, task: server.Run, done: make(chan struct{})}
	go run.run()
	client := jrpc.NewClient(jrpc.Config{Address: listener.Addr().String(), Timeout: 5 * time.Second})
	defer client.Close()
	out, err := jrpc.Call[echo, echo](context.Background(), client, "echo", echo{Text: "a"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.Text, qt.Equals, "a")
	qt.Assert(t, server.AcceptFailures(), qt.Equals, int64(3))
	cancel()
	<-run.done
}

// TestLimit guards against calls of which each is bounded and that take the memory of a process together.
func TestLimit(t *testing.T) {
	limit := jrpc.NewLimit(jrpc.LimitConfig{MaxBytes: 100, SmallBytes: 10})
	expectTake := func(name string, bytes int64, want bool) {
		t.Run(name, func(t *testing.T) { qt.Assert(t, limit.Take(bytes), qt.Equals, want) })
	}
	expectUse := func(wantBytes, wantRefused int64) {
		t.Run("use", func(t *testing.T) {
			bytes, refused := limit.Use()
			qt.Assert(t, bytes, qt.Equals, wantBytes)
			qt.Assert(t, refused, qt.Equals, wantRefused)
		})
	}
	expectTake("a call beyond the limit while there is no other", 150, true)
	expectTake("one beside it", 1, false)
	limit.Give(150)
	expectTake("a large call", 40, true)
	expectTake("a second one, which leaves too little to small ones", 11, false)
	for range 6 {
		expectTake("a small one", 10, true)
	}
	expectUse(100, 2)
	expectTake("one too many", 1, false)
	limit.Give(40)
	expectTake("a small one in the place of a large one", 10, true)
	expectUse(70, 3)
}

// TestBusyPeer guards against calls that are decoded and carried out, or that are said to have been, when there is no
// room for them.
func TestBusyPeer(t *testing.T) {
	client, mux, _ := newPeer(t)
	limit := jrpc.NewLimit(jrpc.LimitConfig{MaxBytes: 30, SmallBytes: 30})
	began, leave := make(chan struct{}), make(chan struct{})
	calls := 0
	jrpc.HandleLimited(mux, "wait", limit, func(size int) int64 { return int64(size) }, func(_ context.Context, in echo) (echo, error) {
		calls++
		began <- struct{}{}
		<-leave
		return in, nil
	})
	first := &waitingCall{client: client, done: make(chan error)}
	go first.run()
	<-began
	_, err := jrpc.Call[echo, echo](context.Background(), client, "wait", echo{Text: "a second"})
	qt.Assert(t, errors.Is(err, jrpc.ErrBusy), qt.IsTrue, qt.Commentf("%v", err))
	qt.Assert(t, errors.Is(err, jrpc.ErrNotSent), qt.IsFalse)
	qt.Assert(t, jrpc.IsAnswered(err), qt.IsTrue)
	expectEcho(t, client, "not limited")
	close(leave)
	qt.Assert(t, <-first.done, qt.IsNil)
	qt.Assert(t, calls, qt.Equals, 1)
	bytes, refused := limit.Use()
	qt.Assert(t, bytes, qt.Equals, int64(0))
	qt.Assert(t, refused, qt.Equals, int64(1))
}

// waitingCall is a call of the method "wait".
type waitingCall struct {
	client *jrpc.Client
	done   chan error
}

func (c *waitingCall) run() {
	_, err := jrpc.Call[echo, echo](context.Background(), c.client, "wait", echo{Text: "the first"})
	c.done <- err
}
