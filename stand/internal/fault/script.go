// Package fault reads scripts of faults and tells which are on at a time.
//
// A script is a list of entries {at, for, fault, where}; times count from the
// moment at which the script is taken up. Example:
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

// Kind is a misbehaviour that can be switched on.
type Kind string

// Kinds of faults.
const (
	None Kind = ""
	// Down refuses every call; a host that is down accepts no connection.
	Down Kind = "down"
	// Slow delays every call, or makes a runner take ten times as long.
	Slow Kind = "slow"
	// Lossy does what a write asks for and loses the answer.
	Lossy Kind = "lossy"
	// Frozen answers with an old state.
	Frozen Kind = "frozen"
	// Cut separates an availability zone from the others and the platform, or
	// breaks a runner's answers off half way.
	Cut Kind = "cut"
	// Fail reports an error for every request at once.
	Fail Kind = "fail"
	// Cross answers with the id of another request.
	Cross Kind = "cross"
	// Dead accepts connections and never answers.
	Dead Kind = "dead"
	// Garbage answers with bytes that are no HTTP.
	Garbage Kind = "garbage"
	// Trickle sends the answer a byte at a time.
	Trickle Kind = "trickle"
	// Oversize sends more than an entry host accepts.
	Oversize Kind = "oversize"
)

// Places that have no name of their own.
const (
	Table   = "table"
	Objects = "objects"
	List    = "list"
)

// Prefixes of places that are followed by a name.
const (
	zonePrefix = "zone/"
	rackPrefix = "rack/"
	hostPrefix = "host/"
)

var runnerKinds = []Kind{Down, Slow, Cut, Fail, Cross, Dead, Garbage, Trickle, Oversize}

// kindsAt returns the kinds of faults that a place can have.
func kindsAt(where string) []Kind {
	switch {
	case where == Table:
		return []Kind{Down, Slow, Lossy}
	case where == Objects:
		return []Kind{Down, Slow, Lossy}
	case where == List:
		return []Kind{Down, Slow, Frozen}
	case strings.HasPrefix(where, zonePrefix):
		return []Kind{Cut}
	case strings.HasPrefix(where, rackPrefix), strings.HasPrefix(where, hostPrefix):
		return runnerKinds
	}
	return nil
}

// Spec is one fault of a script.
type Spec struct {
	At    glade.Span `json:"at"`
	For   glade.Span `json:"for"`
	Fault Kind       `json:"fault"`
	Where string     `json:"where"`
}

// Script is a list of faults.
type Script struct {
	Faults []Spec `json:"faults"`
}

// Read reads and checks a script.
func Read(name string, source []byte) *config.File[Script] {
	f := config.Read[Script](name, source)
	if !f.Parsed() {
		return f
	}
	for i, spec := range f.Value().Faults {
		check(f, fmt.Sprintf("/faults/%d", i), spec)
	}
	return f
}

func check(f *config.File[Script], at string, spec Spec) {
	if spec.For <= 0 {
		f.Add(at+"/for", "expected a length of time above 0, found %s", spec.For)
	}
	kinds := kindsAt(spec.Where)
	if kinds == nil {
		f.Add(at+"/where", `expected "table", "objects", "list", "zone/NAME", "rack/NAME" or "host/NAME", found %q`, spec.Where)
		return
	}
	if !slices.Contains(kinds, spec.Fault) {
		f.Add(at+"/fault", "expected one of %v for %s, found %q", kinds, spec.Where, spec.Fault)
	}
}
