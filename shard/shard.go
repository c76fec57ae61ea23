// Package shard divides tasks over the live processes without coordination.
package shard

import (
	"github.com/cespare/xxhash/v2"

	glade "indigoglade"
)

// Owner returns the node that is responsible for a key, by rendezvous hashing:
// each node gets a weight for the key, and the node with the highest weight
// owns it. When a node leaves, only its own keys move to other nodes. While two
// nodes know different rosters, both may own a key, or neither.
func Owner(key string, nodes []glade.Node) glade.Node {
	var best glade.Node
	var heaviest uint64
	for _, node := range nodes {
		weight := xxhash.Sum64String(key + "\x00" + string(node))
		if best == "" || weight > heaviest || (weight == heaviest && node < best) {
			best, heaviest = node, weight
		}
	}
	return best
}

// OwnedBySelf returns whether the roster's own node is responsible for a key.
func OwnedBySelf(key string, roster glade.Roster) bool {
	return Owner(key, roster.Live()) == roster.Self()
}
