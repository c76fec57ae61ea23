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

// echoes answers each connection with the first byte that it reads.
type echoes struct{ listener net.Listener }

func (e echoes) run() {
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
	far, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer far.Close()
	go echoes{far}.run()
	var mode atomic.Int64
	one, err := tunnel.New(tunnel.Config{
		Listen: "127.0.0.1:0", Address: far.Addr().String(), Delay: 100 * time.Millisecond, Clock: clock.System{},
		Mode: func() tunnel.Mode { return tunnel.Mode(mode.Load()) },
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	go one.Run(t.Context())
	for _, mood := range []struct {
		name  string
		mode  tunnel.Mode
		works bool
	}{
		{"whole", tunnel.Pass, true},
		{"cut", tunnel.Cut, false},
		{"silent", tunnel.Silent, false},
		{"no answers", tunnel.Mute, false},
		{"no requests", tunnel.Deaf, false},
		{"slow", tunnel.Slow, true},
		{"whole again", tunnel.Pass, true},
	} {
		t.Run(mood.name, func(t *testing.T) {
			mode.Store(int64(mood.mode))
			expectEcho(t, one.Address(), mood.works)
		})
	}
	t.Run("a connection that lost a piece delivers no other", func(t *testing.T) {
		conn, err := net.Dial("tcp", one.Address())
		quicktest.Assert(t, err, quicktest.IsNil)
		defer conn.Close()
		mode.Store(int64(tunnel.Deaf))
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
	t.Run("a reset breaks what is open", func(t *testing.T) {
		conn, err := net.Dial("tcp", one.Address())
		quicktest.Assert(t, err, quicktest.IsNil)
		defer conn.Close()
		_, _ = conn.Write([]byte{7})
		_, err = conn.Read(make([]byte, 1))
		quicktest.Assert(t, err, quicktest.IsNil)
		one.Reset()
		_, err = conn.Read(make([]byte, 1))
		quicktest.Assert(t, err, quicktest.IsNotNil)
	})
}
