package member

import (
	"math/bits"
	"math/rand/v2"
	"sort"
	"time"

	glade "indigoglade"
)

// Period is the time between two calls of Targets.
const Period = 500 * time.Millisecond

// Bounds of the protocol.
const (
	// maxMisses is the number of unanswered probes in a row that make a peer
	// suspect.
	maxMisses = 5
	// suspectTime is how long a suspect may take to answer back.
	suspectTime = 3 * time.Second
	// maxFacts is the number of facts in one message.
	maxFacts = 6
	// maxRetries is the number of peers probed again in one period.
	maxRetries = 2
	// farPeriods is the number of periods between probes of another zone.
	farPeriods = 2
	// deadPeriods is the number of periods between probes of a peer that is
	// believed to be gone.
	deadPeriods = 4
)

// Peer is a node that may exist.
type Peer struct {
	Node glade.Node
	Zone glade.Zone
}

// Config configures a List.
type Config struct {
	Self  Peer
	Peers []Peer
	// Incarnation is higher than that of the node's earlier process.
	Incarnation uint64
	Random      *rand.Rand
}

// List is the belief about every peer. It is not safe for concurrent use.
type List struct {
	config Config
	self   Fact
	peers  map[glade.Node]*peer
	near   ring
	far    ring
	news   map[glade.Node]int
	ticks  int
}

type peer struct {
	Peer
	fact   Fact
	misses int
	// since is when the peer became suspect.
	since time.Time
}

func (p *peer) isGone() bool { return p.fact.State >= Down }

// New returns a list that believes every peer to be up, so that a process that
// starts does not take every duty for itself.
func New(config Config) *List {
	l := &List{
		config: config,
		self:   Fact{Node: config.Self.Node, Inc: config.Incarnation},
		peers:  make(map[glade.Node]*peer),
		news:   make(map[glade.Node]int),
	}
	for _, p := range config.Peers {
		known := &peer{Peer: p, fact: Fact{Node: p.Node}}
		l.peers[p.Node] = known
		if p.Zone == config.Self.Zone {
			l.near.nodes = append(l.near.nodes, known)
		} else {
			l.far.nodes = append(l.far.nodes, known)
		}
	}
	l.spread(l.self.Node)
	return l
}

// ring visits peers in a random order, each once in a round, so that the time
// until a peer is probed is bounded.
type ring struct {
	nodes []*peer
	next  int
}

func (r *ring) take(random *rand.Rand, accept func(*peer) bool) (*peer, bool) {
	for range r.nodes {
		if r.next == 0 {
			random.Shuffle(len(r.nodes), func(i, j int) { r.nodes[i], r.nodes[j] = r.nodes[j], r.nodes[i] })
		}
		p := r.nodes[r.next]
		r.next = (r.next + 1) % len(r.nodes)
		if accept(p) {
			return p, true
		}
	}
	return nil, false
}

// Targets returns the peers to probe in this period: one of the own zone, at
// times one of another zone and one that is believed to be gone, and those
// that missed a probe.
func (l *List) Targets(now time.Time) []glade.Node {
	l.expire(now)
	l.ticks++
	chosen := make(map[glade.Node]bool)
	var targets []glade.Node
	add := func(p *peer, ok bool) {
		if ok && !chosen[p.Node] {
			chosen[p.Node] = true
			targets = append(targets, p.Node)
		}
	}
	random := l.config.Random
	isUp := func(p *peer) bool { return !p.isGone() }
	add(l.near.take(random, isUp))
	if l.ticks%farPeriods == 0 || len(l.near.nodes) == 0 {
		add(l.far.take(random, isUp))
	}
	switch l.ticks % (2 * deadPeriods) {
	case 0:
		add(l.near.take(random, (*peer).isGone))
	case deadPeriods:
		add(l.far.take(random, (*peer).isGone))
	}
	for _, p := range l.missed() {
		add(p, true)
	}
	return targets
}

// missed returns some peers that did not answer their last probe.
func (l *List) missed() []*peer {
	var missed []*peer
	for _, p := range l.peers {
		if p.misses > 0 && !p.isGone() {
			missed = append(missed, p)
		}
	}
	sort.Slice(missed, func(i, j int) bool { return missed[i].Node < missed[j].Node })
	l.config.Random.Shuffle(len(missed), func(i, j int) { missed[i], missed[j] = missed[j], missed[i] })
	return missed[:min(len(missed), maxRetries)]
}

// expire takes suspects down that did not answer back in time.
func (l *List) expire(now time.Time) {
	for _, p := range l.peers {
		if p.fact.State == Suspect && now.Sub(p.since) >= suspectTime {
			l.learn(now, Fact{Node: p.Node, Inc: p.fact.Inc, State: Down})
		}
	}
}

// Heard records that a peer answered or called.
func (l *List) Heard(node glade.Node) {
	if p, ok := l.peers[node]; ok {
		p.misses = 0
	}
}

// Missed records that a peer did not answer a probe.
func (l *List) Missed(now time.Time, node glade.Node) {
	p, ok := l.peers[node]
	if !ok {
		return
	}
	p.misses++
	if p.misses >= maxMisses && p.fact.State == Alive {
		l.learn(now, Fact{Node: node, Inc: p.fact.Inc, State: Suspect})
	}
}

// Merge takes up the facts of a peer.
func (l *List) Merge(now time.Time, facts []Fact) {
	for _, fact := range facts {
		l.learn(now, fact)
	}
}

func (l *List) learn(now time.Time, fact Fact) {
	if fact.Node == l.self.Node {
		l.answerBack(fact)
		return
	}
	p, ok := l.peers[fact.Node]
	if !ok || !fact.IsLater(p.fact) {
		return
	}
	if fact.State == Suspect {
		p.since = now
	}
	if fact.Inc > p.fact.Inc {
		p.misses = 0
	}
	p.fact = fact
	l.spread(fact.Node)
}

// answerBack raises the own incarnation over a later fact about this node,
// which came from a doubt or from an earlier process of the node.
func (l *List) answerBack(fact Fact) {
	if !fact.IsLater(l.self) {
		return
	}
	l.self.Inc = fact.Inc + 1
	l.spread(l.self.Node)
}

// Leave tells the peers that this node is stopping.
func (l *List) Leave() {
	l.self.State = Left
	l.spread(l.self.Node)
}

// IsLeaving tells whether Leave was called.
func (l *List) IsLeaving() bool { return l.self.State == Left }

// spread makes the fact about a node news again. A process passes it on as
// often as the binary logarithm of the number of peers, rounded up.
func (l *List) spread(node glade.Node) {
	l.news[node] = bits.Len(uint(len(l.peers)))
}

// Facts returns what a message to a peer says: the own fact, the fact about
// the peer when it is in doubt, so that it can answer back, and the news that
// were passed on least.
func (l *List) Facts(to glade.Node) []Fact {
	facts := []Fact{l.self}
	if p, ok := l.peers[to]; ok && p.fact.State != Alive {
		facts = append(facts, p.fact)
	}
	for _, node := range l.freshest() {
		if len(facts) == maxFacts {
			break
		}
		if node == l.self.Node || node == to {
			continue
		}
		facts = append(facts, l.peers[node].fact)
		l.passed(node)
	}
	return facts
}

func (l *List) passed(node glade.Node) {
	l.news[node]--
	if l.news[node] <= 0 {
		delete(l.news, node)
	}
}

// freshest returns the nodes with news, those that were passed on least first.
func (l *List) freshest() []glade.Node {
	nodes := make([]glade.Node, 0, len(l.news))
	for node := range l.news {
		nodes = append(nodes, node)
	}
	sort.Slice(nodes, func(i, j int) bool {
		if l.news[nodes[i]] != l.news[nodes[j]] {
			return l.news[nodes[i]] > l.news[nodes[j]]
		}
		return nodes[i] < nodes[j]
	})
	return nodes
}

// Self returns the own node.
func (l *List) Self() glade.Node { return l.self.Node }

// State returns what is believed of a node. A node that the settings do not
// name is down.
func (l *List) State(node glade.Node) State {
	if node == l.self.Node {
		return l.self.State
	}
	if p, ok := l.peers[node]; ok {
		return p.fact.State
	}
	return Down
}

// Live returns the nodes that are believed to be up and not leaving, in the
// order of their names.
func (l *List) Live() []glade.Node { return l.live(func(*peer) bool { return true }) }

// LiveZone is Live for the own zone.
func (l *List) LiveZone() []glade.Node {
	return l.live(func(p *peer) bool { return p.Zone == l.config.Self.Zone })
}

func (l *List) live(accept func(*peer) bool) []glade.Node {
	var nodes []glade.Node
	if l.self.State != Left {
		nodes = append(nodes, l.self.Node)
	}
	for _, p := range l.peers {
		if !p.isGone() && accept(p) {
			nodes = append(nodes, p.Node)
		}
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i] < nodes[j] })
	return nodes
}

// Zone returns the other nodes that the settings name in the own zone, in the
// order of their names.
func (l *List) Zone() []glade.Node {
	var nodes []glade.Node
	for _, p := range l.near.nodes {
		nodes = append(nodes, p.Node)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i] < nodes[j] })
	return nodes
}
