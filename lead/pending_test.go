package lead

import (
	"bufio"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/jrpc"
	"indigoglade/memory"
)

// silentLeader accepts connections, counts the messages and answers none.
type silentLeader struct {
	listener net.Listener
	received chan struct{}
	wait     sync.WaitGroup
}

func newSilentLeader(t *testing.T) *silentLeader {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	l := &silentLeader{listener: listener, received: make(chan struct{})}
	l.wait.Add(1)
	go l.run()
	t.Cleanup(func() {
		listener.Close()
		l.wait.Wait()
	})
	return l
}

func (l *silentLeader) run() {
	defer l.wait.Done()
	conn, err := l.listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	messages := bufio.NewReader(conn)
	for {
		_, err := messages.ReadSlice('\n')
		switch err {
		case nil:
			l.received <- struct{}{}
		case bufio.ErrBufferFull:
		default:
			return
		}
	}
}

// submission is a batch on its way to the leader.
type submission struct {
	router  *Router
	test    *testing.T
	args    SubmitArgs
	replies chan SubmitReply
}

// submitTime is long enough to bring a thousand batches to the leader on a busy machine.
const submitTime = 10 * time.Second

func (s *submission) run() { s.replies <- s.router.Submit(s.test.Context(), s.args, submitTime) }

// TestPendingBatchesAreBounded guards against callers who end a process with legal batches: each may take 57 KB, and a
// host keeps it twice until the leader answers, which may take as long as the callers wait.
func TestPendingBatchesAreBounded(t *testing.T) {
	leader := newSilentLeader(t)
	directory := NewDirectory(DirectoryConfig{Self: "h2", Clock: clock.System{}, Log: logr.Discard(), PartitionedTable: memory.NewPartitionedTable()})
	directory.RecordTerm(testService, Term{Node: "h1", Address: leader.listener.Addr().String(), Epoch: 1}, 1)
	const maxBytes, callers = 8 << 20, 300 // a fifth of what they would take
	manager := New(Config{Self: "h2", Clock: clock.System{}, Log: logr.Discard(), Directory: directory, Limits: Limits{PendingBytes: maxBytes}})
	replies := make(chan SubmitReply, callers)
	submit := func(i, size int) {
		s := &submission{router: manager.Router(), test: t, replies: replies, args: SubmitArgs{
			Service: testService, ID: glade.BatchID(fmt.Sprint(i)), Queue: overloadedQueue,
			Batch: glade.Batch{Steps: []glade.Step{{Count: 1, Image: strings.Repeat("i", size)}}},
		}}
		go s.run()
	}
	before := heapBytes()
	for i := range callers {
		submit(i, 57_000)
	}
	pending, refused := 0, 0
	for pending+refused < callers {
		select {
		case <-leader.received:
			pending++
		case reply := <-replies:
			qt.Assert(t, reply.Code, qt.Equals, SubmitRefused, qt.Commentf("%+v", reply))
			qt.Assert(t, reply.Reason, qt.Equals, reasonMemory)
			qt.Assert(t, reply.After > 0, qt.IsTrue)
			refused++
		}
	}
	t.Run("the memory of all", func(t *testing.T) {
		used := heapBytes() - before
		qt.Assert(t, used < maxBytes, qt.IsTrue, qt.Commentf("%d bytes for %d batches", used, pending))
		qt.Assert(t, pending > maxBytes/2*9/10/int(callCost(57_000)), qt.IsTrue, qt.Commentf("%d", pending))
	})
	t.Run("a small batch beside them", func(t *testing.T) {
		submit(callers, 1200)
		select {
		case <-leader.received:
		case reply := <-replies:
			qt.Assert(t, reply.Code, qt.Not(qt.Equals), SubmitRefused, qt.Commentf("%+v", reply))
		}
		pending++
	})
	t.Run("what has ended takes no room", func(t *testing.T) {
		for range pending {
			select {
			case reply := <-replies:
				qt.Assert(t, reply.Code, qt.Equals, SubmitUnknown)
			case <-leader.received:
				t.Fatal("sent again")
			}
		}
		qt.Assert(t, manager.Pending(), qt.Equals, PendingStats{Refused: int64(refused)})
	})
}

// TestCrowdedLeader guards against a leader that other hosts bring more batches than its memory holds, and against
// refusals by it that are not true.
func TestCrowdedLeader(t *testing.T) {
	var leader *Manager
	s := newOverloadedService(t, func(m *Manager, mux *jrpc.Mux) {
		leader = m
		m.Register(mux)
	})
	leader.pending.Take(maxPendingBytes)
	t.Run("refuses", func(t *testing.T) {
		reply := s.submit(t, "one", time.Second)
		qt.Assert(t, reply, qt.Equals, SubmitReply{Code: SubmitRefused, Reason: reasonMemory, After: 1000})
		qt.Assert(t, leader.Pending().Refused, qt.Equals, int64(1)) // it is not asked again
	})
	t.Run("does not refuse a batch that may have been accepted", func(t *testing.T) {
		a := s.router.doubts.begin("two", time.Now())
		a.add(1)
		a.end(SubmitUnknown, time.Now())
		reply := s.submit(t, "two", time.Second)
		qt.Assert(t, reply, qt.Equals, SubmitReply{Code: SubmitUnknown, Reason: reasonMemory})
	})
	t.Run("refuses an explanation", func(t *testing.T) {
		_, err := jrpc.Call[ExplainArgs, ExplainReply](t.Context(), s.router.peerClient(s.address), MethodExplain, ExplainArgs{Service: testService})
		qt.Assert(t, errors.Is(err, jrpc.ErrBusy), qt.IsTrue, qt.Commentf("%v", err))
	})
	t.Run("serves again", func(t *testing.T) {
		leader.pending.Give(maxPendingBytes)
		s.expectRefused(t, "three")
		qt.Assert(t, leader.Pending().Bytes, qt.Equals, int64(0))
	})
}

// TestCostOfPendingBatches guards against batches of the usual sizes that count as large, and against a bound that the
// connections of a host's callers meet.
func TestCostOfPendingBatches(t *testing.T) {
	step := glade.Step{Count: 4, Need: glade.Need{CPU: 500, Memory: 256}, Estimate: 900, Rack: "r1-3", Image: "images/17"}
	usual := glade.Batch{Spec: strings.Repeat("s", 800), Steps: []glade.Step{step, step, step}}
	qt.Assert(t, batchCost(usual)*2900 < maxPendingBytes, qt.IsTrue, qt.Commentf("%d", batchCost(usual)))
	largest := glade.Batch{Spec: strings.Repeat("s", 4000), Steps: []glade.Step{step, step, step, step, step, step}}
	qt.Assert(t, batchCost(largest) <= smallPendingBytes, qt.IsTrue, qt.Commentf("%d", batchCost(largest)))
}

// heapBytes returns the bytes that are in use after a collection.
func heapBytes() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc + stats.StackInuse)
}

// TestCancelledIDsAreBounded guards against callers who cancel IDs that no batch has, and against an answer that says that
// such an ID is cancelled when it isn't.
func TestCancelledIDsAreBounded(t *testing.T) {
	s := newOverloadedService(t, (*Manager).Register)
	cancel := func(id glade.BatchID) error {
		_, err := s.router.Cancel(t.Context(), BatchArgs{Service: testService, ID: id}, 10*time.Second)
		return err
	}
	for i := 0; s.scheduler.MayCancel("new"); i++ {
		s.scheduler.Cancel(glade.BatchID(fmt.Sprint(i)), time.Now())
	}
	began := time.Now()
	qt.Assert(t, cancel("new"), qt.ErrorIs, jrpc.ErrBusy)
	qt.Assert(t, time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("it is asked again"))
	qt.Assert(t, s.scheduler.IsKnown("new"), qt.IsFalse)
}
