package member

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	glade "indigoglade"
)

// ProbePeriod is the time between two rounds of probes.
const ProbePeriod = 500 * time.Millisecond

// Limits of the protocol.
const (
	// maxMisses is the number of consecutive unanswered probes after which a peer
	// becomes suspect.
	maxMisses = 5
	// suspectTimeout is how long a suspect peer has to refute the suspicion before it
	// is marked as down.
	suspectTimeout = 3 * time.Second
	// maxUpdates is the maximum number of updates in one message.
	maxUpdates = 6
	// maxReprobes is the maximum number of peers that are probed again in one
	// period because they missed a probe.
	maxReprobes = 2
	// otherZonePeriods is the number of periods between probes of a peer in another
	// zone.
	otherZonePeriods = 2
	// downPeerPeriods is the number of periods between probes of a peer that is down
	// or has left, alternately one of the own zone and one of another.
	downPeerPeriods = 4
)

// Peer is a node named in the settings, with its availability zone.
type Peer struct {
	Node glade.Node
	Zone glade.Zone
}

// Config configures a List.
type Config struct {
	Self  Peer
	Peers []Peer
	// InitialIncarnation must be higher than that of the node's earlier process.
	InitialIncarnation uint64
	Random             *rand.Rand
}

// List is the membership list: the state that each peer is believed to be in. It
// is not safe for concurrent use.
type List struct {
	config     Config
	self       Update
	peers      map[glade.Node]*peerState
	ownZone    probeOrder // peers in the own zone
	otherZones probeOrder // peers in other zones
	// sendsLeft maps each node with a recent state change to how often the update
	// about the node is still to be sent.
	sendsLeft map[glade.Node]int
	// periods counts the periods since the start.
	periods int
}

type peerState struct {
	Peer
	latest Update
	// misses is the number of consecutive unanswered probes.
	misses int
	// suspectSince is when the peer became suspect.
	suspectSince time.Time
}

// isDownOrLeft reports whether the peer is down or has left.
func (p *peerState) isDownOrLeft() bool { return p.latest.State >= Down }

// New returns a list in which every peer is alive, so that a process that has
// just started does not take over all of the shared work.
func New(config Config) *List {
	l := &List{
		config:    config,
		self:      Update{Node: config.Self.Node, Incarnation: config.InitialIncarnation},
		peers:     make(map[glade.Node]*peerState),
		sendsLeft: make(map[glade.Node]int),
	}
	for _, p := range config.Peers {
		known := &peerState{Peer: p, latest: Update{Node: p.Node}}
		l.peers[p.Node] = known
		if p.Zone == config.Self.Zone {
			l.ownZone.nodes = append(l.ownZone.nodes, known)
		} else {
			l.otherZones.nodes = append(l.otherZones.nodes, known)
		}
	}
	l.scheduleSend(l.self.Node)
	return l
}

// probeOrder yields peers in a random order that is shuffled after each round.
// Every peer comes once in a round, so that the time until it is probed is bounded.
type probeOrder struct {
	nodes []*peerState
	next  int
}

// pick returns the next peer for which accept returns true. The result is false
// when a full round of peers has none.
func (o *probeOrder) pick(random *rand.Rand, accept func(*peerState) bool) (*peerState, bool) {
	for range o.nodes {
		if o.next == 0 {
			random.Shuffle(len(o.nodes), func(i, j int) { o.nodes[i], o.nodes[j] = o.nodes[j], o.nodes[i] })
		}
		p := o.nodes[o.next]
		o.next = (o.next + 1) % len(o.nodes)
		if accept(p) {
			return p, true
		}
	}
	return nil, false
}

// ProbeTargets returns the peers to probe in this period: one of the own zone;
// in some periods one of another zone, and one that is down or has left; and up
// to maxReprobes peers that did not answer their last probe. Before choosing,
// it marks suspects as down whose time to refute the suspicion is over.
func (l *List) ProbeTargets(now time.Time) []glade.Node {
	l.expireSuspects(now)
	l.periods++
	chosen := make(map[glade.Node]bool)
	var targets []glade.Node
	add := func(p *peerState, ok bool) {
		if ok && !chosen[p.Node] {
			chosen[p.Node] = true
			targets = append(targets, p.Node)
		}
	}
	random := l.config.Random
	isUp := func(p *peerState) bool { return !p.isDownOrLeft() }
	add(l.ownZone.pick(random, isUp))
	if l.periods%otherZonePeriods == 0 || len(l.ownZone.nodes) == 0 {
		add(l.otherZones.pick(random, isUp))
	}
	switch l.periods % (2 * downPeerPeriods) {
	case 0:
		add(l.ownZone.pick(random, (*peerState).isDownOrLeft))
	case downPeerPeriods:
		add(l.otherZones.pick(random, (*peerState).isDownOrLeft))
	}
	for _, p := range l.missedProbe() {
		add(p, true)
	}
	return targets
}

// missedProbe returns a random choice of up to maxReprobes peers that did not answer
// their last probe.
func (l *List) missedProbe() []*peerState {
	var missed []*peerState
	for _, p := range l.peers {
		if p.misses > 0 && !p.isDownOrLeft() {
			missed = append(missed, p)
		}
	}
	sort.Slice(missed, func(i, j int) bool { return missed[i].Node < missed[j].Node })
	l.config.Random.Shuffle(len(missed), func(i, j int) { missed[i], missed[j] = missed[j], missed[i] })
	return missed[:min(len(missed), maxReprobes)]
}

// expireSuspects marks suspects as down that did not refute the suspicion in time.
func (l *List) expireSuspects(now time.Time) {
	for _, p := range l.peers {
		if p.latest.State == Suspect && now.Sub(p.suspectSince) >= suspectTimeout {
			l.apply(now, Update{Node: p.Node, Incarnation: p.latest.Incarnation, State: Down})
		}
	}
}

// RecordContact records that a peer answered or called, which resets its missed probes.
func (l *List) RecordContact(node glade.Node) {
	if p, ok := l.peers[node]; ok {
		p.misses = 0
	}
}

// RecordMiss records that a peer did not answer a probe. After maxMisses in a
// row the peer becomes suspect.
func (l *List) RecordMiss(now time.Time, node glade.Node) {
	p, ok := l.peers[node]
	if !ok {
		return
	}
	p.misses++
	if p.misses >= maxMisses && p.latest.State == Alive {
		l.apply(now, Update{Node: node, Incarnation: p.latest.Incarnation, State: Suspect})
	}
}

// Merge applies the updates that a peer sent, as far as they are later than the
// known ones.
func (l *List) Merge(now time.Time, updates []Update) {
	for _, update := range updates {
		l.apply(now, update)
	}
}

func (l *List) apply(now time.Time, update Update) {
	if update.Node == l.self.Node {
		l.refute(update)
		return
	}
	p, ok := l.peers[update.Node]
	if !ok || !update.Supersedes(p.latest) {
		return
	}
	if update.State == Suspect {
		p.suspectSince = now
	}
	if update.Incarnation > p.latest.Incarnation {
		p.misses = 0
	}
	p.latest = update
	l.scheduleSend(update.Node)
}

// refute refutes an update about this node that is later than the own one, by
// raising the own incarnation above it. Such an update is a suspicion, or was left
// by an earlier process of the node.
func (l *List) refute(update Update) {
	if !update.Supersedes(l.self) {
		return
	}
	l.self.Incarnation = update.Incarnation + 1
	l.scheduleSend(l.self.Node)
}

// Leave records that this node is stopping, to be sent to the peers.
func (l *List) Leave() {
	l.self.State = Left
	l.scheduleSend(l.self.Node)
}

// IsLeaving tells whether Leave was called.
func (l *List) IsLeaving() bool { return l.self.State == Left }

// scheduleSend schedules the update about a node for sending. A process sends it as many
// times as the number of peers has binary digits, which is about the binary
// logarithm of that number.
func (l *List) scheduleSend(node glade.Node) {
	l.sendsLeft[node] = bits.Len(uint(len(l.peers)))
}

// Updates returns the updates for a message to a peer, up to the limit for one
// message: the update about the own node; the one about the peer if the peer is
// not alive, so that it can refute the update; and recent changes, those first
// that were sent least often.
func (l *List) Updates(to glade.Node) []Update {
	updates := []Update{l.self}
	if p, ok := l.peers[to]; ok && p.latest.State != Alive {
		updates = append(updates, p.latest)
	}
	for _, node := range l.leastSent() {
		if len(updates) == maxUpdates {
			break
		}
		if node == l.self.Node || node == to {
			continue
		}
		updates = append(updates, l.peers[node].latest)
		l.recordSend(node)
	}
	return updates
}

// recordSend records that the update about a node was sent once more.
func (l *List) recordSend(node glade.Node) {
	l.sendsLeft[node]--
	if l.sendsLeft[node] <= 0 {
		delete(l.sendsLeft, node)
	}
}

// leastSent returns the nodes with recent changes, those first whose update was sent
// least often.
func (l *List) leastSent() []glade.Node {
	nodes := make([]glade.Node, 0, len(l.sendsLeft))
	for node := range l.sendsLeft {
		nodes = append(nodes, node)
	}
	sort.Slice(nodes, func(i, j int) bool {
		if l.sendsLeft[nodes[i]] != l.sendsLeft[nodes[j]] {
			return l.sendsLeft[nodes[i]] > l.sendsLeft[nodes[j]]
		}
		return nodes[i] < nodes[j]
	})
	return nodes
}

// Self returns the name of the own node.
func (l *List) Self() glade.Node { return l.self.Node }

// State returns the state that a node is believed to be in. A node that the
// settings do not name is down.
func (l *List) State(node glade.Node) State {
	if node == l.self.Node {
		return l.self.State
	}
	if p, ok := l.peers[node]; ok {
		return p.latest.State
	}
	return Down
}

// Live returns the nodes that are believed to be alive or only suspect, in the
// order of their names. The own node is among them until it leaves.
func (l *List) Live() []glade.Node { return l.liveNodes(func(*peerState) bool { return true }) }

// LiveInZone returns the live nodes of the own zone, in the order of their names.
func (l *List) LiveInZone() []glade.Node {
	return l.liveNodes(func(p *peerState) bool { return p.Zone == l.config.Self.Zone })
}

func (l *List) liveNodes(accept func(*peerState) bool) []glade.Node {
	var nodes []glade.Node
	if l.self.State != Left {
		nodes = append(nodes, l.self.Node)
	}
	for _, p := range l.peers {
		if !p.isDownOrLeft() && accept(p) {
			nodes = append(nodes, p.Node)
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i] < nodes[j] })
	return nodes
}

// Zone returns the other nodes of the own zone in the settings, up or not, in the
// order of their names.
func (l *List) Zone() []glade.Node {
	var nodes []glade.Node
	for _, p := range l.ownZone.nodes {
		nodes = append(nodes, p.Node)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i] < nodes[j] })
	return nodes
}
