package fleet

import (
	"testing"

	"github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/tunnel"
)

func TestTunnelBreaksWhileZoneIsCut(t *testing.T) {
	spec := Tunnel{From: "kayseri", To: "konya"}
	for zone, want := range map[glade.Zone]tunnel.Mode{"": tunnel.Pass, "kayseri": tunnel.Disconnect, "konya": tunnel.Disconnect, "sivas": tunnel.Pass} {
		t.Run("cut "+string(zone), func(t *testing.T) {
			mode := spec.Mode(func(other glade.Zone) bool { return other == zone })
			quicktest.Assert(t, mode, quicktest.Equals, want)
		})
	}
}
