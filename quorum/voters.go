package quorum

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	glade "indigoglade"
)

// Member is an entry host named in the settings, with its availability zone.
type Member struct {
	node glade.Node
	zone glade.Zone
}

// NewMember returns the member for an entry host and its zone.
func NewMember(node glade.Node, zone glade.Zone) Member { return Member{node: node, zone: zone} }

// Voters are the entry hosts that vote on a key, with the quorum rule for
// their grants. The set depends only on the settings and the key, so that any
// two quorums share an entry host.
type Voters struct {
	// nodes lists the entry hosts in the order in which they are asked.
	nodes []glade.Node
	// smallQuorum is the number of entry hosts asked in the first round, and the quorum
	// size when the owner is among the grants.
	smallQuorum int
	// owner is the entry host that must be among the grants of the smaller
	// quorum; "" when only the larger quorum counts.
	owner glade.Node
	// largeQuorum is the number of grants that form a quorum whether or not the owner
	// is among them.
	largeQuorum int
}

// Nodes returns every entry host that votes, in the order in which to ask them.
func (v Voters) Nodes() []glade.Node { return v.nodes }

// FirstRound returns the entry hosts to ask in the first round: the fewest that can
// form a quorum.
func (v Voters) FirstRound() []glade.Node { return v.nodes[:v.smallQuorum] }

// isQuorum reports whether the entry hosts in grants form a quorum.
func (v Voters) isQuorum(grants []glade.Node) bool {
	if len(grants) >= v.largeQuorum {
		return true
	}
	return v.owner != "" && len(grants) >= v.smallQuorum && slices.Contains(grants, v.owner)
}

// minOwnerZones is the number of availability zones from which on a key has one
// owner per zone and a majority of the owners decides.
const minOwnerZones = 3

// Voters returns the entry hosts that vote on a key, in the order in which
// self asks them.
//
// With three zones or more, a key that names no configured zone as its home has
// an owner in each zone, and a majority of the owners is a quorum, so that one
// zone can be cut off. In all other cases every entry host votes. A quorum is
// then the owner and any other entry host, or all entry hosts but one. The owner
// of a key with a home zone lies in that zone, so that the zone can serve the
// key alone. With one or two entry hosts in total, all of them must grant.
func (r *Rendezvous) Voters(key Key, home glade.Zone, self glade.Node) Voters {
	order := r.Order(key, home)
	owners := r.zoneOwners(order)
	if len(owners) >= minOwnerZones && !r.hasZone(home) {
		smallQuorum := len(owners)/2 + 1
		return Voters{nodes: r.ownZoneFirst(owners, self), smallQuorum: smallQuorum, largeQuorum: smallQuorum}
	}
	n := len(order)
	if n < 3 {
		return Voters{nodes: order, smallQuorum: n, largeQuorum: n}
	}
	return Voters{nodes: ownerThenSelf(order, self), smallQuorum: 2, owner: order[0], largeQuorum: n - 1}
}

// zoneOwners returns the first entry host of each zone in order: the owner of
// the key in that zone.
func (r *Rendezvous) zoneOwners(order []glade.Node) []glade.Node {
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

func (r *Rendezvous) zoneOf(node glade.Node) glade.Zone {
	for _, m := range r.members {
		if m.node == node {
			return m.zone
		}
	}
	return ""
}

func (r *Rendezvous) hasZone(zone glade.Zone) bool {
	return slices.ContainsFunc(r.members, func(m Member) bool { return m.zone == zone })
}

// ownZoneFirst moves the owner in self's zone to the front, so that it is asked in
// the first round.
func (r *Rendezvous) ownZoneFirst(owners []glade.Node, self glade.Node) []glade.Node {
	i := slices.IndexFunc(owners, func(node glade.Node) bool { return r.zoneOf(node) == r.zoneOf(self) })
	return moveToFront(owners, i)
}

// ownerThenSelf moves self to the second place, behind the owner, unless self is
// the owner.
func ownerThenSelf(order []glade.Node, self glade.Node) []glade.Node {
	if i := slices.Index(order, self); i > 1 {
		return append([]glade.Node{order[0]}, moveToFront(order[1:], i-1)...)
	}
	return order
}

// moveToFront returns nodes with the element at i moved to the front. A negative i
// changes nothing.
func moveToFront(nodes []glade.Node, i int) []glade.Node {
	if i <= 0 {
		return nodes
	}
	moved := []glade.Node{nodes[i]}
	moved = append(moved, nodes[:i]...)
	return append(moved, nodes[i+1:]...)
}

// Rendezvous ranks the configured entry hosts for each key by rendezvous hashing:
// every entry host gets a weight from the hash of the key and its name, and the
// heaviest one is the key's owner.
type Rendezvous struct {
	members []Member
}

// NewRendezvous ranks members, which must be all entry hosts in the settings,
// the own one included.
func NewRendezvous(members []Member) *Rendezvous {
	return &Rendezvous{members: append([]Member(nil), members...)}
}

// Nodes returns all configured entry hosts, in the order of the settings.
func (r *Rendezvous) Nodes() []glade.Node {
	nodes := make([]glade.Node, len(r.members))
	for i, m := range r.members {
		nodes[i] = m.node
	}
	return nodes
}

// Order returns all entry hosts ranked for a key, the owner first. Those in the
// home zone come before all others.
func (r *Rendezvous) Order(key Key, home glade.Zone) []glade.Node {
	type ranked struct {
		Member
		weight uint64
	}
	all := make([]ranked, len(r.members))
	for i, m := range r.members {
		all[i] = ranked{Member: m, weight: hashWeight(key, m.node)}
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

func hashWeight(key Key, node glade.Node) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(string(node))
	return d.Sum64()
}
