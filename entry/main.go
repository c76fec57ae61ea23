// Command entry serves callers on an entry host. It admits, routes and answers
// requests under the contracts in force.
package main

import (
	"context"
	"expvar"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/labstack/echo/v4"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/burn"
	"indigoglade/claim"
	"indigoglade/clock"
	"indigoglade/config"
	"indigoglade/daemon"
	"indigoglade/demand"
	"indigoglade/entry/internal/duty"
	"indigoglade/entry/internal/jobapi"
	"indigoglade/intake"
	"indigoglade/jrpc"
	"indigoglade/loans"
	"indigoglade/mtls"
	"indigoglade/peer"
	"indigoglade/quorum"
	"indigoglade/remote"
	"indigoglade/send"
	"indigoglade/serve"
)

type flags struct {
	Config string `arg:"" type:"existingfile" help:"Settings file, JSON with comments."`
}

// Limits of the program.
const (
	stopTimeout      = 10 * time.Second
	maxIdleConns     = 64
	maxAnswerBytes   = 4 << 20
	connectTimeout   = 500 * time.Millisecond
	eventQueueLength = 4096
	// peerTimeout bounds one call to a peer.
	peerTimeout = 300 * time.Millisecond
	// relayTimeout bounds a request relayed to a peer, in addition to the
	// request's deadline.
	relayTimeout = time.Minute
	// maxKeys is the maximum number of request keys remembered, and
	// maxAnswerCacheBytes the maximum size of their stored answers.
	maxKeys             = 200_000
	maxAnswerCacheBytes = 8 << 20
)

func main() {
	var f flags
	kong.Parse(&f, kong.Name("entry"), kong.Description("Answers callers on an entry host."))
	if err := runEntry(f); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runEntry(f flags) error {
	spec, err := config.LoadNode(f.Config, os.Stderr)
	if err != nil {
		return err
	}
	keys, err := mtls.New(spec.Keys)
	if err != nil {
		return err
	}
	group := daemon.New(daemon.Config{
		Name: "entry." + string(spec.Node), Output: os.Stderr, StopTimeout: stopTimeout, Status: spec.Status,
	})
	sysClock := clock.System{}
	platform := remote.New(remote.Config{Address: spec.Platform, Zone: string(spec.Zone)})
	registry := adopt.New()
	burnMeter := burn.New(burn.Config{Node: spec.Node, Clock: sysClock})
	demandMeter := demand.NewMeter(sysClock.Now())
	demandReporter := demand.NewPublisher(demand.Config{Node: spec.Node, Table: platform, Meter: demandMeter, Clock: sysClock})
	dispatcher := intake.New(intake.Config{
		Node: spec.Node, Zone: spec.Zone, Nodes: zoneNodes(spec), Clock: sysClock, QueueLength: eventQueueLength,
	})
	sender := send.New(send.Config{MaxIdleConns: maxIdleConns, MaxBodyBytes: maxAnswerBytes, ConnectTimeout: connectTimeout})
	peers := peer.New(peer.Config{
		Spec: spec, Keys: keys, Registry: registry, Table: platform, Clock: sysClock, Log: group.Log(), EndpointLeaving: dispatcher.Leave,
	})
	tickets := jobapi.New(jobapi.Config{Table: platform, Objects: remote.NewObjectStore(platform), Registry: registry, Clock: sysClock, Counters: expvar.NewMap("jobs")})
	claimer := newClaimer(spec, keys, sysClock)
	loanExchange := loans.New(loans.Config{
		Peers: peers, Registry: registry, Table: platform, Clock: sysClock, Counters: expvar.NewMap("loans"),
	})
	server := serve.New(serve.Config{
		Registry: registry, Dispatcher: dispatcher, Sender: sender, Claimer: claimer, Loans: loanExchange, EndpointLeaving: peers.EndpointLeaving,
		Meter: burnMeter, Demand: demandMeter, Clock: sysClock,
		Peers: newRelayPeers(spec, keys), Counters: expvar.NewMap("outcomes"), Routes: []func(*echo.Echo){tickets.Routes},
	})
	tasks := duty.New(duty.Config{
		Node: spec.Node, Registry: registry, Dispatcher: dispatcher, Meter: burnMeter, Platform: platform, Roster: peers, Clock: sysClock,
	})
	stop := func(ctx context.Context) {
		peers.Leave(ctx)
		server.Stop(ctx)
		loanExchange.Leave(ctx)
	}
	if err := group.Serve(spec.Listen, server.Handler(), stop); err != nil {
		return err
	}
	group.OnStop(server.Drain)
	claimer.Register(peers.Mux())
	loanExchange.Register(peers.Mux())
	server.Register(peers.Mux())
	if err := peers.Join(group); err != nil {
		return err
	}
	group.Status().GET("/status", tasks.Status)
	group.Status().GET("/burn", tasks.OutcomeStatus)
	group.Add(dispatcher.Run)
	group.Add(claimer.Run)
	group.Add(loanExchange.Run)
	group.Add(tasks.PollHosts)
	group.Add(tasks.SaveOutcomes)
	group.Add(demandReporter.Run)
	return group.Run()
}

// newClaimer returns the claimer, whose members are all entry hosts in the
// settings.
func newClaimer(spec config.NodeSpec, keys *mtls.Keys, sysClock glade.Clock) *claim.Claimer {
	members := []quorum.Member{quorum.NewMember(spec.Node, spec.Zone)}
	peers := make(map[glade.Node]*jrpc.Client)
	for _, peer := range spec.Peers {
		members = append(members, quorum.NewMember(peer.Node, peer.Zone))
		peers[peer.Node] = jrpc.NewClient(jrpc.Config{
			Address: peer.Address, TLS: keys.Client(peer.Node), Timeout: peerTimeout,
		})
	}
	seed := uint64(sysClock.Now().UnixNano())
	return claim.New(claim.Config{
		Self: spec.Node, Members: members, Peers: peers, Clock: sysClock, Random: rand.New(rand.NewPCG(seed, 0)),
		MaxKeys: maxKeys, MaxAnswerBytes: maxAnswerCacheBytes, Counters: expvar.NewMap("claims"),
	})
}

// newRelayPeers returns the entry hosts to which requests may be relayed. They
// have connections of their own, so that request bodies don't delay other
// messages.
func newRelayPeers(spec config.NodeSpec, keys *mtls.Keys) []serve.Peer {
	var peers []serve.Peer
	for _, peer := range spec.Peers {
		peers = append(peers, serve.Peer{
			Node: peer.Node, SameZone: peer.Zone == spec.Zone,
			Client: jrpc.NewClient(jrpc.Config{
				Address: peer.Address, TLS: keys.Client(peer.Node), Timeout: relayTimeout,
			}),
		})
	}
	return peers
}

// zoneNodes returns the entry hosts of this host's availability zone.
func zoneNodes(spec config.NodeSpec) []glade.Node {
	nodes := []glade.Node{spec.Node}
	for _, peer := range spec.Peers {
		if peer.Zone == spec.Zone {
			nodes = append(nodes, peer.Node)
		}
	}
	return nodes
}
