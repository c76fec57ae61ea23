package lead

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/jrpc"
	"indigoglade/memory"
	"indigoglade/wire"
)

// overloadedService is a leader that refuses batches for lack of capacity, and a router on
// another host.
type overloadedService struct {
	router *Router
	// received counts the bytes at the leader's peer port.
	received *wire.Counter
	batch    glade.Batch
}

const overloadedQueue glade.Queue = "fast"

func newOverloadedService(t *testing.T) *overloadedService {
	t.Helper()
	leader := newLoadedManager()
	scheduler := leader.leaders[testService].sched
	scheduler.SetRules(glade.Rules{Version: 1, Queues: []glade.QueueRule{{Queue: overloadedQueue, Service: testService, MaxFailures: 3, Stretch: 2}}})
	now := time.Now()
	scheduler.SetRunners([]glade.RunnerInfo{{ID: "r1", Service: testService, Capacity: glade.Need{CPU: 4000, Memory: 4000}}}, now)
	scheduler.SetStartRate(1000)
	s := &overloadedService{
		received: &wire.Counter{},
		batch:    glade.Batch{Spec: strings.Repeat("x", 4000), Steps: []glade.Step{{Count: 4, Need: glade.Need{CPU: 1000}, Estimate: 400}}},
	}
	for i := range 10 {
		scheduler.Submit(glade.BatchID(fmt.Sprint("earlier", i)), overloadedQueue, s.batch, now)
	}

	mux := jrpc.NewMux()
	leader.Register(mux)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &peerServer{server: jrpc.NewServer(s.received.Listen(listener), mux), test: t, done: make(chan struct{})}
	go server.run()
	t.Cleanup(func() { <-server.done })

	directory := NewDirectory(DirectoryConfig{Self: "h2", Clock: clock.System{}, Log: logr.Discard(), PartitionedTable: memory.NewPartitionedTable()})
	directory.RecordTerm(testService, Term{Node: "h1", Address: listener.Addr().String(), Epoch: 1}, 1)
	s.router = New(Config{Self: "h2", Clock: clock.System{}, Log: logr.Discard(), Directory: directory}).Router()
	return s
}

type peerServer struct {
	server *jrpc.Server
	test   *testing.T
	done   chan struct{}
}

func (p *peerServer) run() {
	defer close(p.done)
	_ = p.server.Run(p.test.Context()) // the error at the end of the test is of no interest
}

// TestRefusedBatchesFillNoLink guards against callers whose refused batches fill the link
// of the leader, so that heartbeats get no answer and leases end.
func TestRefusedBatchesFillNoLink(t *testing.T) {
	c, s := qt.New(t), newOverloadedService(t)
	const batches = 40
	for i := range batches {
		reply := s.router.Submit(t.Context(), SubmitArgs{
			Service: testService, ID: glade.BatchID(fmt.Sprint(i)), Queue: overloadedQueue, Batch: s.batch,
		}, time.Second)
		c.Assert(reply.Code, qt.Equals, SubmitRefused)
		c.Assert(reply.Reason, qt.Equals, "link")
		c.Assert(reply.After > 0, qt.IsTrue)
	}
	c.Assert(s.received.Received() < int64(batches*len(s.batch.Spec)/4), qt.IsTrue,
		qt.Commentf("%d bytes for %d refused batches of %d bytes", s.received.Received(), batches, len(s.batch.Spec)))
}
