package lead_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	glade "indigoglade"
	"indigoglade/bubble"
	"indigoglade/jrpc"
	"indigoglade/lead"
	"indigoglade/memory"
)

// refusalKind is a way in which the table service refuses one host.
type refusalKind int32

const (
	refuseNothing  refusalKind = iota
	refuseAll                  // every call is refused at once
	throttleWrites             // writes are refused, reads are served
	resetWrites                // writes take effect, their answers are lost; reads are served
	silent                     // no call is answered, and none takes effect
	flakyFeeds                 // each third read of a feed is refused
	refuseShare                // refusedShare of all calls are refused at once
	feedsOnly                  // feeds are served; every other call is refused at once
	silentButFeeds             // feeds are served; no other call is answered, and none takes effect
)

// refusedShare is the share of the calls that the store refuses with refuseShare.
const refusedShare = 0.7

// refusalKinds are the ways that end with a hand-over.
var refusalKinds = map[string]refusalKind{
	"error at once": refuseAll, "throttled": throttleWrites, "reset": resetWrites, "silent": silent,
}

// refusal refuses the calls of one host, and suspends the host.
type refusal struct {
	kind atomic.Int32
	// woken is closed when the host wakes; nil if it is not suspended.
	woken atomic.Pointer[chan struct{}]
	// firstRefused is the Unix time in nanoseconds of the first write that was refused.
	firstRefused atomic.Int64
	feeds        atomic.Int64
	// random decides with refuseShare.
	randomMu sync.Mutex
	random   *rand.Rand
}

func (r *refusal) refusesNext() bool {
	r.randomMu.Lock()
	defer r.randomMu.Unlock()
	return r.random.Float64() < refusedShare
}

func (r *refusal) set(kind refusalKind) { r.kind.Store(int32(kind)) }

func (r *refusal) suspend() {
	woken := make(chan struct{})
	r.woken.Store(&woken)
}

func (r *refusal) wake() { close(*r.woken.Swap(nil)) }

// awaitWake waits while the host is suspended.
func (r *refusal) awaitWake() {
	if woken := r.woken.Load(); woken != nil {
		<-*woken
	}
}

// hostClock is the clock of a host that may be suspended.
type hostClock struct {
	testClock
	refusal *refusal
}

func (c hostClock) Sleep(ctx context.Context, d time.Duration) error {
	err := c.testClock.Sleep(ctx, d)
	c.refusal.awaitWake()
	return err
}

// lateAnswer bounds a call that is never answered, as the clients of the platform do.
const lateAnswer = 1500 * time.Millisecond

func (l *tableLink) refuseCommit(ctx context.Context, txn glade.PartitionTxn) (bool, glade.CommitResult) {
	l.refusal.awaitWake()
	kind := refusalKind(l.refusal.kind.Load())
	if kind == refuseNothing || kind == flakyFeeds || kind == refuseShare && !l.refusal.refusesNext() {
		return false, glade.Committed
	}
	l.refusal.firstRefused.CompareAndSwap(0, time.Now().UnixNano())
	switch kind {
	case resetWrites:
		l.PartitionedTable.Commit(ctx, txn)
		return true, glade.Uncertain
	case silent, silentButFeeds:
		<-ctx.Done()
		return true, glade.Uncertain
	}
	return true, glade.Unavailable
}

func (l *tableLink) refuseRead(ctx context.Context, feed bool) error {
	l.refusal.awaitWake()
	kind := refusalKind(l.refusal.kind.Load())
	if kind == silentButFeeds && !feed {
		kind = silent
	}
	switch kind {
	case refuseAll:
		return errNoAnswer
	case feedsOnly:
		if !feed {
			return errNoAnswer
		}
	case refuseShare:
		if l.refusal.refusesNext() {
			return errNoAnswer
		}
	case flakyFeeds:
		if feed && l.refusal.feeds.Add(1)%3 == 0 {
			return errNoAnswer
		}
	case silent:
		bounded, cancel := context.WithTimeout(ctx, lateAnswer)
		defer cancel()
		<-bounded.Done()
		return errNoAnswer
	}
	return nil
}

// peerNetwork connects the managers of a cluster in memory.
type peerNetwork struct {
	mu        sync.Mutex
	listeners map[string]*peerListener
	// cut holds the hosts whose links to the others are cut.
	cut map[glade.Node]bool
	// suspendBefore and suspendAfter suspend a host that asks another one to take over,
	// before or after the request leaves it.
	suspendBefore, suspendAfter bool
	// takeOvers counts these requests.
	takeOvers int
}

func newPeerNetwork() *peerNetwork {
	return &peerNetwork{listeners: make(map[string]*peerListener), cut: make(map[glade.Node]bool)}
}

func (n *peerNetwork) isCut(node glade.Node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[node]
}

func (n *peerNetwork) setCut(node glade.Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[node] = true
}

// dialer returns the function with which a host connects to others; nil without a network.
func (n *peerNetwork) dialer(from glade.Node, refusal *refusal) func(ctx context.Context, network, address string) (net.Conn, error) {
	if n == nil {
		return nil
	}
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		if n.isCut(from) || n.isCut(glade.Node(address)) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		n.mu.Lock()
		listener := n.listeners[address]
		n.mu.Unlock()
		if listener == nil {
			return nil, errNoAnswer
		}
		near, far := net.Pipe()
		ends := [2]glade.Node{from, glade.Node(address)}
		select {
		case listener.conns <- &peerConn{Conn: far, network: n, ends: ends}:
		case <-listener.closed:
			return nil, errNoAnswer
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		return &peerConn{Conn: near, network: n, ends: ends, refusal: refusal}, nil
	}
}

// recordTakeOver counts a request to take over, and returns whether its sender is to be
// suspended before or after it. Only the first request suspends its sender.
func (n *peerNetwork) recordTakeOver() (before, after bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	before, after = n.suspendBefore, n.suspendAfter
	n.suspendBefore, n.suspendAfter = false, false
	n.takeOvers++
	return before, after
}

// serve lets the other hosts call a manager until ctx ends.
func (n *peerNetwork) serve(ctx context.Context, node glade.Node, manager *lead.Manager) {
	if n == nil {
		return
	}
	mux := jrpc.NewMux()
	manager.Register(mux)
	listener := &peerListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[string(node)] = listener
	n.mu.Unlock()
	b := &background{ctx: ctx, task: jrpc.NewServer(listener, mux).Run}
	go b.run()
}

// peerConn loses what is written while the link of one of its ends is cut.
type peerConn struct {
	net.Conn
	network *peerNetwork
	ends    [2]glade.Node
	// refusal is that of the host that opened the connection; nil at the other end.
	refusal *refusal
}

func (c *peerConn) Write(data []byte) (int, error) {
	if c.refusal != nil && bytes.Contains(data, []byte(`"takeover"`)) {
		before, after := c.network.recordTakeOver()
		if before {
			c.refusal.suspend()
		}
		if after {
			defer c.refusal.suspend()
		}
	}
	if c.refusal != nil {
		c.refusal.awaitWake()
	}
	if c.network.isCut(c.ends[0]) || c.network.isCut(c.ends[1]) {
		return len(data), nil
	}
	return c.Conn.Write(data)
}

type peerListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *peerListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *peerListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (*peerListener) Addr() net.Addr { return &net.IPAddr{} }

// log returns the log of a host; it is written to the test's log with -v.
func (s *cluster) log(node glade.Node) logr.Logger {
	if s.peers == nil || !testing.Verbose() {
		return logr.Discard()
	}
	return funcr.New(func(_, args string) {
		s.c.Logf("%s %s %s", time.Since(s.runners.began).Round(time.Millisecond), node, args)
	}, funcr.Options{})
}

var refusalHosts = []glade.Node{"h1", "h2", "h3"}

// runRefused runs a test with hosts that are connected to each other, two seconds after one
// of them has begun to lead, while batches arrive at another one.
func runRefused(t *testing.T, name string, test func(c *qt.C, s *cluster, leader glade.Node)) {
	t.Run(name, func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newCluster(c)
			s.peers = newPeerNetwork()
			for _, node := range refusalHosts {
				s.start(node)
			}
			defer s.shutdown()
			node := s.leader()
			s.sleep(2 * time.Second)
			test(c, s, node)
			c.Assert(s.runners.duplicates, qt.Equals, 0)
		})
	})
}

// other returns a host that is none of the given ones.
func (s *cluster) other(nodes ...glade.Node) glade.Node {
	for _, node := range refusalHosts {
		found := false
		for _, n := range nodes {
			found = found || n == node
		}
		if !found {
			return node
		}
	}
	return ""
}

// maxHandover is the longest time from the first refused write of a leader to the first
// batch that another leader accepts.
const maxHandover = 2 * time.Second

// awaitHandover submits batches at a host until one is accepted by another leader than the
// given one, and returns the time from the first refused write of that leader until then.
func (s *cluster) awaitHandover(at, from glade.Node) time.Duration {
	s.c.Helper()
	for i := range 400 {
		reply := s.submit(at, glade.BatchID(fmt.Sprint("x", i)), 1)
		if reply.Code == lead.SubmitRefused {
			s.c.Check(reply.After > 0, qt.IsTrue)
		}
		first := s.links[from].refusal.firstRefused.Load()
		if term := s.term(); reply.Code == lead.SubmitAccepted && term.Node != from && term.Node != "" && first > 0 {
			return time.Since(time.Unix(0, first))
		}
		s.sleep(20 * time.Millisecond)
	}
	s.c.Fatal("no other host leads the service")
	return 0
}

// expectStableLeader checks that no other host has led since the given term.
func (s *cluster) expectStableLeader(since lead.Term) {
	s.c.Helper()
	term := s.term()
	s.c.Check(term.Node, qt.Equals, since.Node)
	s.c.Check(term.Epoch, qt.Equals, since.Epoch)
}

// TestRefusedLeader guards against a leader that the store refuses alone and that keeps its
// term: nobody accepts batches until its heartbeats have been missed, or for ever if its
// renewals take effect without an answer.
func TestRefusedLeader(t *testing.T) {
	for name, kind := range refusalKinds {
		runRefused(t, "hands over once, and does not lead again: "+name, func(c *qt.C, s *cluster, leader glade.Node) {
			at := s.other(leader)
			c.Assert(s.submit(at, "a", 3).Code, qt.Equals, lead.SubmitAccepted)
			s.links[leader].refusal.set(kind)
			took := s.awaitHandover(at, leader)
			c.Logf("%s: %s", name, took)
			c.Check(took <= maxHandover, qt.IsTrue, qt.Commentf("took %s", took))
			next := s.term()
			s.sleep(10 * time.Second)
			s.expectState(at, "a", glade.BatchDone)
			s.links[leader].refusal.set(refuseNothing)
			s.sleep(5 * time.Second)
			s.expectStableLeader(next)
		})
		runRefused(t, "hands over although the preferred successor is refused as well: "+name, func(c *qt.C, s *cluster, leader glade.Node) {
			refused := s.other(leader)
			at := s.other(leader, refused)
			s.links[refused].refusal.set(kind)
			s.links[leader].refusal.set(kind)
			took := s.awaitHandover(at, leader)
			c.Check(took <= maxHandover, qt.IsTrue, qt.Commentf("took %s", took))
			c.Check(s.term().Node, qt.Equals, at)
		})
		runRefused(t, "hands over although the store serves one host of a dozen: "+name, func(c *qt.C, s *cluster, leader glade.Node) {
			var last glade.Node
			for i := range 9 {
				last = glade.Node(fmt.Sprint("h", 4+i))
				s.start(last)
			}
			s.sleep(time.Second)
			for node, link := range s.links {
				if node != last {
					link.refusal.set(kind)
				}
			}
			took := s.awaitHandover(last, leader)
			c.Check(took <= maxHandover+time.Second, qt.IsTrue, qt.Commentf("took %s", took))
			c.Logf("one of a dozen, %s: %s", name, took)
		})
		runRefused(t, "keeps its term if the refusal ends after 0.3 s: "+name, func(c *qt.C, s *cluster, leader glade.Node) {
			before := s.term()
			s.links[leader].refusal.set(kind)
			for s.links[leader].refusal.firstRefused.Load() == 0 {
				s.sleep(time.Millisecond)
			}
			s.sleep(300 * time.Millisecond)
			s.links[leader].refusal.set(refuseNothing)
			s.sleep(time.Second)
			c.Check(s.submit(s.other(leader), "b", 1).Code, qt.Equals, lead.SubmitAccepted)
			s.sleep(5 * time.Second)
			s.expectStableLeader(before)
			c.Check(s.peers.takeOvers, qt.Equals, 0)
		})
		runRefused(t, "is replaced although it reaches no other host: "+name, func(c *qt.C, s *cluster, leader glade.Node) {
			at := s.other(leader)
			c.Assert(s.submit(at, "a", 3).Code, qt.Equals, lead.SubmitAccepted)
			s.peers.setCut(leader)
			s.links[leader].refusal.set(kind)
			took := s.awaitHandover(at, leader)
			// Only the missed heartbeats tell the others.
			c.Check(took <= maxHandover+500*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", took))
			s.sleep(10 * time.Second)
			s.expectState(at, "a", glade.BatchDone)
		})
	}
}

// TestStoreDownForAll guards against leaders that hand their services over, or stop accepted
// work, because the store serves nobody.
func TestStoreDownForAll(t *testing.T) {
	expectStays := func(name string, setFault func(table *memory.PartitionedTable, active bool)) {
		runRefused(t, name, func(c *qt.C, s *cluster, leader glade.Node) {
			c.Assert(s.submit(leader, "a", 3).Code, qt.Equals, lead.SubmitAccepted)
			before := s.term()
			setFault(s.table, true)
			s.sleep(4 * time.Second)
			c.Check(s.runners.doneOf("a"), qt.Equals, 6, qt.Commentf("accepted work must go on"))
			setFault(s.table, false)
			s.table.ApplyDelayed()
			s.sleep(4 * time.Second)
			s.expectStableLeader(before)
			c.Check(s.peers.takeOvers, qt.Equals, 0)
			s.expectState(s.other(leader), "a", glade.BatchDone)
		})
	}
	fault := func(f memory.PartitionedFault) func(*memory.PartitionedTable, bool) {
		return func(table *memory.PartitionedTable, active bool) {
			if !active {
				f = memory.PartitionedHealthy
			}
			table.SetFault(f)
		}
	}
	expectStays("with errors", fault(memory.PartitionedDown))
	expectStays("without answers", fault(memory.PartitionedUnresponsive))
	expectStays("slow", func(table *memory.PartitionedTable, active bool) {
		table.SetDelay(0)
		if active {
			table.SetDelay(time.Second)
		}
	})
}

// TestStoreRefusesShare guards against leaders that hand their services over, and new leaders that
// don't get to lead, because the store refuses a share of the calls of all hosts.
func TestStoreRefusesShare(t *testing.T) {
	accepted, changes := 0, int64(0)
	const seeds = 6
	for seed := range uint64(seeds) {
		runRefused(t, fmt.Sprint("seed ", seed), func(_ *qt.C, s *cluster, leader glade.Node) {
			before := s.term().Epoch
			for i, node := range refusalHosts {
				s.links[node].refusal.random = rand.New(rand.NewPCG(seed, uint64(i)))
				s.links[node].refusal.set(refuseShare)
			}
			began := time.Now()
			for i := 0; time.Since(began) < time.Minute; i++ {
				if s.submit(leader, glade.BatchID(fmt.Sprint("a", i)), 1).Code == lead.SubmitAccepted {
					accepted++
				}
				s.sleep(100 * time.Millisecond)
			}
			changes += s.term().Epoch - before
			for _, node := range refusalHosts {
				s.links[node].refusal.set(refuseNothing)
			}
		})
	}
	t.Logf("%d changes, %d batches accepted", changes, accepted)
	qt.Check(t, changes <= 8, qt.IsTrue, qt.Commentf("%d changes in %d minutes", changes, seeds))
	qt.Check(t, accepted >= 650, qt.IsTrue, qt.Commentf("%d batches accepted", accepted))
}

// doneOf returns the number of tasks of a batch that were completed.
func (f *runners) doneOf(id glade.BatchID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.byID {
		f.endRuns(r)
	}
	n := 0
	for task, times := range f.completed {
		if task.Batch == id {
			n += times
		}
	}
	return n
}

// TestSuspendedHandover guards against a refused leader that is suspended while it hands over,
// and acts as the leader when it wakes.
func TestSuspendedHandover(t *testing.T) {
	expectReplaced := func(name string, prepare func(n *peerNetwork)) {
		runRefused(t, name, func(c *qt.C, s *cluster, leader glade.Node) {
			at := s.other(leader)
			c.Assert(s.submit(at, "a", 4).Code, qt.Equals, lead.SubmitAccepted)
			prepare(s.peers)
			s.links[leader].refusal.set(throttleWrites)
			took := s.awaitHandover(at, leader)
			c.Check(took <= maxHandover+time.Second, qt.IsTrue, qt.Commentf("took %s", took))
			s.sleep(3 * time.Second)
			next := s.term()
			c.Assert(next.Node, qt.Not(qt.Equals), leader)
			s.links[leader].refusal.set(refuseNothing)
			s.links[leader].refusal.wake()
			s.sleep(time.Second)
			_, leads := s.managers[leader].LocalLeader(service)
			c.Check(leads, qt.IsFalse)
			c.Check(s.submit(leader, "b", 1).Code, qt.Equals, lead.SubmitAccepted)
			s.sleep(6 * time.Second)
			s.expectStableLeader(next)
			s.expectState(at, "a", glade.BatchDone)
			s.expectState(at, "b", glade.BatchDone)
		})
	}
	expectReplaced("before its request leaves it", func(n *peerNetwork) { n.suspendBefore = true })
	expectReplaced("after its request has left it", func(n *peerNetwork) { n.suspendAfter = true })
}

// TestLateTakeOver guards against a request to take over that arrives when its sender writes
// again, and takes the service from it.
func TestLateTakeOver(t *testing.T) {
	expectAnswer := func(name string, change func(args *lead.HandoverArgs), want lead.HandoverResult) {
		runRefused(t, name, func(c *qt.C, s *cluster, leader glade.Node) {
			before := s.term()
			args := lead.HandoverArgs{Service: service, Node: before.Node, Epoch: before.Epoch, Heartbeats: before.Heartbeats + 1}
			change(&args)
			to := s.other(leader)
			client := jrpc.NewClient(jrpc.Config{Address: string(to), Timeout: time.Second, Dial: s.peers.dialer("caller", &refusal{})})
			defer client.Close()
			reply, err := jrpc.Call[lead.HandoverArgs, lead.HandoverReply](context.Background(), client, "takeover", args)
			c.Assert(err, qt.IsNil)
			c.Check(reply.Result, qt.Equals, want)
			s.sleep(3 * time.Second)
			_, leads := s.managers[to].LocalLeader(service)
			c.Check(leads, qt.Equals, want == lead.HandoverClaimed)
		})
	}
	expectAnswer("before any later heartbeat", func(*lead.HandoverArgs) {}, lead.HandoverClaimed)
	expectAnswer("after a later heartbeat", func(args *lead.HandoverArgs) { args.Heartbeats -= 2 }, lead.HandoverDeclined)
	expectAnswer("from a leader that was replaced", func(args *lead.HandoverArgs) { args.Epoch-- }, lead.HandoverReplaced)
}

// TestRefusedInTurn guards against hosts that pass a service to each other while the store
// refuses now one and now the other.
func TestRefusedInTurn(t *testing.T) {
	runRefused(t, "two hosts", func(c *qt.C, s *cluster, _ glade.Node) {
		s.crash("h3")
		s.sleep(5 * time.Second)
		before := s.term().Epoch
		for range 20 {
			for _, node := range []glade.Node{"h1", "h2"} {
				s.links[node].refusal.set(throttleWrites)
				s.sleep(1500 * time.Millisecond)
				s.links[node].refusal.set(refuseNothing)
			}
		}
		changes := s.term().Epoch - before
		c.Check(changes <= 10, qt.IsTrue, qt.Commentf("%d changes in a minute", changes))
		s.sleep(10 * time.Second)
		c.Check(s.submit("h1", "last", 1).Code, qt.Equals, lead.SubmitAccepted)
	})
}

// TestHeldHosts guards against hosts that decline to lead for up to 40 s because the store has
// refused them a moment ago, while it refuses the leader and there are no others.
func TestHeldHosts(t *testing.T) {
	runRefused(t, "lead if there are no others", func(c *qt.C, s *cluster, _ glade.Node) {
		for range 8 {
			leader := s.term().Node
			s.links[leader].refusal.firstRefused.Store(0)
			s.links[leader].refusal.set(throttleWrites)
			took := s.awaitHandover(s.other(leader), leader)
			c.Check(took <= maxHandover, qt.IsTrue, qt.Commentf("took %s", took))
			s.sleep(1500 * time.Millisecond)
			s.links[leader].refusal.set(refuseNothing)
			s.sleep(500 * time.Millisecond)
		}
	})
}

// TestRefusedFleetLeader guards against a leader of the fleet that the store refuses and that
// keeps its term.
func TestRefusedFleetLeader(t *testing.T) {
	for name, kind := range refusalKinds {
		runRefused(t, name, func(c *qt.C, s *cluster, _ glade.Node) {
			leader := s.termOf("fleet/").Node
			s.links[leader].refusal.set(kind)
			for s.links[leader].refusal.firstRefused.Load() == 0 {
				s.sleep(time.Millisecond)
			}
			s.sleep(maxHandover)
			next := s.termOf("fleet/")
			c.Check(next.Node, qt.Not(qt.Equals), leader)
			s.sleep(8 * time.Second)
			c.Check(s.termOf("fleet/").Epoch, qt.Equals, next.Epoch)
		})
	}
}

// TestInterruptedFeeds guards against hosts that start to wait for a dead leader's heartbeats
// anew each time that the store refuses one read of the feed.
func TestInterruptedFeeds(t *testing.T) {
	runRefused(t, "of the hosts that can take over", func(c *qt.C, s *cluster, leader glade.Node) {
		for _, link := range s.links {
			link.refusal.set(flakyFeeds)
		}
		s.sleep(time.Second)
		s.crash(leader)
		began := time.Now()
		for s.term().Node == leader {
			s.sleep(10 * time.Millisecond)
			c.Assert(time.Since(began) < 20*time.Second, qt.IsTrue)
		}
		c.Check(time.Since(began) <= 3*time.Second, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
	})
}

// caller submits one batch and keeps the answer.
type caller struct {
	cluster *cluster
	at      glade.Node
	id      glade.BatchID
	reply   lead.SubmitReply
}

func (r *caller) run(group *sync.WaitGroup) {
	defer group.Done()
	r.reply = r.cluster.submit(r.at, r.id, 1)
}

// TestRefusalsAreTrue guards against batches that are refused and run, that are accepted and
// lost, and against outcomes called unknown although the next leader knows them.
func TestRefusalsAreTrue(t *testing.T) {
	for name, kind := range refusalKinds {
		runRefused(t, name, func(c *qt.C, s *cluster, leader glade.Node) {
			var group sync.WaitGroup
			var callers []*caller
			for i := range 240 {
				if i == 20 {
					s.links[leader].refusal.set(kind)
				}
				at := []glade.Node{"h1", "h2", "h3"}[i%3]
				r := &caller{cluster: s, at: at, id: glade.BatchID(fmt.Sprint("c", i))}
				callers = append(callers, r)
				group.Add(1)
				go r.run(&group)
				s.sleep(10 * time.Millisecond)
			}
			group.Wait()
			s.sleep(60 * time.Second)
			counts := make(map[string]int) // by outcome and reason
			for _, r := range callers {
				counts[string(r.reply.Code)+r.reply.Reason]++
				done := s.runners.doneOf(r.id)
				switch r.reply.Code {
				case lead.SubmitAccepted:
					c.Check(done, qt.Equals, 2, qt.Commentf("batch %s was accepted at %s", r.id, r.at))
				case lead.SubmitRefused:
					c.Check(done, qt.Equals, 0, qt.Commentf("batch %s was refused at %s: %s", r.id, r.at, r.reply.Reason))
					c.Check(r.reply.After > 0, qt.IsTrue)
				}
			}
			c.Logf("%s: %v", name, counts)
			for _, reason := range []string{"", "store", "lead", "isolated"} {
				c.Check(counts[string(lead.SubmitUnknown)+reason], qt.Equals, 0)
			}
		})
	}
}

// TestAttemptsAtOnce guards against a refusal of a second attempt while the first one has been written:
// it is still in flight at the same host, or was accepted there and its caller has not heard so.
func TestAttemptsAtOnce(t *testing.T) {
	expectNotRefused := func(name string, slowCommits bool) {
		runRefused(t, name, func(c *qt.C, s *cluster, leader glade.Node) {
			at := s.other(leader)
			s.links[leader].slowCommits.Store(slowCommits)
			var group sync.WaitGroup
			group.Add(2)
			first := &caller{cluster: s, at: at, id: "a"}
			go first.run(&group)
			s.sleep(200 * time.Millisecond)
			s.crash(leader)
			second := &caller{cluster: s, at: at, id: "a"}
			go second.run(&group)
			group.Wait()
			s.sleep(10 * time.Second)
			c.Assert(s.runners.doneOf("a"), qt.Equals, 2)
			c.Check(first.reply.Code, qt.Not(qt.Equals), lead.SubmitRefused)
			c.Check(second.reply.Code, qt.Not(qt.Equals), lead.SubmitRefused, qt.Commentf("%s", second.reply.Reason))
		})
	}
	expectNotRefused("while no host leads", true)
	expectNotRefused("after it was accepted", false)
}

// TestRefusedByAll guards against a batch that runs although every attempt to submit it was refused,
// with each attempt at another host.
func TestRefusedByAll(t *testing.T) {
	for name, kind := range refusalKinds {
		runRefused(t, name, func(c *qt.C, s *cluster, _ glade.Node) {
			var group sync.WaitGroup
			var callers []*roamingCaller
			setAll := func(kind refusalKind) {
				for _, link := range s.links {
					link.refusal.set(kind)
				}
			}
			for i := range 500 {
				switch i {
				case 10:
					setAll(kind)
				case 300:
					setAll(refuseNothing)
				}
				r := &roamingCaller{cluster: s, first: i, id: glade.BatchID(fmt.Sprint("c", i))}
				callers = append(callers, r)
				group.Add(1)
				go r.run(&group)
				s.sleep(20 * time.Millisecond)
			}
			group.Wait()
			s.sleep(60 * time.Second)
			refused := 0
			for _, r := range callers {
				if r.refused == len(refusalHosts) {
					refused++
					c.Check(s.runners.doneOf(r.id), qt.Equals, 0, qt.Commentf("batch %s was refused by all hosts", r.id))
				}
			}
			c.Check(refused > 0, qt.IsTrue)
		})
	}
	// A host can't know of an attempt elsewhere. Its refusal is true of its own attempt only.
	runRefused(t, "a later attempt may be refused after one that was accepted", func(c *qt.C, s *cluster, leader glade.Node) {
		c.Assert(s.submit(leader, "a", 1).Code, qt.Equals, lead.SubmitAccepted)
		for _, node := range refusalHosts {
			if node != leader {
				s.links[node].refusal.set(refuseAll)
			}
		}
		s.crash(leader)
		reply := s.submit(s.other(leader), "a", 1)
		c.Check([]string{string(reply.Code), reply.Reason}, qt.DeepEquals, []string{string(lead.SubmitRefused), "lead"})
		for _, node := range refusalHosts {
			s.links[node].refusal.set(refuseNothing)
		}
		s.sleep(20 * time.Second)
		c.Check(s.runners.doneOf("a"), qt.Equals, 2)
	})
}

// roamingCaller submits one batch at each host in turn until it is accepted.
type roamingCaller struct {
	cluster *cluster
	first   int
	id      glade.BatchID
	refused int
}

func (r *roamingCaller) run(group *sync.WaitGroup) {
	defer group.Done()
	for i := range refusalHosts {
		switch r.cluster.submit(refusalHosts[(r.first+i)%len(refusalHosts)], r.id, 1).Code {
		case lead.SubmitAccepted:
			return
		case lead.SubmitRefused:
			r.refused++
		}
		r.cluster.sleep(100 * time.Millisecond)
	}
}
