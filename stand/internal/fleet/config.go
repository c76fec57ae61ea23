// Package fleet simulates the platform's worker hosts, the runners on them and the
// host list.
package fleet

import (
	"fmt"

	glade "indigoglade"
	"indigoglade/config"
)

// Config holds the settings of the simulated platform.
type Config struct {
	// Platform is the listen address of the platform API.
	Platform string `json:"platform"`
	// Base is the address of the first runner; the other runners use the ports
	// after it.
	Base  string       `json:"base"`
	Zones []glade.Zone `json:"zones"`
	Hosts int          `json:"hosts"`
	// Rack is the number of hosts per rack.
	Rack   int   `json:"rack"`
	Cores  int   `json:"cores"`
	Memory int64 `json:"memory"`
	Accels int   `json:"accels"`
	// Work is the execution time of one request.
	Work glade.Span `json:"work"`
	// Boot is the duration of a reboot.
	Boot glade.Span `json:"boot"`
	// Lag is the delay with which changes appear in the host list.
	Lag   glade.Span `json:"lag"`
	Slots int        `json:"slots"`
	Links int        `json:"links"`
	// Task is the duration of tasks that don't specify one.
	Task glade.Span `json:"task"`
	// Usage is the time after the start of a task during which its resource
	// usage is not reported.
	Usage glade.Span `json:"usage"`
	// Lease is how long tasks keep running without a call that renews their
	// lease; 0 means without limit.
	Lease glade.Span `json:"lease"`
	// Tunnels connect processes in different zones.
	Tunnels []Tunnel `json:"tunnels"`
}

// ReadConfig parses and validates the settings of the simulated platform.
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
		f.Add("/rack", "expected at least 1 host per rack, found %d", c.Rack)
	}
	if c.Slots < 1 || c.Links < c.Slots {
		f.Add("/slots", "expected at least 1 slot and no more than the %d connections, found %d", c.Links, c.Slots)
	}
	for i, tunnel := range c.Tunnels {
		path := fmt.Sprintf("/tunnels/%d", i)
		f.CheckAddress(path+"/listen", tunnel.Listen)
		f.CheckAddress(path+"/address", tunnel.Address)
	}
	return f
}
