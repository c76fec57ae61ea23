package once

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	glade "indigoglade"
)

// Member is an entry host in the settings.
type Member struct {
	node glade.Node
	zone glade.Zone
}

// NewMember returns a member.
func NewMember(node glade.Node, zone glade.Zone) Member { return Member{node: node, zone: zone} }

// Ring orders the configured entry hosts for each key by rendezvous hashing.
type Ring struct {
	members []Member
}

// NewRing returns a ring over every configured entry host, the own one
// included.
func NewRing(members []Member) *Ring {
	return &Ring{members: append([]Member(nil), members...)}
}

// Nodes returns the entry hosts.
func (r *Ring) Nodes() []glade.Node {
	nodes := make([]glade.Node, len(r.members))
	for i, m := range r.members {
		nodes[i] = m.node
	}
	return nodes
}

// Order returns the entry hosts for a key, the owner first. Those of the key's
// home zone come before all others.
func (r *Ring) Order(key Key, home glade.Zone) []glade.Node {
	type ranked struct {
		Member
		weight uint64
	}
	all := make([]ranked, len(r.members))
	for i, m := range r.members {
		all[i] = ranked{Member: m, weight: weightOf(key, m.node)}
	}
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if (a.zone == home) != (b.zone == home) {
			return a.zone == home
		}
		if a.weight != b.weight {
			return a.weight > b.weight
		}
		return a.node < b.node
	})
	nodes := make([]glade.Node, len(all))
	for i, m := range all {
		nodes[i] = m.node
	}
	return nodes
}

func weightOf(key Key, node glade.Node) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(string(node))
	return d.Sum64()
}
