// Package fault reads fault injection scripts and reports which faults are
// active at a given time.
//
// A script is a list of entries {at, for, fault, where}. Times are relative to
// the start of the script. Example:
//
//	{ "faults": [
//	  { "at": "5s", "for": "8s", "fault": "cut", "where": "zone/konya" },
//	  { "at": "2s", "for": "1s", "fault": "down", "where": "table" },
//	] }
package fault

import (
	"fmt"
	"slices"
	"strings"

	glade "indigoglade"
	"indigoglade/config"
)

// Kind is a type of fault that can be injected.
type Kind string

// Fault kinds. Which of them a location supports is checked by Read.
const (
	None Kind = ""
	// Down refuses every call to a service; a host that is down accepts no
	// connections.
	Down Kind = "down"
	// Slow delays every call to a service, or makes a runner take ten times as
	// long for a request.
	Slow Kind = "slow"
	// Lossy applies a write but drops its response.
	Lossy Kind = "lossy"
	// Frozen keeps returning the host list of the last call before the fault.
	Frozen Kind = "frozen"
	// Cut cuts an availability zone off from the other zones and the platform,
	// or makes a runner close the connection halfway through each response.
	Cut Kind = "cut"
	// Fail makes a runner respond to every request with an error at once, and
	// its tasks fail.
	Fail Kind = "fail"
	// Cross responds with the wrong request ID.
	Cross Kind = "cross"
	// Dead accepts connections but never responds.
	Dead Kind = "dead"
	// Garbage responds with bytes that are not valid HTTP.
	Garbage Kind = "garbage"
	// Trickle sends the response one byte at a time.
	Trickle Kind = "trickle"
	// Oversize sends a response larger than an entry host accepts.
	Oversize Kind = "oversize"
)

// Locations of faults that are single services of the platform.
const (
	Table       = "table"
	ObjectStore = "objects"
	HostList    = "list"
)

// Prefixes of locations that are followed by the name of a zone, rack or host.
const (
	zonePrefix = "zone/"
	rackPrefix = "rack/"
	hostPrefix = "host/"
)

var hostKinds = []Kind{Down, Slow, Cut, Fail, Cross, Dead, Garbage, Trickle, Oversize}

// kindsAt returns the fault kinds that a location supports, or nil if the location
// is not valid.
func kindsAt(where string) []Kind {
	switch {
	case where == Table:
		return []Kind{Down, Slow, Lossy}
	case where == ObjectStore:
		return []Kind{Down, Slow, Lossy}
	case where == HostList:
		return []Kind{Down, Slow, Frozen}
	case strings.HasPrefix(where, zonePrefix):
		return []Kind{Cut}
	case strings.HasPrefix(where, rackPrefix), strings.HasPrefix(where, hostPrefix):
		return hostKinds
	}
	return nil
}

// Spec is one fault of a script: its delay from the start of the script, duration,
// kind and location.
type Spec struct {
	At    glade.Span `json:"at"`
	For   glade.Span `json:"for"`
	Fault Kind       `json:"fault"`
	Where string     `json:"where"`
}

// Script is a fault injection script.
type Script struct {
	Faults []Spec `json:"faults"`
}

// Read parses and validates a script, which is JSON with comments.
func Read(name string, source []byte) *config.File[Script] {
	f := config.Read[Script](name, source)
	if !f.IsParsed() {
		return f
	}
	for i, spec := range f.Value().Faults {
		checkSpec(f, fmt.Sprintf("/faults/%d", i), spec)
	}
	return f
}

func checkSpec(f *config.File[Script], path string, spec Spec) {
	if spec.For <= 0 {
		f.Add(path+"/for", "expected a length of time above 0, found %s", spec.For)
	}
	kinds := kindsAt(spec.Where)
	if kinds == nil {
		f.Add(path+"/where", `expected "table", "objects", "list", "zone/NAME", "rack/NAME" or "host/NAME", found %q`, spec.Where)
		return
	}
	if !slices.Contains(kinds, spec.Fault) {
		f.Add(path+"/fault", "expected one of %v for %s, found %q", kinds, spec.Where, spec.Fault)
	}
}
