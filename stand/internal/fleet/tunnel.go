package fleet

import (
	glade "indigoglade"
	"indigoglade/tunnel"
)

// Tunnel configures one tunnel. Processes of zone From reach the process at
// Address, which is in zone To, by connecting to Listen.
type Tunnel struct {
	Listen  string     `json:"listen"`
	From    glade.Zone `json:"from"`
	To      glade.Zone `json:"to"`
	Address string     `json:"address"`
}

// Mode tells how the tunnel treats its connections while some zones are cut off.
func (t Tunnel) Mode(isCut func(zone glade.Zone) bool) tunnel.Mode {
	if isCut(t.From) || isCut(t.To) {
		return tunnel.Cut
	}
	return tunnel.Pass
}
