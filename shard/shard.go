// Package shard divides duties over the live processes without agreement.
package shard

import (
	"github.com/cespare/xxhash/v2"

	glade "indigoglade"
)

// Owner returns the node that has the duty named key, by rendezvous hashing:
// each node gets a weight for the key and the heaviest has it. When a node
// leaves, only its own duties change hands. Two nodes that know different
// rosters may both have a duty, or none of them for a while.
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

// IsMine tells whether the roster's own node has the duty named key.
func IsMine(key string, roster glade.Roster) bool {
	return Owner(key, roster.Live()) == roster.Self()
}
