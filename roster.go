package glade

// Roster tells which processes of the system act together. Two processes may
// disagree for a while, so a roster divides work and carries no promise.
type Roster interface {
	// Self returns the process's own node.
	Self() Node
	// Live returns the nodes that are believed to be up and not leaving, the
	// own one included, in the order of their names.
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

// Self returns the process's own node.
func (r StaticRoster) Self() Node { return r.self }

// Live returns every node.
func (r StaticRoster) Live() []Node { return r.nodes }
