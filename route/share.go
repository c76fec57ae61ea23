package route

import (
	"github.com/cespare/xxhash/v2"

	glade "indigoglade"
)

// Share returns the number of an endpoint's slots that node may fill when nodes
// share them. The shares sum to exactly slots for any list of nodes: the
// remainder goes to the nodes with the highest rendezvous hashing weights.
//
//	8 slots, 3 nodes: 3, 3 and 2; it depends on the host which node gets 2
func Share(host glade.Host, slots int, node glade.Node, nodes []glade.Node) int {
	if len(nodes) == 0 {
		return 0
	}
	own := weightOf(host, node)
	above := 0
	member := false
	for _, other := range nodes {
		if other == node {
			member = true
			continue
		}
		w := weightOf(host, other)
		if w > own || (w == own && other < node) {
			above++
		}
	}
	if !member {
		return 0
	}
	share := slots / len(nodes)
	if above < slots%len(nodes) {
		share++
	}
	return share
}

func weightOf(host glade.Host, node glade.Node) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(host))
	_, _ = d.WriteString("\n")
	_, _ = d.WriteString(string(node))
	return d.Sum64()
}
