package tunnel_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"indigoglade/clock"
	"indigoglade/tunnel"
)

// echoServer answers each connection with the first byte that it reads.
type echoServer struct{ listener net.Listener }

func (e echoServer) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		one := make([]byte, 1)
		if _, err := conn.Read(one); err == nil {
			_, _ = conn.Write(one)
		}
	}
}

func expectEcho(t *testing.T, address string, works bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer conn.Close()
	_, _ = conn.Write([]byte{7})
	quicktest.Assert(t, conn.SetReadDeadline(clock.System{}.Now().Add(400*time.Millisecond)), quicktest.IsNil)
	_, err = conn.Read(make([]byte, 1))
	quicktest.Assert(t, err == nil, quicktest.Equals, works)
}

func TestTunnel(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer server.Close()
	go echoServer{server}.run()
	var mode atomic.Int64
	proxy, err := tunnel.New(tunnel.Config{
		Listen: "127.0.0.1:0", Address: server.Addr().String(), Delay: 100 * time.Millisecond, Clock: clock.System{},
		Mode: func() tunnel.Mode { return tunnel.Mode(mode.Load()) },
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	go proxy.Run(t.Context())
	for _, test := range []struct {
		name  string
		mode  tunnel.Mode
		works bool
	}{
		{"whole", tunnel.Pass, true},
		{"cut", tunnel.Disconnect, false},
		{"silent", tunnel.DropAll, false},
		{"no answers", tunnel.DropResponses, false},
		{"no requests", tunnel.DropRequests, false},
		{"slow", tunnel.Slow, true},
		{"whole again", tunnel.Pass, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			mode.Store(int64(test.mode))
			expectEcho(t, proxy.Address(), test.works)
		})
	}
	t.Run("a connection that dropped data delivers no later data", func(t *testing.T) {
		conn, err := net.Dial("tcp", proxy.Address())
		quicktest.Assert(t, err, quicktest.IsNil)
		defer conn.Close()
		mode.Store(int64(tunnel.DropRequests))
		_, _ = conn.Write([]byte{7})
		quicktest.Assert(t, conn.SetReadDeadline(clock.System{}.Now().Add(100*time.Millisecond)), quicktest.IsNil)
		_, err = conn.Read(make([]byte, 1))
		quicktest.Assert(t, err, quicktest.IsNotNil)
		mode.Store(int64(tunnel.Pass))
		_, _ = conn.Write([]byte{7})
		quicktest.Assert(t, conn.SetReadDeadline(clock.System{}.Now().Add(200*time.Millisecond)), quicktest.IsNil)
		_, err = conn.Read(make([]byte, 1))
		quicktest.Assert(t, err, quicktest.IsNotNil)
	})
	t.Run("a reset closes open connections", func(t *testing.T) {
		conn, err := net.Dial("tcp", proxy.Address())
		quicktest.Assert(t, err, quicktest.IsNil)
		defer conn.Close()
		_, _ = conn.Write([]byte{7})
		_, err = conn.Read(make([]byte, 1))
		quicktest.Assert(t, err, quicktest.IsNil)
		proxy.Reset()
		_, err = conn.Read(make([]byte, 1))
		quicktest.Assert(t, err, quicktest.IsNotNil)
	})
}
