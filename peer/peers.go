package peer

import (
	"context"
	"crypto/tls"
	"expvar"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/config"
	"indigoglade/daemon"
	"indigoglade/jrpc"
	"indigoglade/member"
	"indigoglade/mtls"
)

// Config configures the connection of a process to its peers.
type Config struct {
	// Spec names the own node and its peers, with their addresses.
	Spec     config.NodeSpec
	Registry *adopt.Registry
	Table    glade.Table
	Clock    glade.Clock
	Log      logr.Logger
	// Keys are the TLS keys for the connections; nil means no TLS.
	Keys *mtls.Keys
	// EndpointLeaving is called once for each endpoint incarnation that is found to be
	// leaving. It may be nil.
	EndpointLeaving func(endpoint glade.Endpoint)
}

// Limits of calls to peers.
const (
	callTimeout     = 400 * time.Millisecond
	senderCount     = 8
	sendQueueLength = 512
)

// Peers runs the gossip protocol of a process: it sends probes, serves calls and
// reads contracts from the table service. It implements glade.Roster and is safe
// for concurrent use.
type Peers struct {
	config         Config
	mu             sync.Mutex
	gossip         *Gossip
	clients        map[glade.Node]*jrpc.Client
	mux            *jrpc.Mux
	sendQueue      chan glade.Node
	pollRequests   chan struct{}
	counters       *expvar.Map
	tableReachable bool
}

// New prepares the connections to the peers. Nothing is sent or served yet.
func New(c Config) *Peers {
	now := uint64(c.Clock.Now().UnixMilli())
	p := &Peers{
		config:         c,
		clients:        make(map[glade.Node]*jrpc.Client),
		mux:            jrpc.NewMux(),
		sendQueue:      make(chan glade.Node, sendQueueLength),
		pollRequests:   make(chan struct{}, 1),
		counters:       new(expvar.Map).Init(),
		tableReachable: true,
	}
	var others []member.Peer
	for _, spec := range c.Spec.Peers {
		others = append(others, member.Peer{Node: spec.Node, Zone: spec.Zone})
		p.clients[spec.Node] = jrpc.NewClient(jrpc.Config{Address: spec.Address, TLS: c.Keys.Client(spec.Node), Timeout: callTimeout})
	}
	p.gossip = NewGossip(GossipConfig{
		Self:               member.Peer{Node: c.Spec.Node, Zone: c.Spec.Zone},
		Peers:              others,
		Registry:           c.Registry,
		InitialIncarnation: now,
		Random:             rand.New(rand.NewPCG(now, 0)),
	})
	return p
}

// Counters returns the counters, which Join publishes as the expvar map "peers".
func (p *Peers) Counters() *expvar.Map { return p.counters }

// Client returns the client for calls to a peer. The second result is false for a
// node that is no peer.
func (p *Peers) Client(node glade.Node) (*jrpc.Client, bool) {
	client, ok := p.clients[node]
	return client, ok
}

// Self returns the name of the process's own node.
func (p *Peers) Self() glade.Node { return p.config.Spec.Node }

// All returns every node of the settings, the own one included.
func (p *Peers) All() []glade.Node {
	nodes := []glade.Node{p.Self()}
	for _, spec := range p.config.Spec.Peers {
		nodes = append(nodes, spec.Node)
	}
	return nodes
}

// Live returns the nodes that are believed to be up and not leaving, in the order
// of their names.
func (p *Peers) Live() []glade.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gossip.Live()
}

// Join listens for calls of peers, publishes the counters, and adds the server,
// the probes and the reading of contracts to a group. It returns an error when
// the address can't be listened on.
func (p *Peers) Join(group *daemon.Group) error {
	listener, err := net.Listen("tcp", p.config.Spec.Link)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	if secure := p.config.Keys.Server(); secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	server := jrpc.NewServer(listener, p.mux)
	p.counters.Set("peer.refused", expvar.Func(func() any { return server.Refused() }))
	expvar.Publish("peers", p.counters)
	p.Register(p.mux)
	group.Add(server.Run)
	group.Add(p.Run)
	group.Add(p.RunTableReader)
	return nil
}

// Mux returns the methods that peers can call. Other packages add theirs to the
// mux before Join serves it.
func (p *Peers) Mux() *jrpc.Mux { return p.mux }

// Register adds the method for gossip messages to a mux.
func (p *Peers) Register(mux *jrpc.Mux) {
	jrpc.Handle(mux, "news", p.receive)
}

func (p *Peers) receive(_ context.Context, in Message) (Message, error) {
	p.mu.Lock()
	reply, actions := p.gossip.HandleMessage(p.config.Clock.Now(), in)
	p.mu.Unlock()
	p.perform(actions)
	return reply, nil
}

// Run probes peers in each period until ctx ends, then waits for the calls that
// are in flight.
func (p *Peers) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	for range senderCount {
		wait.Add(1)
		s := &sender{peers: p, wait: &wait}
		go s.run(ctx)
	}
	defer wait.Wait()
	for {
		p.mu.Lock()
		actions := p.gossip.Tick(p.config.Clock.Now())
		p.mu.Unlock()
		p.perform(actions)
		if p.config.Clock.Sleep(ctx, member.ProbePeriod) != nil {
			return nil
		}
	}
}

// perform does what the protocol asked for. A send that finds the queue full is
// dropped, because the next probe carries the same information.
func (p *Peers) perform(actions Actions) {
	p.counters.Add("contract.adopted", int64(actions.Activated))
	for _, node := range actions.SendTo {
		select {
		case p.sendQueue <- node:
		default:
			p.counters.Add("send.dropped", 1)
		}
	}
	for _, endpoint := range actions.LeavingEndpoints {
		p.counters.Add("endpoint.ended", 1)
		if p.config.EndpointLeaving != nil {
			p.config.EndpointLeaving(endpoint)
		}
	}
	if actions.ReadTable {
		select {
		case p.pollRequests <- struct{}{}:
		default:
		}
	}
}

// sender is a worker that takes peers from the queue and calls one after the
// other.
type sender struct {
	peers *Peers
	wait  *sync.WaitGroup
}

func (s *sender) run(ctx context.Context) {
	defer s.wait.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-s.peers.sendQueue:
			s.peers.send(ctx, to)
		}
	}
}

func (p *Peers) send(ctx context.Context, to glade.Node) {
	client, ok := p.clients[to]
	if !ok {
		return
	}
	sent := p.config.Clock.Now()
	p.mu.Lock()
	message := p.gossip.MessageTo(sent, to)
	p.mu.Unlock()
	reply, err := jrpc.Call[Message, Message](ctx, client, "news", message)
	p.counters.Add("news.sent", 1)
	if err != nil {
		p.counters.Add("news.missed", 1)
	}
	p.perform(p.handleReply(sent, to, reply, err))
}

func (p *Peers) handleReply(sent time.Time, to glade.Node, reply Message, err error) Actions {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	if err != nil {
		p.gossip.RecordMiss(now, to)
		return Actions{}
	}
	return p.gossip.HandleReply(now, sent, to, reply)
}

// RunTableReader reads new contracts from the table service whenever that is
// due, until ctx ends.
func (p *Peers) RunTableReader(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.pollRequests:
			p.readTable(ctx)
		}
	}
}

func (p *Peers) readTable(ctx context.Context) {
	err := adopt.Refresh(ctx, p.config.Table, p.config.Registry, p.config.Clock.Now())
	p.counters.Add("table.polled", 1)
	if (err == nil) != p.tableReachable {
		p.tableReachable = err == nil
		p.config.Log.Info("table service reachability changed", "reachable", p.tableReachable)
	}
	if err != nil {
		p.counters.Add("table.failed", 1)
		return
	}
	p.mu.Lock()
	actions := p.gossip.TableRead(p.config.Clock.Now())
	p.mu.Unlock()
	p.perform(actions)
}

// EndpointLeaving tells the peers that an endpoint incarnation is leaving.
func (p *Peers) EndpointLeaving(endpoint glade.Endpoint) {
	p.mu.Lock()
	actions := p.gossip.EndpointLeaving(endpoint)
	p.mu.Unlock()
	p.perform(actions)
}

// leaveGracePeriod is how long a stopping node waits, so that the messages which
// tell its peers are sent.
const leaveGracePeriod = 200 * time.Millisecond

// Leave tells the peers that this node is stopping, and waits until the messages
// are likely to be sent or ctx ends.
func (p *Peers) Leave(ctx context.Context) {
	p.mu.Lock()
	actions := p.gossip.Leave()
	p.mu.Unlock()
	p.perform(actions)
	_ = p.config.Clock.Sleep(ctx, leaveGracePeriod)
}
