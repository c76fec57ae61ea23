package calls

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/burn"
	"indigoglade/claim"
	"indigoglade/clock"
	"indigoglade/desk"
	"indigoglade/link"
	"indigoglade/once"
	"indigoglade/send"
	"indigoglade/serve"
)

// Bounds of the entry hosts of a site.
const (
	maxReply    = 4 << 10
	peerTimeout = 300 * time.Millisecond
	deadline    = 500 * time.Millisecond
)

// siteConfig configures a site.
type siteConfig struct {
	entries   int
	endpoints int
	// bad is the share of requests that meet a fault on each endpoint.
	bad func(endpoint int) float64
	// kinds are the faults; none means all of them.
	kinds      []fault
	work       time.Duration
	repeatable bool
	seed       uint64
}

// site is a set of entry hosts and endpoints over loopback in one process.
type site struct {
	config    siteConfig
	ledger    *ledger
	endpoints []*endpoint
	listed    []glade.Listed
	entries   []*entry
	contract  glade.Contract
}

const (
	customer = "dealers"
	service  = "quotes"
	zones    = 3
)

func zoneOf(i int) glade.Zone { return glade.Zone(fmt.Sprint("z", i%zones)) }

func newSite(config siteConfig) (*site, error) {
	s := &site{config: config, ledger: newLedger()}
	kinds := config.kinds
	if kinds == nil {
		for kind := failing; kind < faultKinds; kind++ {
			kinds = append(kinds, kind)
		}
	}
	for i := range config.endpoints {
		random := rand.New(rand.NewPCG(config.seed, uint64(i)))
		e, err := newEndpoint(s.ledger, config.work, config.bad(i), kinds, random)
		if err != nil {
			return nil, errors.Wrap(err, "start endpoint")
		}
		s.endpoints = append(s.endpoints, e)
		s.listed = append(s.listed, glade.Listed{
			Host: glade.Host(fmt.Sprint("h", i)), Zone: zoneOf(i), Incarnation: 1, Service: service,
			Address: e.listener.Addr().String(),
		})
	}
	s.contract = glade.NewContract(glade.ContractSpec{
		Customer: customer,
		Pools:    []glade.PoolSpec{{Name: "quotes", Serve: service, Repeatable: config.repeatable}},
		Answer: glade.AnswerSpec{
			Deadline: glade.Span(deadline), Rate: 1000, Queue: 200, Window: glade.Span(time.Minute), Retry: 10,
		},
	}, 1)
	return s, s.startEntries()
}

func (s *site) startEntries() error {
	for i := range s.config.entries {
		e := &entry{site: s, node: glade.Node(fmt.Sprint("e", i)), zone: zoneOf(i)}
		s.entries = append(s.entries, e)
		if err := e.reserve(); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		e.start(time.Now().Add(-claim.MaxWindow))
	}
	return nil
}

func (s *site) close() {
	for _, e := range s.entries {
		e.kill()
		e.callers.listener.Close()
		e.peers.listener.Close()
	}
	for _, e := range s.endpoints {
		e.close()
	}
}

// peak returns the greatest number of requests in flight on one endpoint.
func (s *site) peak() int {
	peak := 0
	for _, e := range s.endpoints {
		e.mu.Lock()
		peak = max(peak, e.peak)
		e.mu.Unlock()
	}
	return peak
}

// entry is one entry host.
type entry struct {
	site *site
	node glade.Node
	zone glade.Zone
	// callers and peers are the addresses, which stay.
	callers *door
	peers   *door

	mu     sync.Mutex
	cancel context.CancelFunc
	server *http.Server
}

func (e *entry) reserve() error {
	var err error
	if e.callers, err = newDoor(); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	e.peers, err = newDoor()
	return errors.Wrap(err, "listen for peers")
}

// start starts the entry host without any memory of an earlier life. Its keys
// are as if it had started at the given time.
func (e *entry) start(start time.Time) {
	ctx, cancel := context.WithCancel(context.Background())
	callers, peers := e.callers.open(), e.peers.open()
	front := desk.New(desk.Config{
		Node: e.node, Zone: e.zone, Nodes: e.neighbours(), Clock: clock.System{}, Ring: 4096,
	})
	claimer := e.claimer(start)
	book := adopt.New()
	book.ActivateIfNewer(e.site.contract)
	server := serve.New(serve.Config{
		Book: book, Desk: front, Claimer: claimer, Clock: clock.System{},
		Meter:  burn.New(burn.Config{Node: e.node, Clock: clock.System{}}),
		Sender: send.New(send.Config{MaxIdleConns: 64, MaxBodyBytes: maxReply, ConnectTimeout: deadline}),
		Peers:  e.others(),
	})
	mux := link.NewMux()
	claimer.Register(mux)
	server.Register(mux)
	e.mu.Lock()
	e.cancel, e.server = cancel, &http.Server{Handler: server.Handler()}
	e.mu.Unlock()
	go duty{func() error { return link.NewServer(peers, mux).Run(ctx) }}.run()
	go duty{func() error { return claimer.Run(ctx) }}.run()
	// The desk outlives a kill, as work that was sent already would.
	go duty{func() error { return front.Run(context.Background()) }}.run()
	callersServer := e.server
	go duty{func() error { return callersServer.Serve(callers) }}.run()
	front.Update(e.site.listed)
}

func (e *entry) others() []serve.Peer {
	var peers []serve.Peer
	for _, other := range e.site.entries {
		if other != e {
			client := link.NewClient(link.Config{Address: other.peers.address(), Timeout: 2 * deadline})
			peers = append(peers, serve.Peer{Node: other.node, Near: other.zone == e.zone, Client: client})
		}
	}
	return peers
}

func (e *entry) neighbours() []glade.Node {
	var nodes []glade.Node
	for _, other := range e.site.entries {
		if other.zone == e.zone {
			nodes = append(nodes, other.node)
		}
	}
	return nodes
}

func (e *entry) claimer(start time.Time) *claim.Claimer {
	config := claim.Config{
		Self: e.node, Peers: make(map[glade.Node]*link.Client), Clock: clock.System{}, Start: start,
		Random:  rand.New(rand.NewPCG(e.site.config.seed, uint64(time.Now().UnixNano()))),
		MaxKeys: 100_000, MaxAnswerBytes: 4 << 20,
	}
	for _, other := range e.site.entries {
		config.Members = append(config.Members, once.NewMember(other.node, other.zone))
		if other != e {
			config.Peers[other.node] = link.NewClient(link.Config{Address: other.peers.address(), Timeout: peerTimeout})
		}
	}
	return claim.New(config)
}

// kill ends the entry host at once: callers and peers see their connections
// break.
func (e *entry) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel()
	e.callers.cut()
	e.peers.cut()
	e.server.Close()
}

// duty is one goroutine of an entry host.
type duty struct{ work func() error }

func (d duty) run() { _ = d.work() }
