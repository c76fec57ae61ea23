package peer

import (
	"math/rand/v2"
	"time"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/member"
)

// NodeConfig configures a Node.
type NodeConfig struct {
	Self  member.Peer
	Peers []member.Peer
	Book  *adopt.Book
	// Incarnation is higher than that of the node's earlier process.
	Incarnation uint64
	Random      *rand.Rand
}

// Node decides what a process tells its peers and what it takes from them. It
// is not safe for concurrent use.
type Node struct {
	config NodeConfig
	list   *member.List
	book   *adopt.Book
	ends   *ends
	start  *start
	// relays are two nodes of each other zone, which pass urgent news on.
	relays []glade.Node
	zones  map[glade.Node]glade.Zone
	// heads are the newest changes that peers are known to know.
	heads map[glade.Node]uint64
	// pending is since when a contract is known and not in force.
	pending time.Time
	polled  time.Time
	pulling time.Time
}

// maxRows is the number of contracts in one message.
const maxRows = 32

// relaysPerZone is the number of nodes of another zone that urgent news goes
// to directly.
const relaysPerZone = 2

// NewNode returns a node that knows no contract.
func NewNode(config NodeConfig) *Node {
	n := &Node{
		config: config,
		list: member.New(member.Config{
			Self: config.Self, Peers: config.Peers, Incarnation: config.Incarnation, Random: config.Random,
		}),
		book:  config.Book,
		ends:  newEnds(),
		zones: make(map[glade.Node]glade.Zone),
		heads: make(map[glade.Node]uint64),
	}
	perZone := make(map[glade.Zone]int)
	for _, p := range config.Peers {
		n.zones[p.Node] = p.Zone
		if p.Zone != config.Self.Zone && perZone[p.Zone] < relaysPerZone {
			perZone[p.Zone]++
			n.relays = append(n.relays, p.Node)
		}
	}
	n.start = newStart(n.circle())
	return n
}

// circle returns the peers that know every version which was in force at this
// node: those of the own zone, or all when the zone has no other.
func (n *Node) circle() []glade.Node {
	if zone := n.list.Zone(); len(zone) > 0 {
		return zone
	}
	var all []glade.Node
	for _, p := range n.config.Peers {
		all = append(all, p.Node)
	}
	return all
}

// Tick returns what to do in this period.
func (n *Node) Tick(now time.Time) Act {
	act := Act{Send: n.list.Targets(now), Poll: n.isPollDue(now)}
	if act.Poll {
		n.polled = now
	}
	if !n.isWarm() {
		act.Send = union(act.Send, n.start.waiting())
	}
	act.Adopted = n.settle(now)
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

// isPollDue divides the reading of the head: a few nodes of each zone do it
// often.
func (n *Node) isPollDue(now time.Time) bool {
	period := sparePeriod
	if n.isPoller() || !n.isWarm() {
		period = pollPeriod
	}
	return n.polled.IsZero() || now.Sub(n.polled) >= period || now.Before(n.polled)
}

func (n *Node) isPoller() bool {
	for i, node := range n.list.LiveZone() {
		if i < pollers && node == n.list.Self() {
			return true
		}
	}
	return false
}

func (n *Node) isWarm() bool { return n.book.IsConfirmed() }

// Polled takes up the result of reading the table service.
func (n *Node) Polled(now time.Time) Act {
	if !n.book.IsPending() {
		return Act{}
	}
	adopted := n.settle(now)
	if !n.book.IsPending() {
		return Act{Adopted: adopted}
	}
	return Act{Send: n.list.Zone()}
}

// holdTime is how long a contract waits to be known to every live node of the
// zone before it comes in force.
const holdTime = time.Second

// settle puts what is known in force when it has waited for the zone long
// enough, or there is no other node to wait for.
func (n *Node) settle(now time.Time) int {
	if !n.book.IsPending() || !n.isWarm() {
		n.pending = time.Time{}
		return 0
	}
	if n.pending.IsZero() {
		n.pending = now
	}
	alone := len(n.list.LiveZone()) <= 1
	if alone || now.Sub(n.pending) >= holdTime || now.Before(n.pending) {
		return n.enforce()
	}
	return 0
}

func (n *Node) enforce() int {
	n.pending = time.Time{}
	return n.book.Enforce()
}

// Message returns the news for a peer.
func (n *Node) Message(now time.Time, to glade.Node) News {
	return News{Facts: n.list.Facts(to), Head: n.book.Head(now), Ends: n.ends.pass()}
}

// Receive takes up the news of a peer that called, and returns the answer.
func (n *Node) Receive(now time.Time, news News) (News, Act) {
	from := news.From()
	act := n.take(now, news)
	reply := n.Message(now, from)
	if news.Head.Change < n.book.Change() {
		reply.Rows, reply.Whole = n.book.After(news.Head.Change, maxRows)
	}
	if !news.Head.IsConfirmed() {
		reply.Ends = n.ends.order
	}
	if news.Head.Change > n.book.Change() && now.Sub(n.pulling).Abs() >= member.Period {
		n.pulling = now
		act.Send = append(act.Send, from)
	}
	return reply, act
}

// Answered takes up the answer to news that were sent to a peer at a time.
func (n *Node) Answered(now, sent time.Time, to glade.Node, reply News) Act {
	before := n.book.Change()
	n.book.Learn(reply.Rows, reply.Whole)
	act := n.take(now, reply)
	n.start.answered(to, reply.Head)
	// The peer's age counts from when it answered, which was after sent.
	confirmed := sent.Add(-time.Duration(reply.Head.Age) * time.Millisecond)
	if reply.Head.IsConfirmed() && n.book.Change() >= reply.Head.Change {
		act.Adopted += n.confirm(reply.Head.Change, confirmed)
	}
	if n.book.Change() < reply.Head.Change && n.book.Change() > before {
		act.Send = append(act.Send, to)
	}
	return act
}

// confirm takes a peer's word for what the table service showed. A node that
// starts does so only after it has asked its whole circle.
func (n *Node) confirm(change uint64, at time.Time) int {
	if n.isWarm() {
		n.book.Confirm(change, at)
		return 0
	}
	if !n.start.isDone() || n.book.Change() < n.start.newest {
		return 0
	}
	n.book.Confirm(change, at)
	return n.enforce()
}

// take merges what both calls and answers carry.
func (n *Node) take(now time.Time, news News) Act {
	from := news.From()
	n.list.Heard(from)
	n.list.Merge(now, news.Facts)
	act := Act{Adopted: n.witness(from, news.Head)}
	var urgent []glade.Node
	if n.zones[from] != n.config.Self.Zone {
		urgent = n.list.Zone()
	}
	for _, endpoint := range news.Ends {
		if n.ends.learn(endpoint, len(urgent)) {
			act.Ends = append(act.Ends, endpoint)
		}
	}
	if len(act.Ends) > 0 {
		act.Send = append(act.Send, urgent...)
	}
	return act
}

// witness puts what is known in force when every live node of the own zone
// knows it. A process that starts later finds it at any of them.
func (n *Node) witness(from glade.Node, head adopt.Head) int {
	n.heads[from] = max(n.heads[from], head.Change)
	if !n.isWarm() || !n.book.IsPending() || !n.start.inCircle(from) {
		return 0
	}
	for _, node := range n.list.LiveZone() {
		if node != n.list.Self() && n.heads[node] < n.book.Change() {
			return 0
		}
	}
	return n.enforce()
}

// Missed records that a peer did not answer.
func (n *Node) Missed(now time.Time, to glade.Node) {
	n.list.Missed(now, to)
	n.start.missed(to)
}

// End takes up the sign that an endpoint incarnation is leaving, and returns
// whom to tell.
func (n *Node) End(endpoint glade.Endpoint) Act {
	urgent := n.urgent()
	if !n.ends.learn(endpoint, len(urgent)) {
		return Act{}
	}
	return Act{Ends: []glade.Endpoint{endpoint}, Send: urgent}
}

// Leave tells the peers that this node is stopping.
func (n *Node) Leave() Act {
	n.list.Leave()
	return Act{Send: n.urgent()}
}

// urgent returns the peers that urgent news goes to at once: those of the own
// zone, and some of each other zone, which pass it on in theirs.
func (n *Node) urgent() []glade.Node {
	return append(n.list.Zone(), n.relays...)
}

// Live returns the nodes that are believed to be up and not leaving.
func (n *Node) Live() []glade.Node { return n.list.Live() }

// State returns what is believed of a node.
func (n *Node) State(node glade.Node) member.State { return n.list.State(node) }
