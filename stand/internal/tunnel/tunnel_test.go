package tunnel

import (
	"net"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	glade "indigoglade"
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
		conn.Read(one)
		conn.Write(one)
	}
}

func expectEcho(t *testing.T, address string, works bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer conn.Close()
	conn.Write([]byte{7})
	_, err = conn.Read(make([]byte, 1))
	quicktest.Assert(t, err == nil, quicktest.Equals, works)
}

func TestTunnelBreaksWhileZoneIsCut(t *testing.T) {
	far, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer far.Close()
	go echoes{far}.run()
	var cut atomic.Value
	cut.Store(glade.Zone(""))
	r, err := New(Config{
		Spec:  Spec{Listen: "127.0.0.1:0", From: "kayseri", To: "konya", Address: far.Addr().String()},
		IsCut: func(zone glade.Zone) bool { return zone == cut.Load() },
	})
	quicktest.Assert(t, err, quicktest.IsNil)
	go r.Run(t.Context())
	address := r.listener.Addr().String()

	t.Run("whole", func(t *testing.T) { expectEcho(t, address, true) })
	for _, zone := range []glade.Zone{"kayseri", "konya"} {
		t.Run("cut "+string(zone), func(t *testing.T) {
			cut.Store(zone)
			expectEcho(t, address, false)
		})
	}
	t.Run("healed", func(t *testing.T) {
		cut.Store(glade.Zone("sivas"))
		expectEcho(t, address, true)
	})
}
