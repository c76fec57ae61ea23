// Package fleet stands in for the platform's worker hosts, their runners and
// the host list.
package fleet

import (
	"fmt"

	glade "indigoglade"
	"indigoglade/config"
)

// Config configures the stand-in fleet.
type Config struct {
	Platform string `json:"platform"`
	// Base is the address of the first runner; the others follow by port.
	Base  string       `json:"base"`
	Zones []glade.Zone `json:"zones"`
	Hosts int          `json:"hosts"`
	// Rack is the number of hosts to a rack.
	Rack   int   `json:"rack"`
	Cores  int   `json:"cores"`
	Memory int64 `json:"memory"`
	Accels int   `json:"accels"`
	// Work is the time that a runner takes for one request.
	Work glade.Span `json:"work"`
	// Boot is the time that a reboot takes.
	Boot glade.Span `json:"boot"`
	// Lag is the age of the host list.
	Lag   glade.Span `json:"lag"`
	Slots int        `json:"slots"`
	Links int        `json:"links"`
	// Task is the time of a task that doesn't say how long it takes.
	Task glade.Span `json:"task"`
	// Usage is how long the usage of a task stays unknown.
	Usage glade.Span `json:"usage"`
	// Lease is how long tasks run on when nobody asks for them; 0 is for ever.
	Lease glade.Span `json:"lease"`
	// Tunnels join processes of different zones.
	Tunnels []Tunnel `json:"tunnels"`
}

// ReadConfig reads and checks the settings of the stand-in fleet.
func ReadConfig(name string, source []byte) *config.File[Config] {
	f := config.Read[Config](name, source)
	if !f.Parsed() {
		return f
	}
	c := f.Value()
	f.CheckAddress("/platform", c.Platform)
	f.CheckAddress("/base", c.Base)
	if len(c.Zones) == 0 {
		f.Add("/zones", "expected at least one availability zone, found none")
	}
	if c.Hosts < 1 {
		f.Add("/hosts", "expected at least 1 host, found %d", c.Hosts)
	}
	if c.Rack < 1 {
		f.Add("/rack", "expected at least 1 host to a rack, found %d", c.Rack)
	}
	if c.Slots < 1 || c.Links < c.Slots {
		f.Add("/slots", "expected at least 1 slot and no more than the %d connections, found %d", c.Links, c.Slots)
	}
	for i, r := range c.Tunnels {
		at := fmt.Sprintf("/tunnels/%d", i)
		f.CheckAddress(at+"/listen", r.Listen)
		f.CheckAddress(at+"/address", r.Address)
	}
	return f
}
