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

// Delays and timeouts of the fake network.
const (
	callTimeout = 400 * time.Millisecond
	minDelay    = time.Millisecond
	maxDelay    = 5 * time.Millisecond
	// envelopeBytes is the size of the jsonrpc2 envelope that each message is counted with.
	envelopeBytes = 90
)

var startTime = time.Unix(1_700_000_000, 0)

// fakeNet carries messages between nodes in virtual time. It loses a share of them and can count
// their encoded size.
type fakeNet struct {
	now       time.Time
	events    eventHeap
	sequence  int
	random    *rand.Rand
	loss      float64
	table     *memory.Table
	processes map[glade.Node]*process
	names     []glade.Node
	// isCut reports whether messages between two zones are lost; the zone "platform" stands for the
	// table service.
	isCut func(a, b glade.Zone) bool
	// countBytes enables counting the size of messages.
	countBytes bool
}

// process is the process of a node. A stopped one neither sends nor receives.
type process struct {
	self         member.Peer
	node         *peer.Gossip
	registry     *adopt.Registry
	stopped      bool
	bytes        int
	endpointEnds map[glade.Endpoint]time.Time
	// newestVersion is the newest contract version that was in force for each customer; reverts
	// counts how often an older one replaced a newer one.
	newestVersion map[glade.Customer]uint64
	reverts       int
	adoptedAt     map[uint64]time.Time
}

const platform glade.Zone = "platform"

type event struct {
	at       time.Time
	sequence int
	action   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
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
		now:       startTime,
		random:    rand.New(rand.NewPCG(seed, 0)),
		loss:      loss,
		table:     memory.NewTable(),
		processes: make(map[glade.Node]*process),
		isCut:     func(glade.Zone, glade.Zone) bool { return false },
	}
	for i := range zones * perZone {
		name := glade.Node(fmt.Sprintf("e%02d", i))
		n.names = append(n.names, name)
		n.processes[name] = &process{self: member.Peer{Node: name, Zone: glade.Zone(fmt.Sprintf("z%d", i/perZone))}}
	}
	for _, name := range n.names {
		n.start(name)
	}
	return n
}

// start replaces the process of a node by a new one without state.
func (n *fakeNet) start(name glade.Node) {
	old := n.processes[name]
	old.stopped = true
	var others []member.Peer
	for _, other := range n.names {
		if other != name {
			others = append(others, n.processes[other].self)
		}
	}
	p := &process{
		self:          old.self,
		registry:      adopt.New(),
		endpointEnds:  make(map[glade.Endpoint]time.Time),
		newestVersion: old.newestVersion,
		adoptedAt:     make(map[uint64]time.Time),
		bytes:         old.bytes,

		reverts: old.reverts,
	}
	if p.newestVersion == nil {
		p.newestVersion = make(map[glade.Customer]uint64)
	}
	p.node = peer.NewGossip(peer.GossipConfig{
		Self: p.self, Peers: others, Registry: p.registry, InitialIncarnation: uint64(n.now.UnixMilli()),
		Random: rand.New(rand.NewPCG(n.random.Uint64(), 0)),
	})
	n.processes[name] = p
	n.schedule(time.Duration(n.random.Int64N(int64(member.ProbePeriod))), func() { n.tick(p) })
}

func (n *fakeNet) schedule(d time.Duration, action func()) {
	n.sequence++
	heap.Push(&n.events, event{at: n.now.Add(d), sequence: n.sequence, action: action})
}

// run advances the virtual time by d and runs the events that fall due.
func (n *fakeNet) run(d time.Duration) {
	until := n.now.Add(d)
	for len(n.events) > 0 && !n.events[0].at.After(until) {
		e := heap.Pop(&n.events).(event)
		n.now = e.at
		e.action()
	}
	n.now = until
}

func (n *fakeNet) tick(p *process) {
	if p.stopped {
		return
	}
	n.perform(p, p.node.Tick(n.now))
	n.schedule(member.ProbePeriod, func() { n.tick(p) })
}

func (n *fakeNet) perform(p *process, actions peer.Actions) {
	for _, to := range actions.SendTo {
		n.call(p, to)
	}
	for _, endpoint := range actions.LeavingEndpoints {
		p.endpointEnds[endpoint] = n.now
	}
	if actions.ReadTable {
		n.schedule(n.delay(), func() { n.poll(p) })
	}
	if actions.Activated > 0 {
		n.recordVersions(p)
	}
}

// recordVersions records the contract versions in force at a process, and counts reverts.
func (n *fakeNet) recordVersions(p *process) {
	for _, contract := range p.registry.All() {
		customer, version := contract.Customer(), contract.Version()
		if version < p.newestVersion[customer] {
			p.reverts++
		}
		p.newestVersion[customer] = version
	}
	p.adoptedAt[p.registry.Change()] = n.now
}

func (n *fakeNet) poll(p *process) {
	if p.stopped || n.isCut(p.self.Zone, platform) {
		return
	}
	if adopt.Refresh(context.Background(), n.table, p.registry, n.now) == nil {
		n.perform(p, p.node.TableRead(n.now))
	}
}

func (n *fakeNet) delay() time.Duration {
	return minDelay + time.Duration(n.random.Int64N(int64(maxDelay-minDelay)))
}

func (n *fakeNet) isLost(a, b *process) bool {
	return n.random.Float64() < n.loss || n.isCut(a.self.Zone, b.self.Zone)
}

func (n *fakeNet) call(p *process, to glade.Node) {
	message := p.node.MessageTo(n.now, to)
	sent := n.now
	done := false
	n.schedule(callTimeout, func() {
		if !done && !p.stopped {
			p.node.RecordMiss(n.now, to)
		}
		done = true
	})
	p.bytes += n.encodedSize(message)
	if n.isLost(p, n.processes[to]) {
		return
	}
	n.schedule(n.delay(), func() {
		q := n.processes[to]
		if q.stopped {
			return
		}
		q.bytes += n.encodedSize(message)
		reply, act := q.node.HandleMessage(n.now, message)
		n.perform(q, act)
		q.bytes += n.encodedSize(reply)
		if n.isLost(q, p) {
			return
		}
		n.schedule(n.delay(), func() {
			if done || p.stopped {
				return
			}
			done = true
			p.bytes += n.encodedSize(reply)
			n.perform(p, p.node.HandleReply(n.now, sent, to, reply))
		})
	})
}

func (n *fakeNet) encodedSize(message peer.Message) int {
	if !n.countBytes {
		return 0
	}
	encoded, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	return len(encoded) + envelopeBytes
}

// accept commits a new version of a customer's contract on top of version seen.
func (n *fakeNet) accept(customer glade.Customer, seen uint64) error {
	_, err := adopt.Accept(context.Background(), n.table, sampleSpec(customer), seen)
	return err
}

// sampleSpec returns a contract of typical size.
func sampleSpec(customer glade.Customer) glade.ContractSpec {
	spec := glade.ContractSpec{
		Customer: customer,
		Answer: glade.AnswerSpec{
			Deadline: glade.Span(5 * time.Second), Target: 97, Rate: 300, MaxInFlight: 160, MaxQueued: 200,
			Window: glade.Span(10 * time.Minute), RetryPercent: 10,
		},
		Budget: glade.BudgetSpec{Down: 2, Minutes: 600, Window: glade.Span(24 * time.Hour), Domain: "rack"},
	}
	for _, name := range []glade.Pool{"shading", "yield"} {
		spec.Pools = append(spec.Pools, glade.PoolSpec{
			Name: name, Serve: glade.Service(name), Hosts: 10, MinHosts: 6, MaxHosts: 16, Slots: 8, MaxConns: 64, Repeatable: true,
		})
	}
	return spec
}

// running returns the running processes, sorted by name.
func (n *fakeNet) running() []*process {
	var procs []*process
	for _, p := range n.processes {
		if !p.stopped {
			procs = append(procs, p)
		}
	}
	sort.Slice(procs, func(i, j int) bool { return procs[i].self.Node < procs[j].self.Node })
	return procs
}

// reverts returns how often an older version replaced a newer one at any running process.
func (n *fakeNet) reverts() int {
	total := 0
	for _, p := range n.running() {
		total += p.reverts
	}
	return total
}

// activeFaults are the faults in effect: the zone that is cut off, if any, and whether the table
// service is unreachable.
type activeFaults struct {
	cutZone      glade.Zone
	platformDown bool
}

// injectFault starts or ends one random fault, or restarts a random node.
func (n *fakeNet) injectFault(f *activeFaults) {
	switch n.random.IntN(10) {
	case 0:
		f.cutZone = glade.Zone(fmt.Sprintf("z%d", n.random.IntN(smallZones)))
	case 1:
		f.cutZone = ""
	case 2, 3:
		f.platformDown = !f.platformDown
	default:
		n.start(n.names[n.random.IntN(len(n.names))])
	}
	n.isCut = func(a, b glade.Zone) bool {
		if a == platform || b == platform {
			return f.platformDown
		}
		return a != b && (a == f.cutZone || b == f.cutZone)
	}
}
