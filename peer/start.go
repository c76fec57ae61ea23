package peer

import (
	"slices"

	glade "indigoglade"
	"indigoglade/adopt"
)

// startMisses is the number of unanswered calls after which a node that starts
// waits for a peer no longer.
const startMisses = 2

// start tells when a node that starts has asked its whole circle. The circle
// knows every version that was in force at the node's earlier process; one
// peer alone may not.
type start struct {
	circle map[glade.Node]int
	heard  map[glade.Node]bool
	newest uint64
}

func newStart(circle []glade.Node) *start {
	s := &start{circle: make(map[glade.Node]int), heard: make(map[glade.Node]bool)}
	for _, node := range circle {
		s.circle[node] = 0
	}
	return s
}

func (s *start) inCircle(node glade.Node) bool {
	_, ok := s.circle[node]
	return ok
}

// waiting returns the peers that are still to answer.
func (s *start) waiting() []glade.Node {
	var nodes []glade.Node
	for node, misses := range s.circle {
		if !s.heard[node] && misses < startMisses {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

func (s *start) answered(node glade.Node, head adopt.Head) {
	s.heard[node] = true
	s.newest = max(s.newest, head.Change)
}

func (s *start) missed(node glade.Node) {
	if _, ok := s.circle[node]; ok {
		s.circle[node]++
	}
}

func (s *start) isDone() bool { return len(s.waiting()) == 0 }
