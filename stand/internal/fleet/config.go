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
	// PlatformAddress is the listen address of the platform API.
	PlatformAddress string `json:"platform"`
	// BaseAddress is the address of the first runner; the other runners use the ports
	// after it.
	BaseAddress string       `json:"base"`
	Zones       []glade.Zone `json:"zones"`
	Hosts       int          `json:"hosts"`
	// Rack is the number of hosts per rack.
	Rack   int   `json:"rack"`
	Cores  int   `json:"cores"`
	Memory int64 `json:"memory"`
	Accels int   `json:"accels"`
	// RequestTime is the execution time of one request.
	RequestTime glade.Span `json:"work"`
	// BootTime is the duration of a reboot.
	BootTime glade.Span `json:"boot"`
	// ListDelay is the delay with which changes appear in the host list.
	ListDelay   glade.Span `json:"lag"`
	Slots       int        `json:"slots"`
	MaxRequests int        `json:"links"`
	// TaskTime is the duration of tasks that don't specify one.
	TaskTime glade.Span `json:"task"`
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
	if !f.IsParsed() {
		return f
	}
	c := f.Value()
	f.CheckAddress("/platform", c.PlatformAddress)
	f.CheckAddress("/base", c.BaseAddress)
	if len(c.Zones) == 0 {
		f.Add("/zones", "expected at least one availability zone, found none")
	}
	if c.Hosts < 1 {
		f.Add("/hosts", "expected at least 1 host, found %d", c.Hosts)
	}
	if c.Rack < 1 {
		f.Add("/rack", "expected at least 1 host per rack, found %d", c.Rack)
	}
	if c.Slots < 1 || c.MaxRequests < c.Slots {
		f.Add("/slots", "expected at least 1 slot and no more than the %d connections, found %d", c.MaxRequests, c.Slots)
	}
	for i, tunnel := range c.Tunnels {
		path := fmt.Sprintf("/tunnels/%d", i)
		f.CheckAddress(path+"/listen", tunnel.Listen)
		f.CheckAddress(path+"/address", tunnel.Address)
	}
	return f
}
