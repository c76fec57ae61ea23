// Package member is a failure detector. It decides which peers are up by a gossip
// protocol in the manner of SWIM, without the indirect probes: every process
// probes a few peers in each period and sends recent state changes along with the
// probes, so that the cost for one process does not grow with the number of
// processes.
//
// The settings say which nodes exist; this package says which of them are
// believed to be up. The belief may be wrong and differ between processes. It is
// used to divide work, and no guarantee depends on it.
package member

import glade "indigoglade"

// State is the state that a node is believed to be in.
type State int

// States of a node. Within one incarnation a later state in this order overrides
// an earlier one.
const (
	// Alive means that the node answers.
	Alive State = iota
	// Suspect means that the node missed probes and may still refute that it is
	// down.
	Suspect
	// Down means that the node did not refute the suspicion in time.
	Down
	// Left means that the node announced that it is stopping.
	Left
)

// String returns the lower-case name of the state for logs and reports.
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

// Update is the state that one incarnation of a node is believed to be in. Of
// two updates about a node the later one is kept, so updates may arrive late,
// repeatedly and in any order:
//
//	{e1 inc 7 alive} < {e1 inc 7 suspect} < {e1 inc 7 down} < {e1 inc 8 alive}
//
// Only the node itself raises its incarnation: when it starts, and when it
// refutes a later update about itself.
type Update struct {
	Node        glade.Node `json:"node"`
	Incarnation uint64     `json:"inc"`
	State       State      `json:"state,omitempty"`
}

// Supersedes reports whether the update overrides other, which is about the same
// node: its incarnation is higher, or the same with a later state.
func (u Update) Supersedes(other Update) bool {
	if u.Incarnation != other.Incarnation {
		return u.Incarnation > other.Incarnation
	}
	return u.State > other.State
}
