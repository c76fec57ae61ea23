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
	// width is the number of leaves, rounded up to a power of two.
	width int
	// nodes holds the root at 1 and the children of node i at 2i and 2i+1.
	nodes []capacity
	// visits counts the nodes that searches have visited.
	visits int
}

// capacity is what a host has left for further tasks.
type capacity struct {
	// free is not used by any task.
	free glade.Resources
	// withPreemption is free plus what batch tasks use, which can be preempted.
	withPreemption glade.Resources
}

// noCapacity is the capacity of a closed host. No size fits into it.
var noCapacity = glade.Resources{Cores: -1, Memory: -1, Accels: -1}

func newTree(leaves []int) *tree {
	width := 1
	for width < len(leaves) {
		width *= 2
	}
	t := &tree{leaves: leaves, width: width, nodes: make([]capacity, 2*width)}
	for i := range t.nodes {
		t.nodes[i] = capacity{free: noCapacity, withPreemption: noCapacity}
	}
	return t
}

// set updates a leaf and its ancestors.
func (t *tree) set(leaf int, c capacity) {
	i := t.width + leaf
	t.nodes[i] = c
	for i /= 2; i > 0; i /= 2 {
		left, right := t.nodes[2*i], t.nodes[2*i+1]
		t.nodes[i] = capacity{free: left.free.Max(right.free), withPreemption: left.withPreemption.Max(right.withPreemption)}
	}
}

// find returns the first leaf, from start on and then from 0 to start, that has
// capacity for size and whose host accept accepts. It returns false when there is
// none. If withPreemption is set, the capacity of batch tasks counts as free.
func (t *tree) find(start int, size glade.Resources, withPreemption bool, accept func(slot int) bool) (int, bool) {
	s := treeSearch{tree: t, size: size, withPreemption: withPreemption, accept: accept}
	if leaf, ok := s.descend(1, 0, t.width, start, t.width); ok {
		return leaf, true
	}
	return s.descend(1, 0, t.width, 0, start)
}

type treeSearch struct {
	tree           *tree
	size           glade.Resources
	withPreemption bool
	accept         func(slot int) bool
}

// descend searches the leaves from low up to, but not including, high below a node
// that covers the leaves from first up to, but not including, end.
func (s treeSearch) descend(node, first, end, low, high int) (int, bool) {
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

func (s treeSearch) fits(node int) bool {
	if s.withPreemption {
		return s.size.Fits(s.tree.nodes[node].withPreemption)
	}
	return s.size.Fits(s.tree.nodes[node].free)
}
