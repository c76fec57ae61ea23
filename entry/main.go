// Command entry answers callers on an entry host: it admits, routes and
// answers requests under the contracts in force.
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
	"indigoglade/desk"
	"indigoglade/entry/internal/duty"
	"indigoglade/entry/internal/ticket"
	"indigoglade/link"
	"indigoglade/loans"
	"indigoglade/once"
	"indigoglade/peer"
	"indigoglade/remote"
	"indigoglade/send"
	"indigoglade/serve"
	"indigoglade/trust"
)

type flags struct {
	Config string `arg:"" type:"existingfile" help:"Settings file, JSON with comments."`
}

// Bounds of the program.
const (
	grace      = 10 * time.Second
	idleLinks  = 64
	maxReply   = 4 << 20
	dialBound  = 500 * time.Millisecond
	ringLength = 4096
	// peerBound bounds one call to a peer.
	peerBound = 300 * time.Millisecond
	// relayBound bounds a request relayed to a peer, besides its deadline.
	relayBound = time.Minute
	// maxKeys bounds the keys remembered, heldAnswers the answers, in bytes.
	maxKeys     = 200_000
	heldAnswers = 8 << 20
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
	keys, err := trust.New(spec.Keys)
	if err != nil {
		return err
	}
	group := daemon.New(daemon.Config{Name: "entry." + string(spec.Node), Output: os.Stderr, Grace: grace, Status: spec.Status})
	system := clock.System{}
	platform := remote.New(remote.Config{Address: spec.Platform, Zone: string(spec.Zone)})
	book := adopt.New()
	meter := burn.New(burn.Config{Node: spec.Node, Clock: system})
	asked := demand.NewMeter(system.Now())
	post := demand.NewPublisher(demand.Config{Node: spec.Node, Table: platform, Meter: asked, Clock: system})
	front := desk.New(desk.Config{Node: spec.Node, Zone: spec.Zone, Nodes: zoneNodes(spec), Clock: system, Ring: ringLength})
	sender := send.New(send.Config{MaxIdleConns: idleLinks, MaxBodyBytes: maxReply, ConnectTimeout: dialBound})
	peers := peer.New(peer.Config{
		Spec: spec, Keys: keys, Book: book, Table: platform, Clock: system, Log: group.Log(), End: front.Leave,
	})
	tickets := ticket.New(ticket.Config{Table: platform, Objects: remote.NewObjects(platform), Book: book, Clock: system})
	claimer := newClaimer(spec, keys, system)
	lent := loans.New(loans.Config{Peers: peers, Book: book, Table: platform, Clock: system, Counters: expvar.NewMap("loans")})
	server := serve.New(serve.Config{
		Book: book, Desk: front, Sender: sender, Claimer: claimer, Loans: lent, End: peers.End, Meter: meter, Demand: asked, Clock: system,
		Peers: newPeers(spec, keys), Counters: expvar.NewMap("outcomes"), Routes: []func(*echo.Echo){tickets.Routes},
	})
	duties := duty.New(duty.Config{
		Node: spec.Node, Book: book, Desk: front, Meter: meter, Platform: platform, Roster: peers, Clock: system,
	})
	stop := func(ctx context.Context) {
		peers.Leave(ctx)
		server.Stop(ctx)
		lent.Leave(ctx)
	}
	if err := group.Serve(spec.Listen, server.Handler(), stop); err != nil {
		return err
	}
	group.OnStop(server.Drain)
	claimer.Register(peers.Mux())
	lent.Register(peers.Mux())
	server.Register(peers.Mux())
	if err := peers.Join(group); err != nil {
		return err
	}
	group.Status().GET("/status", duties.Status)
	group.Status().GET("/burn", duties.BurnStatus)
	group.Add(front.Run)
	group.Add(claimer.Run)
	group.Add(lent.Run)
	group.Add(duties.Endpoints)
	group.Add(duties.Burn)
	group.Add(post.Run)
	return group.Run()
}

// newClaimer returns the claimer over every entry host in the settings.
func newClaimer(spec config.NodeSpec, keys *trust.Keys, system glade.Clock) *claim.Claimer {
	members := []once.Member{once.NewMember(spec.Node, spec.Zone)}
	peers := make(map[glade.Node]*link.Client)
	for _, peer := range spec.Peers {
		members = append(members, once.NewMember(peer.Node, peer.Zone))
		peers[peer.Node] = link.NewClient(link.Config{
			Address: peer.Address, TLS: keys.Client(peer.Node), Timeout: peerBound,
		})
	}
	seed := uint64(system.Now().UnixNano())
	return claim.New(claim.Config{
		Self: spec.Node, Members: members, Peers: peers, Clock: system, Random: rand.New(rand.NewPCG(seed, 0)),
		MaxKeys: maxKeys, MaxAnswerBytes: heldAnswers, Counters: expvar.NewMap("claims"),
	})
}

// newPeers returns the entry hosts to ask for room, over connections of their
// own, so that bodies don't hold up other messages.
func newPeers(spec config.NodeSpec, keys *trust.Keys) []serve.Peer {
	var peers []serve.Peer
	for _, peer := range spec.Peers {
		peers = append(peers, serve.Peer{
			Node: peer.Node, Near: peer.Zone == spec.Zone,
			Client: link.NewClient(link.Config{
				Address: peer.Address, TLS: keys.Client(peer.Node), Timeout: relayBound,
			}),
		})
	}
	return peers
}

// zoneNodes lists the entry hosts of the own availability zone.
func zoneNodes(spec config.NodeSpec) []glade.Node {
	nodes := []glade.Node{spec.Node}
	for _, peer := range spec.Peers {
		if peer.Zone == spec.Zone {
			nodes = append(nodes, peer.Node)
		}
	}
	return nodes
}
