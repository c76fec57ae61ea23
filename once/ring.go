package once

import (
	"slices"
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

// Electors are the entry hosts that decide on a key. They depend on the
// settings and the key alone, so that any two quorums share one of them.
type Electors struct {
	// nodes lists them, the first ones being asked first.
	nodes []glade.Node
	// few is the number that suffices as long as all of them answer.
	few int
	// owner must be among few, unless it is "".
	owner glade.Node
	// many is the number that suffices in any case.
	many int
}

// Nodes returns the electors, those to ask first before the others.
func (e Electors) Nodes() []glade.Node { return e.nodes }

// First returns the electors to ask first.
func (e Electors) First() []glade.Node { return e.nodes[:e.few] }

// isQuorum tells whether the grants suffice.
func (e Electors) isQuorum(grants []glade.Node) bool {
	if len(grants) >= e.many {
		return true
	}
	return e.owner != "" && len(grants) >= e.few && slices.Contains(grants, e.owner)
}

// leastZones is the number of availability zones from which on the owners of a
// key in each zone decide.
const leastZones = 3

// Electors returns who decides on a key, in the order in which self asks.
//
// Where there are three zones or more, a key has an owner in each and most of
// them decide, so that one zone can be cut off. A key with a home zone is
// decided by an owner in that zone and any other entry host, or by all entry
// hosts but one, so that the zone can serve it alone.
func (r *Ring) Electors(key Key, home glade.Zone, self glade.Node) Electors {
	order := r.Order(key, home)
	owners := r.zoneOwners(order)
	if len(owners) >= leastZones && !r.hasZone(home) {
		few := len(owners)/2 + 1
		return Electors{nodes: r.nearFirst(owners, self), few: few, many: few}
	}
	n := len(order)
	if n < 3 {
		return Electors{nodes: order, few: n, many: n}
	}
	return Electors{nodes: ownerThenSelf(order, self), few: 2, owner: order[0], many: n - 1}
}

// zoneOwners returns the first entry host of each zone.
func (r *Ring) zoneOwners(order []glade.Node) []glade.Node {
	var owners []glade.Node
	seen := make(map[glade.Zone]bool)
	for _, node := range order {
		if zone := r.zoneOf(node); !seen[zone] {
			seen[zone] = true
			owners = append(owners, node)
		}
	}
	return owners
}

func (r *Ring) zoneOf(node glade.Node) glade.Zone {
	for _, m := range r.members {
		if m.node == node {
			return m.zone
		}
	}
	return ""
}

func (r *Ring) hasZone(zone glade.Zone) bool {
	return slices.ContainsFunc(r.members, func(m Member) bool { return m.zone == zone })
}

// nearFirst puts the owner of the own zone first.
func (r *Ring) nearFirst(owners []glade.Node, self glade.Node) []glade.Node {
	near := slices.IndexFunc(owners, func(node glade.Node) bool { return r.zoneOf(node) == r.zoneOf(self) })
	return toFront(owners, near)
}

// ownerThenSelf puts self second, unless it is the owner.
func ownerThenSelf(order []glade.Node, self glade.Node) []glade.Node {
	if i := slices.Index(order, self); i > 1 {
		return append([]glade.Node{order[0]}, toFront(order[1:], i-1)...)
	}
	return order
}

// toFront returns nodes with the one at i moved to the front.
func toFront(nodes []glade.Node, i int) []glade.Node {
	if i <= 0 {
		return nodes
	}
	moved := []glade.Node{nodes[i]}
	moved = append(moved, nodes[:i]...)
	return append(moved, nodes[i+1:]...)
}

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
