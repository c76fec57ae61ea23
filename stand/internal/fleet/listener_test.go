package fleet

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"
)

func expectDial(t *testing.T, address string, wantSuccess bool) net.Conn {
	t.Helper()
	for {
		conn, err := net.Dial("tcp", address)
		if (err == nil) == wantSuccess {
			return conn
		}
		if err == nil {
			conn.Close()
		}
	}
}

// acceptor accepts connections until the listener is closed.
type acceptor struct{ listener *hostListener }

func (a acceptor) run() {
	for {
		if _, err := a.listener.Accept(); err != nil {
			return
		}
	}
}

func TestListenerOfDownHost(t *testing.T) {
	var down atomic.Bool
	l, err := newHostListener("127.0.0.1:0", down.Load)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer l.Close()
	go acceptor{l}.run()
	address := l.Addr().String()
	conn := expectDial(t, address, true)

	down.Store(true)
	expectDial(t, address, false)
	t.Run("open connection is closed", func(t *testing.T) {
		_, err := conn.Read(make([]byte, 1))
		quicktest.Assert(t, err, quicktest.IsNotNil)
	})
	down.Store(false)
	t.Run("accepts again", func(t *testing.T) { expectDial(t, address, true).Close() })
}
