package peer

import (
	"math/rand/v2"
	"time"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/member"
)

// NodeConfig configures the gossip protocol of one process.
type NodeConfig struct {
	Self  member.Peer
	Peers []member.Peer
	// Book holds the contracts that are exchanged with the peers.
	Book *adopt.Book
	// Incarnation must be higher than that of the node's earlier process.
	Incarnation uint64
	Random      *rand.Rand
}

// Node is the state of the gossip protocol in one process. It decides what the
// process sends to its peers and which of their information it takes over, and
// does no I/O. It is not safe for concurrent use.
type Node struct {
	config  NodeConfig
	list    *member.List
	book    *adopt.Book
	leaving *leavingEndpoints
	startup *startup
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

// NewNode returns the protocol's state at the start: every peer is believed to be
// alive.
func NewNode(config NodeConfig) *Node {
	n := &Node{
		config: config,
		list: member.New(member.Config{
			Self: config.Self, Peers: config.Peers, Incarnation: config.Incarnation, Random: config.Random,
		}),
		book:         config.Book,
		leaving:      newLeavingEndpoints(),
		zones:        make(map[glade.Node]glade.Zone),
		knownChanges: make(map[glade.Node]uint64),
	}
	perZone := make(map[glade.Zone]int)
	for _, p := range config.Peers {
		n.zones[p.Node] = p.Zone
		if p.Zone != config.Self.Zone && perZone[p.Zone] < relaysPerZone {
			perZone[p.Zone]++
			n.relays = append(n.relays, p.Node)
		}
	}
	n.startup = newStartup(n.startupPeers())
	return n
}

// startupPeers returns the peers that together know every contract version that was
// active in this node's earlier process: those of the own zone, or all peers when
// the zone has no other node.
func (n *Node) startupPeers() []glade.Node {
	if zone := n.list.Zone(); len(zone) > 0 {
		return zone
	}
	var all []glade.Node
	for _, p := range n.config.Peers {
		all = append(all, p.Node)
	}
	return all
}

// Tick returns what to do in this period. It is meant to be called once a period.
func (n *Node) Tick(now time.Time) Act {
	act := Act{Send: n.list.Targets(now), Poll: n.isPollDue(now)}
	if act.Poll {
		n.lastPoll = now
	}
	if !n.isConfirmed() {
		act.Send = union(act.Send, n.startup.unanswered())
	}
	act.Adopted = n.activateDue(now)
	return act
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
func (n *Node) isPollDue(now time.Time) bool {
	period := sparePollPeriod
	if n.isPoller() || !n.isConfirmed() {
		period = pollPeriod
	}
	return n.lastPoll.IsZero() || now.Sub(n.lastPoll) >= period || now.Before(n.lastPoll)
}

// isPoller reports whether this node is among the first live ones of its zone,
// which poll the table service with the short period.
func (n *Node) isPoller() bool {
	for i, node := range n.list.LiveZone() {
		if i < pollersPerZone && node == n.list.Self() {
			return true
		}
	}
	return false
}

// isConfirmed reports whether the contracts were ever confirmed since the start.
func (n *Node) isConfirmed() bool { return n.book.IsConfirmed() }

// Polled continues after the table service was read. When contracts have become
// pending, the own zone is told of them before they become active.
func (n *Node) Polled(now time.Time) Act {
	if !n.book.IsPending() {
		return Act{}
	}
	adopted := n.activateDue(now)
	if !n.book.IsPending() {
		return Act{Adopted: adopted}
	}
	return Act{Send: n.list.Zone()}
}

// maxPendingTime is the longest time for which a contract stays pending until every
// live node of the zone knows it. After that it becomes active anyway.
const maxPendingTime = time.Second

// activateDue activates the pending contracts when they have waited long enough for the
// nodes of the zone, when there is no other live node in the zone, or when the
// clock was set back. It returns the number of contracts that became active.
func (n *Node) activateDue(now time.Time) int {
	if !n.book.IsPending() || !n.isConfirmed() {
		n.pendingSince = time.Time{}
		return 0
	}
	if n.pendingSince.IsZero() {
		n.pendingSince = now
	}
	alone := len(n.list.LiveZone()) <= 1
	if alone || now.Sub(n.pendingSince) >= maxPendingTime || now.Before(n.pendingSince) {
		return n.activate()
	}
	return 0
}

func (n *Node) activate() int {
	n.pendingSince = time.Time{}
	return n.book.Enforce()
}

// Message returns the message for a peer, without contracts.
func (n *Node) Message(now time.Time, to glade.Node) News {
	return News{Facts: n.list.Facts(to), Head: n.book.Head(now), Ends: n.leaving.nextBatch()}
}

// Receive handles the message of a peer that called, and returns the reply. The
// reply carries the contracts that the caller lacks, and for a caller that is
// starting the most recent leaving endpoints. When the caller has newer contracts,
// they are requested from it, at most once a period.
func (n *Node) Receive(now time.Time, news News) (News, Act) {
	from := news.From()
	act := n.merge(now, news)
	reply := n.Message(now, from)
	if news.Head.Change < n.book.Change() {
		reply.Rows, reply.Whole = n.book.After(news.Head.Change, maxRows)
	}
	if !news.Head.IsConfirmed() {
		reply.Ends = n.leaving.recent
	}
	if news.Head.Change > n.book.Change() && now.Sub(n.lastPull).Abs() >= member.Period {
		n.lastPull = now
		act.Send = append(act.Send, from)
	}
	return reply, act
}

// Answered handles a peer's reply to a message that was sent at the time sent. When
// the reply brought some but not all of the contracts that this node lacked, the
// peer is called again at once.
func (n *Node) Answered(now, sent time.Time, to glade.Node, reply News) Act {
	before := n.book.Change()
	n.book.Learn(reply.Rows, reply.Whole)
	act := n.merge(now, reply)
	n.startup.recordReply(to, reply.Head)
	// The age is as of the peer's reply. Counting it from the earlier time of
	// sending never makes the contracts look more recent than they are.
	confirmed := sent.Add(-time.Duration(reply.Head.Age) * time.Millisecond)
	if reply.Head.IsConfirmed() && n.book.Change() >= reply.Head.Change {
		act.Adopted += n.confirmFromPeer(reply.Head.Change, confirmed)
	}
	if n.book.Change() < reply.Head.Change && n.book.Change() > before {
		act.Send = append(act.Send, to)
	}
	return act
}

// confirmFromPeer records that a peer read change as the newest one in the table service
// at a time. A node that is starting accepts this only after all startup peers
// have answered or missed their calls, and once it has the newest change among
// the answers. It then activates the contracts and returns their number.
func (n *Node) confirmFromPeer(change uint64, at time.Time) int {
	if n.isConfirmed() {
		n.book.Confirm(change, at)
		return 0
	}
	if !n.startup.isDone() || n.book.Change() < n.startup.newestChange {
		return 0
	}
	n.book.Confirm(change, at)
	return n.activate()
}

// merge merges what a message carries, be it a call or a reply. New leaving
// endpoints from another zone are forwarded to the own zone at once.
func (n *Node) merge(now time.Time, news News) Act {
	from := news.From()
	n.list.Heard(from)
	n.list.Merge(now, news.Facts)
	act := Act{Adopted: n.recordKnownChange(from, news.Head)}
	var urgent []glade.Node
	if n.zones[from] != n.config.Self.Zone {
		urgent = n.list.Zone()
	}
	for _, endpoint := range news.Ends {
		if n.leaving.add(endpoint, len(urgent)) {
			act.Ends = append(act.Ends, endpoint)
		}
	}
	if len(act.Ends) > 0 {
		act.Send = append(act.Send, urgent...)
	}
	return act
}

// recordKnownChange records the last contract change that a peer has, and activates the
// pending contracts once every live node of the own zone knows them: a process
// that starts later can then get them from any of these nodes. It returns the
// number of contracts that became active.
func (n *Node) recordKnownChange(from glade.Node, head adopt.Head) int {
	n.knownChanges[from] = max(n.knownChanges[from], head.Change)
	if !n.isConfirmed() || !n.book.IsPending() || !n.startup.includes(from) {
		return 0
	}
	for _, node := range n.list.LiveZone() {
		if node != n.list.Self() && n.knownChanges[node] < n.book.Change() {
			return 0
		}
	}
	return n.activate()
}

// Missed records that a peer did not answer a message.
func (n *Node) Missed(now time.Time, to glade.Node) {
	n.list.Missed(now, to)
	n.startup.recordMiss(to)
}

// End records that an endpoint incarnation is leaving. If that is new, the result
// names the peers to tell at once.
func (n *Node) End(endpoint glade.Endpoint) Act {
	urgent := n.urgentPeers()
	if !n.leaving.add(endpoint, len(urgent)) {
		return Act{}
	}
	return Act{Ends: []glade.Endpoint{endpoint}, Send: urgent}
}

// Leave records that this node is stopping, and returns the peers to tell at once.
func (n *Node) Leave() Act {
	n.list.Leave()
	return Act{Send: n.urgentPeers()}
}

// urgentPeers returns the peers that get urgent information at once: those of the own
// zone, and a few of each other zone, which forward it within theirs.
func (n *Node) urgentPeers() []glade.Node {
	return append(n.list.Zone(), n.relays...)
}

// Live returns the nodes that are believed to be up and not leaving, in the order
// of their names.
func (n *Node) Live() []glade.Node { return n.list.Live() }

// State returns the state that a node is believed to be in.
func (n *Node) State(node glade.Node) member.State { return n.list.State(node) }
