package glade

// Roster lists the processes of the system that are up. Processes may disagree
// on the list for a while, so a roster only divides work: nothing that must be
// exclusive may depend on it.
type Roster interface {
	// Self returns this process's own node.
	Self() Node
	// Live returns the nodes, including this one, that are believed to be up
	// and not leaving, sorted by name.
	Live() []Node
}

// StaticRoster is a roster that never changes, for tests and for a process
// without peers.
type StaticRoster struct {
	self  Node
	nodes []Node
}

// NewStaticRoster returns a roster of nodes, which must contain self.
func NewStaticRoster(self Node, nodes []Node) StaticRoster {
	return StaticRoster{self: self, nodes: nodes}
}

// Self returns this process's own node.
func (r StaticRoster) Self() Node { return r.self }

// Live returns every node.
func (r StaticRoster) Live() []Node { return r.nodes }
