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
	"indigoglade/intake"
	"indigoglade/jrpc"
	"indigoglade/quorum"
	"indigoglade/send"
	"indigoglade/serve"
)

// Limits that the entry hosts of a site enforce.
const (
	maxAnswerBytes  = 4 << 10
	peerTimeout     = 300 * time.Millisecond
	requestDeadline = 500 * time.Millisecond
)

type siteConfig struct {
	entries   int
	endpoints int
	// faultRate returns the share of requests to an endpoint that hit a fault.
	faultRate func(endpoint int) float64
	// faults are the faults that occur; nil means all of them.
	faults     []fault
	work       time.Duration
	repeatable bool
	seed       uint64
}

// site is a set of entry hosts and endpoints that talk over loopback within this process.
type site struct {
	config    siteConfig
	ledger    *ledger
	endpoints []*endpoint
	listed    []glade.HostListing
	entries   []*entryHost
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
	faults := config.faults
	if faults == nil {
		for kind := failStatus; kind < faultCount; kind++ {
			faults = append(faults, kind)
		}
	}
	for i := range config.endpoints {
		random := rand.New(rand.NewPCG(config.seed, uint64(i)))
		e, err := newEndpoint(s.ledger, config.work, config.faultRate(i), faults, random)
		if err != nil {
			return nil, errors.Wrap(err, "start endpoint")
		}
		s.endpoints = append(s.endpoints, e)
		s.listed = append(s.listed, glade.HostListing{
			Host: glade.Host(fmt.Sprint("h", i)), Zone: zoneOf(i), Incarnation: 1, Service: service,
			Address: e.listener.Addr().String(),
		})
	}
	s.contract = glade.NewContract(glade.ContractSpec{
		Customer: customer,
		Pools:    []glade.PoolSpec{{Name: "quotes", Serve: service, Repeatable: config.repeatable}},
		Answer: glade.AnswerSpec{
			Deadline: glade.Span(requestDeadline), Rate: 1000, MaxQueued: 200, Window: glade.Span(time.Minute), RetryPercent: 10,
		},
	}, 1)
	return s, s.startEntries()
}

func (s *site) startEntries() error {
	for i := range s.config.entries {
		e := &entryHost{site: s, node: glade.Node(fmt.Sprint("e", i)), zone: zoneOf(i)}
		s.entries = append(s.entries, e)
		if err := e.listen(); err != nil {
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
		e.callerListener.listener.Close()
		e.peerListener.listener.Close()
	}
	for _, e := range s.endpoints {
		e.close()
	}
}

// maxInFlight returns the largest number of concurrent requests on one endpoint.
func (s *site) maxInFlight() int {
	highest := 0
	for _, e := range s.endpoints {
		e.mu.Lock()
		highest = max(highest, e.maxInFlight)
		e.mu.Unlock()
	}
	return highest
}

type entryHost struct {
	site *site
	node glade.Node
	zone glade.Zone
	// callerListener and peerListener keep their addresses when the entry host restarts.
	callerListener *stableListener
	peerListener   *stableListener

	mu     sync.Mutex
	cancel context.CancelFunc
	server *http.Server
}

func (e *entryHost) listen() error {
	var err error
	if e.callerListener, err = newStableListener(); err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	e.peerListener, err = newStableListener()
	return errors.Wrap(err, "listen for peers")
}

// start starts the entry host with empty state. start is the start time that its key claims are
// based on.
func (e *entryHost) start(start time.Time) {
	ctx, cancel := context.WithCancel(context.Background())
	callers, peers := e.callerListener.attach(), e.peerListener.attach()
	admission := intake.New(intake.Config{
		Node: e.node, Zone: e.zone, Nodes: e.zoneNodes(), Clock: clock.System{}, QueueLength: 4096,
	})
	claimer := e.newClaimer(start)
	registry := adopt.New()
	registry.ActivateIfNewer(e.site.contract)
	server := serve.New(serve.Config{
		Registry: registry, Dispatcher: admission, Claimer: claimer, Clock: clock.System{},
		Meter:  burn.New(burn.Config{Node: e.node, Clock: clock.System{}}),
		Sender: send.New(send.Config{MaxIdleConns: 64, MaxBodyBytes: maxAnswerBytes, ConnectTimeout: requestDeadline}),
		Peers:  e.peerClients(),
	})
	mux := jrpc.NewMux()
	claimer.Register(mux)
	server.Register(mux)
	e.mu.Lock()
	e.cancel, e.server = cancel, &http.Server{Handler: server.Handler()}
	e.mu.Unlock()
	go background{func() error { return jrpc.NewServer(peers, mux).Run(ctx) }}.run()
	go background{func() error { return claimer.Run(ctx) }}.run()
	// The dispatcher, which owns the routing table and the admission queues, keeps running after a kill,
	// because requests that were already sent still finish at the endpoints.
	go background{func() error { return admission.Run(context.Background()) }}.run()
	callersServer := e.server
	go background{func() error { return callersServer.Serve(callers) }}.run()
	admission.UpdateHosts(e.site.listed)
}

func (e *entryHost) peerClients() []serve.Peer {
	var peers []serve.Peer
	for _, other := range e.site.entries {
		if other != e {
			client := jrpc.NewClient(jrpc.Config{Address: other.peerListener.address(), Timeout: 2 * requestDeadline})
			peers = append(peers, serve.Peer{Node: other.node, SameZone: other.zone == e.zone, Client: client})
		}
	}
	return peers
}

func (e *entryHost) zoneNodes() []glade.Node {
	var nodes []glade.Node
	for _, other := range e.site.entries {
		if other.zone == e.zone {
			nodes = append(nodes, other.node)
		}
	}
	return nodes
}

func (e *entryHost) newClaimer(start time.Time) *claim.Claimer {
	config := claim.Config{
		Self: e.node, Peers: make(map[glade.Node]*jrpc.Client), Clock: clock.System{}, Start: start,
		Random:  rand.New(rand.NewPCG(e.site.config.seed, uint64(time.Now().UnixNano()))),
		MaxKeys: 100_000, MaxAnswerBytes: 4 << 20,
	}
	for _, other := range e.site.entries {
		config.Members = append(config.Members, quorum.NewMember(other.node, other.zone))
		if other != e {
			config.Peers[other.node] = jrpc.NewClient(jrpc.Config{Address: other.peerListener.address(), Timeout: peerTimeout})
		}
	}
	return claim.New(config)
}

// kill stops the entry host at once and breaks its connections to callers and peers.
func (e *entryHost) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel()
	e.callerListener.detach()
	e.peerListener.detach()
	e.server.Close()
}

// background runs one task of an entry host in a goroutine and ignores its error.
type background struct{ task func() error }

func (d background) run() { _ = d.task() }
