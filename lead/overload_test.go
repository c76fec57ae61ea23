package lead

import (
	"context"
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
	"indigoglade/sched"
	"indigoglade/wire"
)

// overloadedService is a leader that refuses batches for lack of capacity, and a router on
// another host.
type overloadedService struct {
	router    *Router
	scheduler *sched.Scheduler
	// received counts the bytes at the leader's peer port.
	received *wire.Counter
	batch    glade.Batch
	// address is that of the leader's host.
	address string
}

const overloadedQueue glade.Queue = "fast"

// newOverloadedService starts the service. The leader's host serves the calls that register
// adds.
func newOverloadedService(t *testing.T, register func(leader *Manager, mux *jrpc.Mux)) *overloadedService {
	t.Helper()
	leader := newLoadedManager()
	scheduler := leader.leaders[testService].sched
	scheduler.SetRules(glade.Rules{Version: 1, Queues: []glade.QueueRule{{Queue: overloadedQueue, Service: testService, MaxFailures: 3, Stretch: 2}}})
	now := time.Now()
	scheduler.SetRunners([]glade.RunnerInfo{{ID: "r1", Service: testService, Capacity: glade.Need{CPU: 4000, Memory: 4000}}}, now)
	scheduler.SetStartRate(1000)
	s := &overloadedService{
		received: &wire.Counter{}, scheduler: scheduler,
		batch: glade.Batch{Spec: strings.Repeat("x", 4000), Steps: []glade.Step{{Count: 4, Need: glade.Need{CPU: 1000}, Estimate: 400}}},
	}
	for i := range 10 {
		scheduler.Submit(glade.BatchID(fmt.Sprint("earlier", i)), overloadedQueue, s.batch, now)
	}

	mux := jrpc.NewMux()
	register(leader, mux)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := &peerServer{server: jrpc.NewServer(s.received.Listen(listener), mux), test: t, done: make(chan struct{})}
	go server.run()
	t.Cleanup(func() { <-server.done })

	directory := NewDirectory(DirectoryConfig{Self: "h2", Clock: clock.System{}, Log: logr.Discard(), PartitionedTable: memory.NewPartitionedTable()})
	directory.RecordTerm(testService, Term{Node: "h1", Address: listener.Addr().String(), Epoch: 1}, 1)
	s.address = listener.Addr().String()
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

func (s *overloadedService) submit(t *testing.T, id string, timeout time.Duration) SubmitReply {
	t.Helper()
	return s.router.Submit(t.Context(), SubmitArgs{Service: testService, ID: glade.BatchID(id), Queue: overloadedQueue, Batch: s.batch}, timeout)
}

func (s *overloadedService) expectRefused(t *testing.T, id string) {
	t.Helper()
	reply := s.submit(t, id, time.Second)
	qt.Assert(t, reply.Code, qt.Equals, SubmitRefused)
	qt.Assert(t, reply.Reason, qt.Equals, "link")
	qt.Assert(t, reply.After > 0, qt.IsTrue)
}

// TestRefusedBatchesFillNoLink guards against callers whose refused batches fill the link
// of the leader, so that heartbeats get no answer and leases end.
func TestRefusedBatchesFillNoLink(t *testing.T) {
	s := newOverloadedService(t, (*Manager).Register)
	const batches = 40
	for i := range batches {
		s.expectRefused(t, fmt.Sprint(i))
	}
	qt.Assert(t, s.received.Received() < int64(batches*len(s.batch.Spec)/4), qt.IsTrue,
		qt.Commentf("%d bytes for %d refused batches of %d bytes", s.received.Received(), batches, len(s.batch.Spec)))
}

// TestOfferedBatches guards against batches that stay offers when their leader has room, or
// knows no offers.
func TestOfferedBatches(t *testing.T) {
	t.Run("are sent when the leader may accept them", func(t *testing.T) {
		s := newOverloadedService(t, (*Manager).Register)
		s.expectRefused(t, "first")
		s.scheduler.SetStartRate(1e9)
		reply := s.submit(t, "second", 100*time.Millisecond)
		// The leader has accepted the batch, and withdraws it because nothing writes its row.
		qt.Assert(t, reply.Reason, qt.Equals, "store")
	})
	t.Run("are sent to a leader of an older version", func(t *testing.T) {
		s := newOverloadedService(t, func(leader *Manager, mux *jrpc.Mux) {
			jrpc.Handle(mux, methodSubmit, func(ctx context.Context, in SubmitArgs) (SubmitReply, error) {
				return leader.submitLocal(ctx, in), nil
			})
		})
		s.expectRefused(t, "first")
		s.expectRefused(t, "second")
	})
	t.Run("are offered for a time after a refusal, each queue for itself", func(t *testing.T) {
		var o overloads
		now := time.Unix(1_000_000, 0)
		o.record(testService, overloadedQueue, now)
		qt.Assert(t, o.isRecent(testService, overloadedQueue, now.Add(offerTime-1)), qt.IsTrue)
		qt.Assert(t, o.isRecent(testService, overloadedQueue, now.Add(offerTime)), qt.IsFalse)
		qt.Assert(t, o.isRecent(testService, "other", now), qt.IsFalse)
	})
}

// TestLimitRefusals guards against offers from all tenants of a queue because of the limit of
// one: each offer that is not refused costs a round trip.
func TestLimitRefusals(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var o overloads
	o.recordLimit(testService, overloadedQueue, "acme", now)
	qt.Assert(t, o.isLimitRecent(testService, overloadedQueue, "acme", now.Add(offerTime-1)), qt.IsTrue)
	qt.Assert(t, o.isLimitRecent(testService, overloadedQueue, "other", now), qt.IsFalse)
	qt.Assert(t, o.isRecent(testService, overloadedQueue, now), qt.IsFalse)
	for reason, want := range map[string]bool{"load": true, "limit": true, "limitsize": true, "link": false, "store": false} {
		qt.Check(t, IsShortage(reason), qt.Equals, want)
	}
}
