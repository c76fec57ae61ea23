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
	"indigoglade/link"
	"indigoglade/member"
	"indigoglade/trust"
)

// Config configures the Peers.
type Config struct {
	Spec  config.NodeSpec
	Book  *adopt.Book
	Table glade.Table
	Clock glade.Clock
	Log   logr.Logger
	// Keys secure the connections when they are not nil.
	Keys *trust.Keys
	// End takes up an endpoint incarnation that is leaving. It may be nil.
	End func(endpoint glade.Endpoint)
}

// Bounds of calls to peers.
const (
	callTimeout = 400 * time.Millisecond
	callers     = 8
	ringLength  = 512
)

// Peers keeps a process in touch with its peers. It is a glade.Roster.
type Peers struct {
	config   Config
	mu       sync.Mutex
	node     *Node
	clients  map[glade.Node]*link.Client
	mux      *link.Mux
	sends    chan glade.Node
	polls    chan struct{}
	counters *expvar.Map
	healthy  bool
}

// New returns peers that count in the expvar map "peers".
func New(c Config) *Peers {
	now := uint64(c.Clock.Now().UnixMilli())
	p := &Peers{
		config:   c,
		clients:  make(map[glade.Node]*link.Client),
		mux:      link.NewMux(),
		sends:    make(chan glade.Node, ringLength),
		polls:    make(chan struct{}, 1),
		counters: new(expvar.Map).Init(),
		healthy:  true,
	}
	var others []member.Peer
	for _, spec := range c.Spec.Peers {
		others = append(others, member.Peer{Node: spec.Node, Zone: spec.Zone})
		p.clients[spec.Node] = link.NewClient(link.Config{Address: spec.Address, TLS: c.Keys.Client(spec.Node), Timeout: callTimeout})
	}
	p.node = NewNode(NodeConfig{
		Self:        member.Peer{Node: c.Spec.Node, Zone: c.Spec.Zone},
		Peers:       others,
		Book:        c.Book,
		Incarnation: now,
		Random:      rand.New(rand.NewPCG(now, 0)),
	})
	return p
}

// Counters returns the counters, to be published by the program.
func (p *Peers) Counters() *expvar.Map { return p.counters }

// Client returns the client of a peer.
func (p *Peers) Client(node glade.Node) (*link.Client, bool) {
	client, ok := p.clients[node]
	return client, ok
}

// Self returns the process's own node.
func (p *Peers) Self() glade.Node { return p.config.Spec.Node }

// All returns every node of the settings, the own one included.
func (p *Peers) All() []glade.Node {
	nodes := []glade.Node{p.Self()}
	for _, spec := range p.config.Spec.Peers {
		nodes = append(nodes, spec.Node)
	}
	return nodes
}

// Live returns the nodes that are believed to be up and not leaving.
func (p *Peers) Live() []glade.Node {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node.Live()
}

// Join listens for peers and adds the duties to a group.
func (p *Peers) Join(group *daemon.Group) error {
	listener, err := net.Listen("tcp", p.config.Spec.Link)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	if secure := p.config.Keys.Server(); secure != nil {
		listener = tls.NewListener(listener, secure)
	}
	server := link.NewServer(listener, p.mux)
	p.counters.Set("peer.refused", expvar.Func(func() any { return server.Refused() }))
	expvar.Publish("peers", p.counters)
	p.Register(p.mux)
	group.Add(server.Run)
	group.Add(p.Run)
	group.Add(p.Contracts)
	return nil
}

// Mux returns the methods that peers call, for further ones to be added before
// Join.
func (p *Peers) Mux() *link.Mux { return p.mux }

// Register adds the methods of this package to a mux.
func (p *Peers) Register(mux *link.Mux) {
	link.Handle(mux, "news", p.receive)
}

func (p *Peers) receive(_ context.Context, in News) (News, error) {
	p.mu.Lock()
	reply, act := p.node.Receive(p.config.Clock.Now(), in)
	p.mu.Unlock()
	p.do(act)
	return reply, nil
}

// Run probes peers until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	for range callers {
		wait.Add(1)
		c := &caller{peers: p, wait: &wait}
		go c.run(ctx)
	}
	defer wait.Wait()
	for {
		p.mu.Lock()
		act := p.node.Tick(p.config.Clock.Now())
		p.mu.Unlock()
		p.do(act)
		if p.config.Clock.Sleep(ctx, member.Period) != nil {
			return nil
		}
	}
}

// do carries an act out. News that find the ring full are dropped: the next
// probe carries the same.
func (p *Peers) do(act Act) {
	p.counters.Add("contract.adopted", int64(act.Adopted))
	for _, node := range act.Send {
		select {
		case p.sends <- node:
		default:
			p.counters.Add("send.dropped", 1)
		}
	}
	for _, endpoint := range act.Ends {
		p.counters.Add("endpoint.ended", 1)
		if p.config.End != nil {
			p.config.End(endpoint)
		}
	}
	if act.Poll {
		select {
		case p.polls <- struct{}{}:
		default:
		}
	}
}

// caller sends news to one peer after the other.
type caller struct {
	peers *Peers
	wait  *sync.WaitGroup
}

func (c *caller) run(ctx context.Context) {
	defer c.wait.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case to := <-c.peers.sends:
			c.peers.send(ctx, to)
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
	news := p.node.Message(sent, to)
	p.mu.Unlock()
	reply, err := link.Call[News, News](ctx, client, "news", news)
	p.counters.Add("news.sent", 1)
	if err != nil {
		p.counters.Add("news.missed", 1)
	}
	p.do(p.answered(sent, to, reply, err))
}

func (p *Peers) answered(sent time.Time, to glade.Node, reply News, err error) Act {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Clock.Now()
	if err != nil {
		p.node.Missed(now, to)
		return Act{}
	}
	return p.node.Answered(now, sent, to, reply)
}

// Contracts reads the table service when it is due, until ctx ends.
func (p *Peers) Contracts(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-p.polls:
			p.poll(ctx)
		}
	}
}

func (p *Peers) poll(ctx context.Context) {
	err := adopt.Read(ctx, p.config.Table, p.config.Book, p.config.Clock.Now())
	p.counters.Add("table.polled", 1)
	if (err == nil) != p.healthy {
		p.healthy = err == nil
		p.config.Log.Info("table service", "reachable", p.healthy)
	}
	if err != nil {
		p.counters.Add("table.failed", 1)
		return
	}
	p.mu.Lock()
	act := p.node.Polled(p.config.Clock.Now())
	p.mu.Unlock()
	p.do(act)
}

// End passes on that an endpoint incarnation is leaving.
func (p *Peers) End(endpoint glade.Endpoint) {
	p.mu.Lock()
	act := p.node.End(endpoint)
	p.mu.Unlock()
	p.do(act)
}

// leaveTime is how long a node that stops goes on telling its peers.
const leaveTime = 200 * time.Millisecond

// Leave tells the peers that this node is stopping.
func (p *Peers) Leave(ctx context.Context) {
	p.mu.Lock()
	act := p.node.Leave()
	p.mu.Unlock()
	p.do(act)
	_ = p.config.Clock.Sleep(ctx, leaveTime)
}
