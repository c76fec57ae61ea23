// Package accept keeps a listener in use through errors that pass, such as a process that has no free
// descriptor for a moment.
package accept

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Pauses before Accept tries again, which double with each error in a row.
const (
	minPause = 5 * time.Millisecond
	maxPause = 200 * time.Millisecond
)

// passing are the errors that say nothing about the listener: the process or the machine is short of
// descriptors or memory, or a connection ended before it was accepted.
var passing = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EINTR, syscall.EPERM,
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH,
}

// systemFactor is by how much the system multiplies the size of a buffer that it is asked for, to allow for what it keeps
// beside the bytes. On loopback the bytes alone may take all of it.
const systemFactor = 2

// Listen listens on a TCP address. The system's buffers of its connections have some bytes each; 0 leaves them to the
// system. What a connection has received and nothing has read counts toward the memory of the machine.
func Listen(ctx context.Context, address string, bufferBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		if bufferBytes == 0 {
			return nil
		}
		// Connections inherit the sizes. Where the system refuses them, connections work with its own.
		return conn.Control(func(file uintptr) {
			_ = syscall.SetsockoptInt(int(file), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes/systemFactor)
			_ = syscall.SetsockoptInt(int(file), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bufferBytes/systemFactor)
		})
	}}
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, errors.Wrapf(err, "listen on %s", address)
}

// Listener is a listener whose Accept tries again after errors that pass.
type Listener struct {
	net.Listener
	failures atomic.Int64
	closed   chan struct{}
	once     sync.Once
}

// New returns a listener for one that is already open.
func New(inner net.Listener) *Listener {
	return &Listener{Listener: inner, closed: make(chan struct{})}
}

// Failures returns the number of errors that have passed.
func (l *Listener) Failures() int64 { return l.failures.Load() }

// Accept waits for a connection. Its errors are those that don't pass.
func (l *Listener) Accept() (net.Conn, error) {
	pause := minPause
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !slices.ContainsFunc(passing, func(p error) bool { return errors.Is(err, p) }) {
			return conn, err
		}
		l.failures.Add(1)
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-l.closed:
			timer.Stop()
			return nil, net.ErrClosed
		}
		pause = min(2*pause, maxPause)
	}
}

// Close closes the listener and ends Accept.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// SetDeadline sets the time at which Accept returns without a connection, if the listener can.
func (l *Listener) SetDeadline(deadline time.Time) error {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok {
		return d.SetDeadline(deadline)
	}
	return errors.New("the listener has no deadlines")
}
