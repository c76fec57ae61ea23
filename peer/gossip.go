package peer

import (
	"math/rand/v2"
	"time"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/member"
)

// GossipConfig configures the gossip protocol of one process.
type GossipConfig struct {
	Self  member.Peer
	Peers []member.Peer
	// Registry holds the contracts that are exchanged with the peers.
	Registry *adopt.Registry
	// InitialIncarnation must be higher than that of the node's earlier process.
	InitialIncarnation uint64
	Random             *rand.Rand
}

// Gossip is the state of the gossip protocol in one process. It decides what the
// process sends to its peers and which of their information it takes over, and
// does no I/O. It is not safe for concurrent use.
type Gossip struct {
	config   GossipConfig
	list     *member.List
	registry *adopt.Registry
	leaving  *leavingEndpoints
	startup  *startup
	// relays are a few nodes of each other zone, which forward urgent information
	// within their zone.
	relays []glade.Node
	zones  map[glade.Node]glade.Zone
	// knownChanges maps peers to the last contract change that each is known to have.
	knownChanges map[glade.Node]uint64
	// pendingSince is when the first of the contracts that are not active yet became
	// known; the zero time without such contracts.
	pendingSince time.Time
	// lastPoll is when the table service was last asked to be read.
	lastPoll time.Time
	// lastPull is when contracts were last requested from a peer that called with
	// a newer change.
	lastPull time.Time
}

// maxRows is the maximum number of contracts in one message.
const maxRows = 32

// relaysPerZone is the number of nodes of each other zone that urgent information
// is sent to directly.
const relaysPerZone = 2

// NewGossip returns the protocol's state at the start: every peer is believed to be
// alive.
func NewGossip(config GossipConfig) *Gossip {
	g := &Gossip{
		config: config,
		list: member.New(member.Config{
			Self: config.Self, Peers: config.Peers, InitialIncarnation: config.InitialIncarnation, Random: config.Random,
		}),
		registry:     config.Registry,
		leaving:      newLeavingEndpoints(),
		zones:        make(map[glade.Node]glade.Zone),
		knownChanges: make(map[glade.Node]uint64),
	}
	perZone := make(map[glade.Zone]int)
	for _, p := range config.Peers {
		g.zones[p.Node] = p.Zone
		if p.Zone != config.Self.Zone && perZone[p.Zone] < relaysPerZone {
			perZone[p.Zone]++
			g.relays = append(g.relays, p.Node)
		}
	}
	g.startup = newStartup(g.startupPeers())
	return g
}

// startupPeers returns the peers that together know every contract version that was
// active in this node's earlier process: those of the own zone, or all peers when
// the zone has no other node.
func (g *Gossip) startupPeers() []glade.Node {
	if zone := g.list.Zone(); len(zone) > 0 {
		return zone
	}
	var all []glade.Node
	for _, p := range g.config.Peers {
		all = append(all, p.Node)
	}
	return all
}

// Tick returns what to do in this period. It is meant to be called once a period.
func (g *Gossip) Tick(now time.Time) Actions {
	actions := Actions{SendTo: g.list.ProbeTargets(now), ReadTable: g.isPollDue(now)}
	if actions.ReadTable {
		g.lastPoll = now
	}
	if !g.isConfirmed() {
		actions.SendTo = union(actions.SendTo, g.startup.unanswered())
	}
	actions.Activated = g.activateDue(now)
	return actions
}

func union(a, b []glade.Node) []glade.Node {
	seen := make(map[glade.Node]bool, len(a)+len(b))
	var all []glade.Node
	for _, node := range append(append([]glade.Node(nil), a...), b...) {
		if !seen[node] {
			seen[node] = true
			all = append(all, node)
		}
	}
	return all
}

// isPollDue reports whether this process should read the table service now. A few
// nodes of each zone, and nodes that are starting, do so with the short period. A
// clock that was set back makes a read due at once.
func (g *Gossip) isPollDue(now time.Time) bool {
	period := sparePollPeriod
	if g.isPoller() || !g.isConfirmed() {
		period = pollPeriod
	}
	return g.lastPoll.IsZero() || now.Sub(g.lastPoll) >= period || now.Before(g.lastPoll)
}

// isPoller reports whether this node is among the first live ones of its zone,
// which poll the table service with the short period.
func (g *Gossip) isPoller() bool {
	for i, node := range g.list.LiveInZone() {
		if i < pollersPerZone && node == g.list.Self() {
			return true
		}
	}
	return false
}

// isConfirmed reports whether the contracts were ever confirmed since the start.
func (g *Gossip) isConfirmed() bool { return g.registry.IsConfirmed() }

// TableRead continues after the table service was read. When contracts have become
// pending, the own zone is told of them before they become active.
func (g *Gossip) TableRead(now time.Time) Actions {
	if !g.registry.HasPending() {
		return Actions{}
	}
	activated := g.activateDue(now)
	if !g.registry.HasPending() {
		return Actions{Activated: activated}
	}
	return Actions{SendTo: g.list.Zone()}
}

// maxPendingTime is the longest time for which a contract stays pending until every
// live node of the zone knows it. After that it becomes active anyway.
const maxPendingTime = time.Second

// activateDue activates the pending contracts when they have waited long enough for the
// nodes of the zone, when there is no other live node in the zone, or when the
// clock was set back. It returns the number of contracts that became active.
func (g *Gossip) activateDue(now time.Time) int {
	if !g.registry.HasPending() || !g.isConfirmed() {
		g.pendingSince = time.Time{}
		return 0
	}
	if g.pendingSince.IsZero() {
		g.pendingSince = now
	}
	alone := len(g.list.LiveInZone()) <= 1
	if alone || now.Sub(g.pendingSince) >= maxPendingTime || now.Before(g.pendingSince) {
		return g.activate()
	}
	return 0
}

func (g *Gossip) activate() int {
	g.pendingSince = time.Time{}
	return g.registry.ActivatePending()
}

// MessageTo returns the message for a peer, without contracts.
func (g *Gossip) MessageTo(now time.Time, to glade.Node) Message {
	return Message{Updates: g.list.Updates(to), Freshness: g.registry.Freshness(now), LeavingEndpoints: g.leaving.nextBatch()}
}

// HandleMessage handles the message of a peer that called, and returns the
// reply. The reply carries the contracts that the caller lacks, and for a
// caller that is starting the most recent leaving endpoints. When the caller
// has newer contracts, they are requested from it, at most once a period.
func (g *Gossip) HandleMessage(now time.Time, message Message) (Message, Actions) {
	from := message.From()
	actions := g.merge(now, message)
	reply := g.MessageTo(now, from)
	if message.Freshness.Change < g.registry.Change() {
		reply.Contracts, reply.CompleteTo = g.registry.ChangedAfter(message.Freshness.Change, maxRows)
	}
	if !message.Freshness.IsConfirmed() {
		reply.LeavingEndpoints = g.leaving.recent
	}
	if message.Freshness.Change > g.registry.Change() && now.Sub(g.lastPull).Abs() >= member.ProbePeriod {
		g.lastPull = now
		actions.SendTo = append(actions.SendTo, from)
	}
	return reply, actions
}

// HandleReply handles a peer's reply to a message that was sent at the time
// sent. When the reply brought some but not all of the contracts that this node
// lacked, the peer is called again at once.
func (g *Gossip) HandleReply(now, sent time.Time, to glade.Node, reply Message) Actions {
	before := g.registry.Change()
	g.registry.AddVersions(reply.Contracts, reply.CompleteTo)
	actions := g.merge(now, reply)
	g.startup.recordReply(to, reply.Freshness)
	// The age is as of the peer's reply. Counting it from the earlier time of
	// sending never makes the contracts look more recent than they are.
	confirmed := sent.Add(-time.Duration(reply.Freshness.Age) * time.Millisecond)
	if reply.Freshness.IsConfirmed() && g.registry.Change() >= reply.Freshness.Change {
		actions.Activated += g.confirmFromPeer(reply.Freshness.Change, confirmed)
	}
	if g.registry.Change() < reply.Freshness.Change && g.registry.Change() > before {
		actions.SendTo = append(actions.SendTo, to)
	}
	return actions
}

// confirmFromPeer records that a peer read change as the newest one in the table service
// at a time. A node that is starting accepts this only after all startup peers
// have answered or missed their calls, and once it has the newest change among
// the answers. It then activates the contracts and returns their number.
func (g *Gossip) confirmFromPeer(change uint64, at time.Time) int {
	if g.isConfirmed() {
		g.registry.Confirm(change, at)
		return 0
	}
	if !g.startup.isDone() || g.registry.Change() < g.startup.newestChange {
		return 0
	}
	g.registry.Confirm(change, at)
	return g.activate()
}

// merge merges what a message carries, be it a call or a reply. New leaving
// endpoints from another zone are forwarded to the own zone at once.
func (g *Gossip) merge(now time.Time, message Message) Actions {
	from := message.From()
	g.list.RecordContact(from)
	g.list.Merge(now, message.Updates)
	actions := Actions{Activated: g.recordKnownChange(from, message.Freshness)}
	var urgent []glade.Node
	if g.zones[from] != g.config.Self.Zone {
		urgent = g.list.Zone()
	}
	for _, endpoint := range message.LeavingEndpoints {
		if g.leaving.add(endpoint, len(urgent)) {
			actions.LeavingEndpoints = append(actions.LeavingEndpoints, endpoint)
		}
	}
	if len(actions.LeavingEndpoints) > 0 {
		actions.SendTo = append(actions.SendTo, urgent...)
	}
	return actions
}

// recordKnownChange records the last contract change that a peer has, and activates the
// pending contracts once every live node of the own zone knows them: a process
// that starts later can then get them from any of these nodes. It returns the
// number of contracts that became active.
func (g *Gossip) recordKnownChange(from glade.Node, freshness adopt.Freshness) int {
	g.knownChanges[from] = max(g.knownChanges[from], freshness.Change)
	if !g.isConfirmed() || !g.registry.HasPending() || !g.startup.includes(from) {
		return 0
	}
	for _, node := range g.list.LiveInZone() {
		if node != g.list.Self() && g.knownChanges[node] < g.registry.Change() {
			return 0
		}
	}
	return g.activate()
}

// RecordMiss records that a peer did not answer a message.
func (g *Gossip) RecordMiss(now time.Time, to glade.Node) {
	g.list.RecordMiss(now, to)
	g.startup.recordMiss(to)
}

// EndpointLeaving records that an endpoint incarnation is leaving. If that is new, the result
// names the peers to tell at once.
func (g *Gossip) EndpointLeaving(endpoint glade.Endpoint) Actions {
	urgent := g.urgentPeers()
	if !g.leaving.add(endpoint, len(urgent)) {
		return Actions{}
	}
	return Actions{LeavingEndpoints: []glade.Endpoint{endpoint}, SendTo: urgent}
}

// Leave records that this node is stopping, and returns the peers to tell at once.
func (g *Gossip) Leave() Actions {
	g.list.Leave()
	return Actions{SendTo: g.urgentPeers()}
}

// urgentPeers returns the peers that get urgent information at once: those of the own
// zone, and a few of each other zone, which forward it within theirs.
func (g *Gossip) urgentPeers() []glade.Node {
	return append(g.list.Zone(), g.relays...)
}

// Live returns the nodes that are believed to be up and not leaving, in the order
// of their names.
func (g *Gossip) Live() []glade.Node { return g.list.Live() }

// State returns the state that a node is believed to be in.
func (g *Gossip) State(node glade.Node) member.State { return g.list.State(node) }
