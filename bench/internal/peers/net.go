package peers

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/member"
	"indigoglade/memory"
	"indigoglade/peer"
)

// Times of the fake network.
const (
	callTimeout = 400 * time.Millisecond
	minDelay    = time.Millisecond
	maxDelay    = 5 * time.Millisecond
	// rpcBytes is the size of the jsonrpc2 envelope of a call and its answer.
	rpcBytes = 90
)

var epoch = time.Unix(1_700_000_000, 0)

// fakeNet carries messages between nodes in virtual time. It loses some and
// counts the bytes of the encoded ones.
type fakeNet struct {
	now    time.Time
	events eventHeap
	order  int
	random *rand.Rand
	loss   float64
	table  *memory.Table
	procs  map[glade.Node]*proc
	names  []glade.Node
	// isCut tells whether messages between two zones are lost; the zone
	// "platform" stands for the table service.
	isCut func(a, b glade.Zone) bool
	// weigh asks to count the bytes of messages.
	weigh bool
}

// proc is a process of a node. A dead one neither sends nor receives.
type proc struct {
	self  member.Peer
	node  *peer.Gossip
	book  *adopt.Registry
	dead  bool
	bytes int
	ends  map[glade.Endpoint]time.Time
	// served is the newest version that was in force, by customer, and
	// reverts counts how often an older one came in force after it.
	served  map[glade.Customer]uint64
	reverts int
	forced  map[uint64]time.Time
}

const platform glade.Zone = "platform"

type event struct {
	at    time.Time
	order int
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// newNet starts one process on each of zones*perZone nodes.
func newNet(seed uint64, zones, perZone int, loss float64) *fakeNet {
	n := &fakeNet{
		now:    epoch,
		random: rand.New(rand.NewPCG(seed, 0)),
		loss:   loss,
		table:  memory.NewTable(),
		procs:  make(map[glade.Node]*proc),
		isCut:  func(glade.Zone, glade.Zone) bool { return false },
	}
	for i := range zones * perZone {
		name := glade.Node(fmt.Sprintf("e%02d", i))
		n.names = append(n.names, name)
		n.procs[name] = &proc{self: member.Peer{Node: name, Zone: glade.Zone(fmt.Sprintf("z%d", i/perZone))}}
	}
	for _, name := range n.names {
		n.start(name)
	}
	return n
}

// start replaces the process of a node by a new one that knows nothing.
func (n *fakeNet) start(name glade.Node) {
	old := n.procs[name]
	old.dead = true
	var others []member.Peer
	for _, other := range n.names {
		if other != name {
			others = append(others, n.procs[other].self)
		}
	}
	p := &proc{
		self:   old.self,
		book:   adopt.New(),
		ends:   make(map[glade.Endpoint]time.Time),
		served: old.served,
		forced: make(map[uint64]time.Time),
		bytes:  old.bytes,

		reverts: old.reverts,
	}
	if p.served == nil {
		p.served = make(map[glade.Customer]uint64)
	}
	p.node = peer.NewGossip(peer.GossipConfig{
		Self: p.self, Peers: others, Book: p.book, InitialIncarnation: uint64(n.now.UnixMilli()),
		Random: rand.New(rand.NewPCG(n.random.Uint64(), 0)),
	})
	n.procs[name] = p
	n.after(time.Duration(n.random.Int64N(int64(member.ProbePeriod))), func() { n.tick(p) })
}

func (n *fakeNet) after(d time.Duration, do func()) {
	n.order++
	heap.Push(&n.events, event{at: n.now.Add(d), order: n.order, do: do})
}

// run moves the time on by d.
func (n *fakeNet) run(d time.Duration) {
	until := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(until) {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.do()
	}
	n.now = until
}

func (n *fakeNet) tick(p *proc) {
	if p.dead {
		return
	}
	n.act(p, p.node.Tick(n.now))
	n.after(member.ProbePeriod, func() { n.tick(p) })
}

func (n *fakeNet) act(p *proc, act peer.Actions) {
	for _, to := range act.SendTo {
		n.call(p, to)
	}
	for _, endpoint := range act.LeavingEndpoints {
		p.ends[endpoint] = n.now
	}
	if act.ReadTable {
		n.after(n.delay(), func() { n.poll(p) })
	}
	if act.Activated > 0 {
		n.look(p)
	}
}

// look records which versions are in force.
func (n *fakeNet) look(p *proc) {
	for _, contract := range p.book.All() {
		customer, version := contract.Customer(), contract.Version()
		if version < p.served[customer] {
			p.reverts++
		}
		p.served[customer] = version
	}
	p.forced[p.book.Change()] = n.now
}

func (n *fakeNet) poll(p *proc) {
	if p.dead || n.isCut(p.self.Zone, platform) {
		return
	}
	if adopt.Refresh(context.Background(), n.table, p.book, n.now) == nil {
		n.act(p, p.node.TableRead(n.now))
	}
}

func (n *fakeNet) delay() time.Duration {
	return minDelay + time.Duration(n.random.Int64N(int64(maxDelay-minDelay)))
}

func (n *fakeNet) isLost(a, b *proc) bool {
	return n.random.Float64() < n.loss || n.isCut(a.self.Zone, b.self.Zone)
}

func (n *fakeNet) call(p *proc, to glade.Node) {
	news := p.node.MessageTo(n.now, to)
	sent := n.now
	done := false
	n.after(callTimeout, func() {
		if !done && !p.dead {
			p.node.RecordMiss(n.now, to)
		}
		done = true
	})
	p.bytes += n.size(news)
	if n.isLost(p, n.procs[to]) {
		return
	}
	n.after(n.delay(), func() {
		q := n.procs[to]
		if q.dead {
			return
		}
		q.bytes += n.size(news)
		reply, act := q.node.HandleMessage(n.now, news)
		n.act(q, act)
		q.bytes += n.size(reply)
		if n.isLost(q, p) {
			return
		}
		n.after(n.delay(), func() {
			if done || p.dead {
				return
			}
			done = true
			p.bytes += n.size(reply)
			n.act(p, p.node.HandleReply(n.now, sent, to, reply))
		})
	})
}

func (n *fakeNet) size(news peer.Message) int {
	if !n.weigh {
		return 0
	}
	encoded, err := json.Marshal(news)
	if err != nil {
		panic(err)
	}
	return len(encoded) + rpcBytes
}

// accept commits the next version of a customer's contract.
func (n *fakeNet) accept(customer glade.Customer, seen uint64) error {
	_, err := adopt.Accept(context.Background(), n.table, sampleSpec(customer), seen)
	return err
}

// sampleSpec is a contract of the usual size.
func sampleSpec(customer glade.Customer) glade.ContractSpec {
	spec := glade.ContractSpec{
		Customer: customer,
		Answer: glade.AnswerSpec{
			Deadline: glade.Span(5 * time.Second), Target: 97, Rate: 300, Flight: 160, Queue: 200,
			Window: glade.Span(10 * time.Minute), Retry: 10,
		},
		Budget: glade.BudgetSpec{Down: 2, Minutes: 600, Window: glade.Span(24 * time.Hour), Domain: "rack"},
	}
	for _, name := range []glade.Pool{"shading", "yield"} {
		spec.Pools = append(spec.Pools, glade.PoolSpec{
			Name: name, Serve: glade.Service(name), Hosts: 10, Floor: 6, Ceiling: 16, Slots: 8, Links: 64, Repeatable: true,
		})
	}
	return spec
}

// live returns the processes that run, in the order of their names.
func (n *fakeNet) live() []*proc {
	var procs []*proc
	for _, p := range n.procs {
		if !p.dead {
			procs = append(procs, p)
		}
	}
	sort.Slice(procs, func(i, j int) bool { return procs[i].self.Node < procs[j].self.Node })
	return procs
}

// reverts counts how often an older version followed a newer one.
func (n *fakeNet) reverts() int {
	total := 0
	for _, p := range n.live() {
		total += p.reverts
	}
	return total
}

// faults are the faults that hold at the moment.
type faults struct {
	zone     glade.Zone
	platform bool
}

// disturb brings about one random fault or its end.
func (n *fakeNet) disturb(f *faults) {
	switch n.random.IntN(10) {
	case 0:
		f.zone = glade.Zone(fmt.Sprintf("z%d", n.random.IntN(smallZones)))
	case 1:
		f.zone = ""
	case 2, 3:
		f.platform = !f.platform
	default:
		n.start(n.names[n.random.IntN(len(n.names))])
	}
	n.isCut = func(a, b glade.Zone) bool {
		if a == platform || b == platform {
			return f.platform
		}
		return a != b && (a == f.zone || b == f.zone)
	}
}
