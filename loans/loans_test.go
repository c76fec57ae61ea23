package loans_test

import (
	"context"
	"expvar"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/adopt"
	"indigoglade/clock"
	"indigoglade/config"
	"indigoglade/jrpc"
	"indigoglade/loans"
	"indigoglade/memory"
	"indigoglade/peer"
)

var contract = glade.NewContract(glade.ContractSpec{
	Customer: "dealers", Answer: glade.AnswerSpec{MaxInFlight: 20, Rate: 1e9},
}, 1)

// start runs the loan exchange of the given nodes, connected over loopback. The
// other nodes of the settings are down.
func start(t *testing.T, table glade.Table, running ...glade.Node) []*loans.Exchange {
	t.Helper()
	listeners := make(map[glade.Node]net.Listener)
	var specs []config.PeerSpec
	for _, node := range []glade.Node{"e1", "e2"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		listeners[node] = listener
		specs = append(specs, config.PeerSpec{Node: node, Zone: "z", Address: listener.Addr().String()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var all []*loans.Exchange
	for i, node := range running {
		registry := adopt.New()
		registry.ActivateIfNewer(contract)
		peers := peer.New(peer.Config{
			Spec: config.NodeSpec{Node: node, Zone: "z", Peers: []config.PeerSpec{specs[1-i]}}, Registry: registry, Clock: clock.System{},
		})
		l := loans.New(loans.Config{
			Peers: peers, Registry: registry, Table: table, Clock: clock.System{}, Counters: new(expvar.Map).Init(),
		})
		l.Register(peers.Mux())
		go func() { _ = jrpc.NewServer(listeners[node], peers.Mux()).Run(ctx) }()
		go func() { _ = l.Run(ctx) }()
		all = append(all, l)
	}
	return all
}

// awaitUnits acquires units until it has n of them.
func awaitUnits(l *loans.Exchange, n int) {
	for held := 0; held < n; {
		if l.Acquire(contract) {
			held++
		}
		_ = clock.System{}.Sleep(context.Background(), 1e6)
	}
}

func TestBusyNodeBorrowsOverTheLink(t *testing.T) {
	all := start(t, memory.NewTable(), "e1", "e2")
	awaitUnits(all[0], 18)
	qt.Check(t, all[1].Acquire(contract), qt.IsTrue)
}

func TestNodeUsesItsShareWhileTheOtherIsDown(t *testing.T) {
	all := start(t, memory.NewTable(), "e1")
	awaitUnits(all[0], 10)
	qt.Check(t, all[0].Acquire(contract), qt.IsFalse)
}
