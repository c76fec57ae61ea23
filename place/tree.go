package place

import glade "indigoglade"

// tree finds the first host with room in a row of hosts. Each inner node holds
// the greatest room below it, so that a search skips full hosts:
//
//	      8
//	  8       3
//	2   8   3   1     a task of 4 visits the root, the left 8 and the 8
type tree struct {
	// leaves holds the positions of the hosts in Fleet.slots.
	leaves []int
	// base is the number of leaves, rounded up to a power of two.
	base  int
	nodes []room
	// visits counts the nodes that searches have looked at.
	visits int
}

// room is what a host can take.
type room struct {
	// free can be taken at once.
	free glade.Size
	// reach can be taken after batch tasks have made room.
	reach glade.Size
}

// none is the room of a host that takes nothing; no size fits into it.
var none = glade.Size{Cores: -1, Memory: -1, Accels: -1}

func newTree(leaves []int) *tree {
	base := 1
	for base < len(leaves) {
		base *= 2
	}
	t := &tree{leaves: leaves, base: base, nodes: make([]room, 2*base)}
	for i := range t.nodes {
		t.nodes[i] = room{free: none, reach: none}
	}
	return t
}

// set changes the room of one leaf.
func (t *tree) set(leaf int, r room) {
	i := t.base + leaf
	t.nodes[i] = r
	for i /= 2; i > 0; i /= 2 {
		left, right := t.nodes[2*i], t.nodes[2*i+1]
		t.nodes[i] = room{free: left.free.Max(right.free), reach: left.reach.Max(right.reach)}
	}
}

// find returns the first leaf from start on, going round, that has room for
// size and that accept takes. It returns false when there is none.
func (t *tree) find(start int, size glade.Size, reach bool, accept func(slot int) bool) (int, bool) {
	s := search{tree: t, size: size, reach: reach, accept: accept}
	if leaf, ok := s.descend(1, 0, t.base, start, t.base); ok {
		return leaf, true
	}
	return s.descend(1, 0, t.base, 0, start)
}

type search struct {
	tree   *tree
	size   glade.Size
	reach  bool
	accept func(slot int) bool
}

// descend searches the leaves from low to high below a node, which spans the
// leaves from first to end.
func (s search) descend(node, first, end, low, high int) (int, bool) {
	if high <= first || end <= low {
		return 0, false
	}
	s.tree.visits++
	if !s.fits(node) {
		return 0, false
	}
	if end-first == 1 {
		return first, s.accept(s.tree.leaves[first])
	}
	middle := (first + end) / 2
	if leaf, ok := s.descend(2*node, first, middle, low, high); ok {
		return leaf, true
	}
	return s.descend(2*node+1, middle, end, low, high)
}

func (s search) fits(node int) bool {
	if s.reach {
		return s.size.Fits(s.tree.nodes[node].reach)
	}
	return s.size.Fits(s.tree.nodes[node].free)
}
