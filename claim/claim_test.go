package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
	"indigoglade/claim"
	"indigoglade/clock"
	"indigoglade/jrpc"
	"indigoglade/quorum"
)

// peerServer runs one entry host's server for calls of its peers.
type peerServer struct {
	server *jrpc.Server
	ctx    context.Context
}

func (s peerServer) run() { _ = s.server.Run(s.ctx) }

// newClaimers starts n entry hosts, divided into zones in their order. unreachable
// is how many of them, from the first on, have an address where nothing listens.
func newClaimers(t *testing.T, n, zones, unreachable int) []*claim.Claimer {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	var members []quorum.Member
	var listeners []net.Listener
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		listeners = append(listeners, listener)
		members = append(members, quorum.NewMember(glade.Node(fmt.Sprint("e", i)), glade.Zone(fmt.Sprint("z", i*zones/n))))
	}
	var claimers []*claim.Claimer
	for i := range n {
		peers := make(map[glade.Node]*jrpc.Client)
		for j := range n {
			node := glade.Node(fmt.Sprint("e", j))
			peers[node] = jrpc.NewClient(jrpc.Config{Address: listeners[j].Addr().String(), Timeout: 2 * time.Second})
		}
		c := claim.New(claim.Config{
			Self: glade.Node(fmt.Sprint("e", i)), Members: members, Peers: peers, Clock: clock.NewFake(start),
			Start: start.Add(-claim.MaxWindow), Random: rand.New(rand.NewPCG(1, uint64(i))), MaxKeys: 100, MaxAnswerBytes: 1 << 16,
		})
		claimers = append(claimers, c)
		if i < unreachable {
			listeners[i].Close()
			continue
		}
		mux := jrpc.NewMux()
		c.Register(mux)
		go peerServer{jrpc.NewServer(listeners[i], mux), ctx}.run()
	}
	return claimers
}

var start = time.Now()

func newRequest(text string, resend bool) claim.Request {
	return claim.Request{
		Customer: "dealers", Service: "quotes", CallerKey: text, Resend: resend,
		Window: time.Minute, ContractDeadline: 10 * time.Second, Deadline: start.Add(10 * time.Second),
	}
}

// expectWon claims a request's key, checks that the request may run, and returns
// its permit.
func expectWon(t *testing.T, c *claim.Claimer, request claim.Request) *claim.Permit {
	t.Helper()
	permit, answer := c.Claim(context.Background(), request)
	qt.Assert(t, permit, qt.IsNotNil, qt.Commentf("%v", answer))
	return permit
}

// expectAnswer claims a request's key, and checks that the request may not run
// and which answer it gets.
func expectAnswer(t *testing.T, c *claim.Claimer, request claim.Request, want claim.Answer) {
	t.Helper()
	permit, answer := c.Claim(context.Background(), request)
	qt.Check(t, permit, qt.IsNil)
	qt.Check(t, answer, qt.DeepEquals, want)
}

var answered = claim.Answer{Outcome: glade.Answered, Body: []byte("42")}

func TestResendGetsTheCachedAnswer(t *testing.T) {
	all := newClaimers(t, 3, 1, 0)
	all[0].Finish(expectWon(t, all[0], newRequest("k", false)), answered)
	for _, c := range all {
		expectAnswer(t, c, newRequest("k", true), answered)
	}
}

func TestResendOfARefusedRequestMayRun(t *testing.T) {
	all := newClaimers(t, 1, 1, 0)
	all[0].Finish(expectWon(t, all[0], newRequest("k", false)), claim.Answer{Outcome: glade.Refused, Reason: glade.ReasonQueueFull})
	expectWon(t, all[0], newRequest("k", true))
}

func TestKeysCanBeClaimedWithOneHostUnreachable(t *testing.T) {
	all := newClaimers(t, 4, 1, 1)
	for i := range 8 {
		expectWon(t, all[1+i%3], newRequest(fmt.Sprint("k", i), true))
	}
}

func TestKeysCanBeClaimedWithOneZoneUnreachable(t *testing.T) {
	all := newClaimers(t, 6, 3, 2)
	for i := range 12 {
		expectWon(t, all[2+i%4], newRequest(fmt.Sprint("k", i), true))
	}
}

func TestZoneServesItsOwnKeysWhenCutOff(t *testing.T) {
	all := newClaimers(t, 6, 3, 4)
	for i := range 12 {
		expectWon(t, all[4+i%2], newRequest(fmt.Sprint("z2.", i), true))
	}
	expectAnswer(t, all[4], newRequest("k", false), claim.Answer{Outcome: glade.Refused, Reason: glade.ReasonHistoryIncomplete})
}

func TestClaimWithoutQuorumIsNotRun(t *testing.T) {
	all := newClaimers(t, 4, 1, 3)
	expectAnswer(t, all[3], newRequest("k", false), claim.Answer{Outcome: glade.Refused, Reason: glade.ReasonHistoryIncomplete})
	expectAnswer(t, all[3], newRequest("k", true), claim.Answer{Outcome: glade.Unknown, Reason: glade.ReasonHistoryIncomplete})
}
