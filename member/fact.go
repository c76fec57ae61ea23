// Package member decides which peers are up. Every process probes a few peers
// in each period and passes news of changes along with the probes, so that the
// cost of a process does not grow with the number of processes.
//
// The settings say who may exist; this package says who is believed to live.
// The belief divides work and carries no promise.
package member

import glade "indigoglade"

// State is what is believed of a node.
type State int

// States, in the order in which they replace each other within one
// incarnation.
const (
	Alive State = iota
	Suspect
	Down
	Left
)

// String returns the lower-case name for logs and reports.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Down:
		return "down"
	case Left:
		return "left"
	}
	return "invalid"
}

// Fact is a belief about one incarnation of a node. Of two facts the later one
// is kept, so their order, repetition and delay do not matter:
//
//	{e1 inc 7 alive} < {e1 inc 7 suspect} < {e1 inc 7 down} < {e1 inc 8 alive}
//
// Only the node itself raises its incarnation: when it starts, and when it
// hears that it is suspected.
type Fact struct {
	Node  glade.Node `json:"node"`
	Inc   uint64     `json:"inc"`
	State State      `json:"state,omitempty"`
}

// IsLater tells whether f replaces other.
func (f Fact) IsLater(other Fact) bool {
	if f.Inc != other.Inc {
		return f.Inc > other.Inc
	}
	return f.State > other.State
}
