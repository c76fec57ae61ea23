package accept_test

import (
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"indigoglade/accept"
	"indigoglade/bubble"
)

// failing is a listener that fails some times before it accepts.
type failing struct {
	net.Listener
	errs   []error
	closed bool
}

func (f *failing) Accept() (net.Conn, error) {
	if len(f.errs) == 0 {
		near, _ := net.Pipe()
		return near, nil
	}
	err := f.errs[0]
	f.errs = f.errs[1:]
	return nil, err
}

func (f *failing) Close() error {
	f.closed = true
	return nil
}

// system returns an error as the net package does.
func system(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
}

// TestListen guards against what clients have sent and nobody reads, which fills the memory of the machine: the system's
// buffers grow to megabytes for each connection.
func TestListen(t *testing.T) {
	const size = 16 << 10
	listener, err := accept.Listen(t.Context(), "127.0.0.1:0", size)
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer client.Close()
	server, err := listener.Accept()
	qt.Assert(t, err, qt.IsNil)
	defer server.Close()
	raw, err := server.(*net.TCPConn).SyscallConn()
	qt.Assert(t, err, qt.IsNil)
	for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
		qt.Assert(t, raw.Control(func(file uintptr) {
			got, err := syscall.GetsockoptInt(int(file), syscall.SOL_SOCKET, option)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, got, qt.Equals, size)
		}), qt.IsNil)
	}
	_, err = accept.Listen(t.Context(), listener.Addr().String(), 0)
	qt.Assert(t, err, qt.ErrorMatches, "listen on 127.0.0.1:.*")
}

// TestAccept guards against processes that end by themselves because they had no free descriptor for a
// moment.
func TestAccept(t *testing.T) {
	expect := func(name string, want error, failures int64, took time.Duration, errs ...error) {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				l := accept.New(&failing{errs: errs})
				began := time.Now()
				conn, err := l.Accept()
				qt.Assert(t, errors.Is(err, want), qt.IsTrue, qt.Commentf("%v", err))
				qt.Assert(t, conn != nil, qt.Equals, want == nil)
				qt.Assert(t, l.Failures(), qt.Equals, failures)
				qt.Assert(t, time.Since(began), qt.Equals, took)
			})
		})
	}
	full, refused := system(syscall.EMFILE), system(syscall.EBADF)
	expect("a connection", nil, 0, 0)
	expect("no free descriptor", nil, 3, 35*time.Millisecond, full, full, full)
	expect("no memory for a socket", nil, 1, 5*time.Millisecond, system(syscall.ENOBUFS))
	expect("a connection that has ended", nil, 1, 5*time.Millisecond, system(syscall.ECONNABORTED))
	expect("the pause is bounded", nil, 10, 1115*time.Millisecond, full, full, full, full, full, full, full, full, full, full)
	expect("a closed listener", net.ErrClosed, 0, 0, net.ErrClosed)
	expect("a listener that is none", syscall.EBADF, 1, 5*time.Millisecond, full, refused)
	expect("a deadline", os.ErrDeadlineExceeded, 0, 0, os.ErrDeadlineExceeded)
	t.Run("closed during a pause", func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			inner := &failing{errs: []error{full, full, full, full, full, full}}
			l := accept.New(inner)
			time.AfterFunc(20*time.Millisecond, func() { l.Close() })
			_, err := l.Accept()
			qt.Assert(t, err, qt.Equals, net.ErrClosed)
			synctest.Wait() // Close goes on after Accept has ended
			qt.Assert(t, inner.closed, qt.IsTrue)
			qt.Assert(t, l.Close(), qt.IsNil)
		})
	})
}
