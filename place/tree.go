package place

import glade "indigoglade"

// tree is a segment tree over the free capacity of hosts. Each inner node holds the
// maximum of each resource among the leaves below it, so that a search skips
// subtrees without capacity:
//
//	      8
//	  8       3
//	2   8   3   1     a search for 4 from the left ends at the second leaf
type tree struct {
	// leaves holds the positions of the hosts in Fleet.slots.
	leaves []int
	// base is the number of leaves, rounded up to a power of two.
	base int
	// nodes holds the root at 1 and the children of node i at 2i and 2i+1.
	nodes []room
	// visits counts the nodes that searches have visited.
	visits int
}

// room is the capacity of a host for further tasks.
type room struct {
	// free is not used by any task.
	free glade.Size
	// reach is free plus what batch tasks use, which can be preempted.
	reach glade.Size
}

// none is the capacity of a closed host. No size fits into it.
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

// set updates a leaf and its ancestors.
func (t *tree) set(leaf int, r room) {
	i := t.base + leaf
	t.nodes[i] = r
	for i /= 2; i > 0; i /= 2 {
		left, right := t.nodes[2*i], t.nodes[2*i+1]
		t.nodes[i] = room{free: left.free.Max(right.free), reach: left.reach.Max(right.reach)}
	}
}

// find returns the first leaf, from start on and then from 0 to start, that has
// capacity for size and whose host accept accepts. It returns false when there is
// none. With reach, the capacity of batch tasks counts as free.
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

// descend searches the leaves from low up to, but not including, high below a node
// that covers the leaves from first up to, but not including, end.
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
