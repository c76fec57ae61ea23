package fleet

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"
)

func expectDial(t *testing.T, address string, works bool) net.Conn {
	t.Helper()
	for {
		conn, err := net.Dial("tcp", address)
		if (err == nil) == works {
			return conn
		}
		if err == nil {
			conn.Close()
		}
	}
}

// acceptor takes connections from a gate until it is closed.
type acceptor struct{ gate *gate }

func (a acceptor) run() {
	for {
		if _, err := a.gate.Accept(); err != nil {
			return
		}
	}
}

func TestGateOfDownHost(t *testing.T) {
	var down atomic.Bool
	g, err := newGate("127.0.0.1:0", down.Load)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer g.Close()
	go acceptor{g}.run()
	address := g.Addr().String()
	conn := expectDial(t, address, true)

	down.Store(true)
	expectDial(t, address, false)
	t.Run("open connection breaks", func(t *testing.T) {
		_, err := conn.Read(make([]byte, 1))
		quicktest.Assert(t, err, quicktest.IsNotNil)
	})
	down.Store(false)
	t.Run("comes back", func(t *testing.T) { expectDial(t, address, true).Close() })
}
