package fleet

import (
	glade "indigoglade"
	"indigoglade/tunnel"
)

// Tunnel holds the settings of one tunnel. Processes in zone From connect to Listen
// to reach the process at Address in zone To.
type Tunnel struct {
	Listen  string     `json:"listen"`
	From    glade.Zone `json:"from"`
	To      glade.Zone `json:"to"`
	Address string     `json:"address"`
}

// Mode returns how the tunnel handles connections: it disconnects them while one of its zones
// is cut off.
func (t Tunnel) Mode(isCut func(zone glade.Zone) bool) tunnel.Mode {
	if isCut(t.From) || isCut(t.To) {
		return tunnel.Disconnect
	}
	return tunnel.Pass
}
