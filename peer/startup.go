package peer

import (
	"slices"

	glade "indigoglade"
	"indigoglade/adopt"
)

// maxStartupMisses is the number of unanswered calls after which a starting node no
// longer waits for a peer.
const maxStartupMisses = 2

// startup keeps track of the peers that a starting node asks before it activates
// contracts that only its peers have confirmed. Together these peers know every
// contract version that was active in the node's earlier process; one peer alone
// may not.
type startup struct {
	// peers maps each peer to ask to the number of its unanswered calls.
	peers      map[glade.Node]int
	answeredBy map[glade.Node]bool
	// newestChange is the highest contract change that a reply has named.
	newestChange uint64
}

func newStartup(peers []glade.Node) *startup {
	s := &startup{peers: make(map[glade.Node]int), answeredBy: make(map[glade.Node]bool)}
	for _, node := range peers {
		s.peers[node] = 0
	}
	return s
}

func (s *startup) includes(node glade.Node) bool {
	_, ok := s.peers[node]
	return ok
}

// unanswered returns the peers that have neither answered nor missed too many calls,
// in the order of their names.
func (s *startup) unanswered() []glade.Node {
	var nodes []glade.Node
	for node, misses := range s.peers {
		if !s.answeredBy[node] && misses < maxStartupMisses {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

func (s *startup) recordReply(node glade.Node, freshness adopt.Freshness) {
	s.answeredBy[node] = true
	s.newestChange = max(s.newestChange, freshness.Change)
}

func (s *startup) recordMiss(node glade.Node) {
	if _, ok := s.peers[node]; ok {
		s.peers[node]++
	}
}

func (s *startup) isDone() bool { return len(s.unanswered()) == 0 }
