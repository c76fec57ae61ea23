package lead_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/bubble"
	"indigoglade/clock"
	"indigoglade/lead"
	"indigoglade/memory"
)

const (
	service       glade.Service = "quotes"
	queue         glade.Queue   = "fast"
	submitTimeout               = 2 * time.Second
)

// runners simulates the runners of a service, by the clock of the test.
type runners struct {
	mu          sync.Mutex
	began       time.Time
	byID        map[glade.RunnerID]*fakeRunner
	unreachable map[glade.Node]bool // leaders that reach no runner
	completed   map[glade.TaskID]int
	duplicates  int
	// hangStarts makes runners answer no start.
	hangStarts atomic.Bool
	// services are those that the runners belong to, in turn.
	services []glade.Service
	// fails makes every run end as failed.
	fails bool
	// mostRunning is the most tasks that have run at a time.
	mostRunning int
}

type fakeRunner struct {
	fence    int64
	heldAt   time.Time // of the last heartbeat
	running  map[glade.TaskID]*execution
	ended    []glade.EndedRun
	endCount int64
}

type execution struct {
	run              int64
	endsAt, leaseEnd time.Time
}

func newFakeRunners(n int) *runners {
	f := &runners{services: []glade.Service{service}, began: time.Now(), byID: make(map[glade.RunnerID]*fakeRunner), unreachable: make(map[glade.Node]bool), completed: make(map[glade.TaskID]int)}
	for i := range n {
		f.byID[glade.RunnerID(fmt.Sprintf("r%d", i))] = &fakeRunner{running: make(map[glade.TaskID]*execution)}
	}
	return f
}

func (f *runners) list() []glade.RunnerInfo {
	var list []glade.RunnerInfo
	for i := range len(f.byID) {
		id := glade.RunnerID(fmt.Sprintf("r%d", i))
		list = append(list, glade.RunnerInfo{ID: id, Address: "a", Service: f.services[i%len(f.services)], Capacity: glade.Need{CPU: 4000, Memory: 4000}})
	}
	return list
}

// route is the connection of one leader to the runners.
type route struct {
	*runners
	node    glade.Node
	refusal *refusal
}

var errNoAnswer = fmt.Errorf("no answer")

// endRuns ends the runs of a runner that are complete or whose lease has expired.
func (f *runners) endRuns(r *fakeRunner) {
	now := time.Now()
	for task, e := range r.running {
		how := glade.EndDone
		switch {
		case now.After(e.leaseEnd):
			how = glade.EndLeaseExpired
		case now.Before(e.endsAt):
			continue
		case f.fails:
			how = glade.EndFailed
		}
		delete(r.running, task)
		r.endCount++
		r.ended = append(r.ended, glade.EndedRun{Seq: r.endCount, Task: task, Run: e.run, Reason: how})
		if how == glade.EndDone {
			f.completed[task]++
		}
	}
}

func (f *runners) isRunning(task glade.TaskID) bool {
	for _, r := range f.byID {
		f.endRuns(r)
		if _, ok := r.running[task]; ok {
			return true
		}
	}
	return false
}

// countRunning returns the number of tasks that run.
func (f *runners) countRunning() (n int) {
	for _, r := range f.byID {
		f.endRuns(r)
		n += len(r.running)
	}
	return n
}

const (
	taskTime = 800 * time.Millisecond
	// lastingSpec is the spec of tasks that run until they are stopped.
	lastingSpec = "lasts"
)

// Start starts a run.
func (c route) Start(ctx context.Context, to glade.RunnerInfo, o glade.StartOrder) (glade.RunAnswer, error) {
	if err := c.simulateCall(ctx); err != nil {
		return glade.RunAnswer{}, err
	}
	if c.hangStarts.Load() {
		<-ctx.Done()
		return glade.RunAnswer{}, errNoAnswer
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.byID[to.ID]
	if o.Fence < r.fence {
		return glade.RunAnswer{Refused: glade.RefusedFence}, nil
	}
	r.fence = o.Fence
	if c.isRunning(o.Task) || c.completed[o.Task] > 0 {
		c.duplicates++
	}
	endsAt := time.Now().Add(taskTime)
	if o.Spec == lastingSpec {
		endsAt = endsAt.Add(time.Hour)
	}
	r.running[o.Task] = &execution{run: o.Run, endsAt: endsAt, leaseEnd: c.began.Add(time.Duration(o.LeaseUntil) * time.Millisecond)}
	c.mostRunning = max(c.mostRunning, c.countRunning())
	return glade.RunAnswer{}, nil
}

// Stop stops a run.
func (c route) Stop(ctx context.Context, to glade.RunnerInfo, task glade.TaskID, run, fence int64) (glade.RunAnswer, error) {
	if err := c.simulateCall(ctx); err != nil {
		return glade.RunAnswer{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.byID[to.ID]
	if fence < r.fence {
		return glade.RunAnswer{Refused: glade.RefusedFence}, nil
	}
	if e, ok := r.running[task]; ok && e.run == run {
		delete(r.running, task)
		r.endCount++
		r.ended = append(r.ended, glade.EndedRun{Seq: r.endCount, Task: task, Run: run, Reason: glade.EndStopped})
	}
	return glade.RunAnswer{}, nil
}

// Throttle accepts every share and changes nothing.
func (c route) Throttle(context.Context, glade.RunnerInfo, glade.TaskID, int64, int64, int) (glade.RunAnswer, error) {
	return glade.RunAnswer{}, nil
}

// simulateCall takes the time of a call. A leader that is cut off waits until ctx
// ends and gets no answer.
func (c route) simulateCall(ctx context.Context) error {
	c.refusal.awaitWake()
	c.mu.Lock()
	cut := c.unreachable[c.node]
	c.mu.Unlock()
	if cut {
		<-ctx.Done()
		return errNoAnswer
	}
	return clock.System{}.Sleep(ctx, time.Millisecond)
}

// Heartbeat renews leases and lists runs. It waits up to o.Wait for a run to end.
func (c route) Heartbeat(ctx context.Context, to glade.RunnerInfo, o glade.HeartbeatOrder) (glade.HeartbeatAnswer, error) {
	if err := c.simulateCall(ctx); err != nil {
		return glade.HeartbeatAnswer{}, err
	}
	deadline := time.Now().Add(o.Wait)
	for {
		answer := c.answerHeartbeat(to.ID, o)
		if answer.Refused != "" || len(answer.Ended) > 0 || !time.Now().Before(deadline) {
			return answer, c.simulateCall(ctx)
		}
		if err := (clock.System{}).Sleep(ctx, 10*time.Millisecond); err != nil {
			return glade.HeartbeatAnswer{}, err
		}
	}
}

func (c route) answerHeartbeat(id glade.RunnerID, o glade.HeartbeatOrder) glade.HeartbeatAnswer {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.byID[id]
	if o.Fence < r.fence {
		return glade.HeartbeatAnswer{Refused: glade.RefusedFence}
	}
	r.fence, r.heldAt = o.Fence, time.Now()
	c.endRuns(r)
	for len(r.ended) > 0 && r.ended[0].Seq <= o.AckedSeq {
		r.ended = r.ended[1:]
	}
	answer := glade.HeartbeatAnswer{Born: 1, Clock: time.Since(c.began).Milliseconds(), Ended: append([]glade.EndedRun(nil), r.ended...)}
	for task, e := range r.running {
		if until := c.began.Add(time.Duration(o.LeaseUntil) * time.Millisecond); until.After(e.leaseEnd) {
			e.leaseEnd = until
		}
		answer.Running = append(answer.Running, glade.ActiveRun{Task: task, Run: e.run, Percent: 50})
	}
	return answer
}

// cluster is some hosts that share one table service, one inventory and the same runners.
type cluster struct {
	c         *qt.C
	table     *memory.PartitionedTable
	runners   *runners
	managers  map[glade.Node]*lead.Manager
	cancels   map[glade.Node]context.CancelFunc
	ids       int
	inventory *inventory
	// capacity is that of each host, in millicores.
	capacity map[glade.Node]int
	// links are the connections of the hosts to the table service.
	links map[glade.Node]*tableLink
	// limits are those of the managers that start from now on.
	limits lead.Limits
	// peers connects the managers that start from now on, unless it is nil.
	peers *peerNetwork
	// prepare is called with the link of each host that starts from now on, unless it is nil.
	prepare func(link *tableLink)
	// rules is the contract of the managers that start from now on.
	rules glade.Rules
}

// testClock is the clock of a synctest bubble.
type testClock struct {
	clock.System
	began time.Time
}

func (t testClock) Uptime() time.Duration { return time.Since(t.began) }

// tableLink is the connection of one host to the table service, which can be cut.
type tableLink struct {
	*memory.PartitionedTable
	cut atomic.Bool
	// failLists makes lists fail, failShares reads of the tenants' shares, and slowCommits
	// delays the answers to commits by a second.
	failLists, failShares, slowCommits atomic.Bool
	// batchWrites disturbs writes of new batches, unless it is nil.
	batchWrites atomic.Pointer[batchWrites]
	// rejected is the row with which every transaction is rejected, and rejections counts them.
	rejected   atomic.Pointer[glade.PartitionRow]
	rejections atomic.Int64
	// slow is the way of rows to the host, unless it is nil.
	slow    *slowLink
	refusal refusal
}

// batchWrites loses the answer of the first write of a new batch, and lets some that follow be
// refused.
type batchWrites struct{ count, refused atomic.Int64 }

func (b *batchWrites) next() (lost, refused bool) {
	n := b.count.Add(1)
	return n == 1, n > 1 && n <= 1+b.refused.Load()
}

func hasBatch(txn glade.PartitionTxn) bool {
	return slices.ContainsFunc(txn.Puts, func(row glade.PartitionRow) bool { return row.Table == "work" })
}

func (l *tableLink) List(ctx context.Context, table, part string) ([]glade.PartitionRow, int64, error) {
	if err := l.refuseRead(ctx, false); err != nil {
		return nil, 0, err
	}
	if l.failLists.Load() && table == "work" {
		return nil, 0, errNoAnswer
	}
	return l.PartitionedTable.List(ctx, table, part)
}

func (l *tableLink) ListPage(ctx context.Context, table, part, from string, limit int) (glade.RowPage, error) {
	if err := l.refuseRead(ctx, false); err != nil {
		return glade.RowPage{}, err
	}
	if l.failLists.Load() && table == "work" {
		return glade.RowPage{}, errNoAnswer
	}
	page, err := l.PartitionedTable.ListPage(ctx, table, part, from, limit)
	if page = cut(page); err == nil {
		err = l.slow.transfer(ctx, page.Rows)
	}
	return page, err
}

func (l *tableLink) Commit(ctx context.Context, txn glade.PartitionTxn) (int64, []glade.PartitionRow, glade.CommitResult) {
	if l.cut.Load() {
		<-ctx.Done()
		return 0, nil, glade.Uncertain
	}
	if refused, result := l.refuseCommit(ctx, txn); refused {
		return 0, nil, result
	}
	if batchWrites := l.batchWrites.Load(); batchWrites != nil && hasBatch(txn) {
		if lost, refused := batchWrites.next(); lost {
			l.PartitionedTable.Commit(ctx, txn)
			return 0, nil, glade.Uncertain
		} else if refused {
			return 0, nil, glade.Unavailable
		}
	}
	if row := l.rejected.Load(); row != nil && slices.ContainsFunc(txn.Puts, func(r glade.PartitionRow) bool { return r.Table == row.Table && r.Key == row.Key }) {
		l.rejections.Add(1)
		return 0, nil, glade.Rejected
	}
	if ctx.Err() != nil {
		return 0, nil, glade.Uncertain // the call is not sent
	}
	version, rows, result := l.PartitionedTable.Commit(ctx, txn)
	if l.slowCommits.Load() {
		_ = clock.System{}.Sleep(ctx, time.Second)
	}
	return version, rows, result
}

func (l *tableLink) Get(ctx context.Context, table, part, key string) (glade.PartitionRow, error) {
	if l.cut.Load() {
		<-ctx.Done()
		return glade.PartitionRow{}, errNoAnswer
	}
	if err := l.refuseRead(ctx, false); err != nil {
		return glade.PartitionRow{}, err
	}
	if l.failShares.Load() && table == "quota" {
		return glade.PartitionRow{}, errNoAnswer
	}
	return l.PartitionedTable.Get(ctx, table, part, key)
}

func (l *tableLink) Feed(ctx context.Context, table string, after int64, wait time.Duration) ([]glade.PartitionRow, int64, error) {
	if err := l.refuseRead(ctx, true); err != nil {
		return nil, 0, err
	}
	rows, version, err := l.PartitionedTable.Feed(ctx, table, after, wait)
	if l.cut.Load() {
		return nil, 0, errNoAnswer
	}
	return rows, version, err
}

func newCluster(c *qt.C, nodes ...glade.Node) *cluster {
	s := &cluster{
		c: c, table: memory.NewPartitionedTable(), runners: newFakeRunners(3), inventory: &inventory{},
		managers: make(map[glade.Node]*lead.Manager), cancels: make(map[glade.Node]context.CancelFunc), links: make(map[glade.Node]*tableLink),
		limits: lead.Limits{MaxLease: 10 * time.Second, Retention: time.Minute, HostsCheckFences: true},
		rules: glade.Rules{Version: 1, Services: []glade.ServiceRule{{Service: service}, {Service: sparePool, Spare: true}}, Queues: []glade.QueueRule{{
			Queue: queue, Service: service, MaxFailures: 3, Stretch: 2, Slack: time.Second,
		}}},
	}
	for _, node := range nodes {
		s.start(node)
	}
	return s
}

func (s *cluster) start(node glade.Node) {
	ctx, cancel := context.WithCancel(context.Background())
	link := &tableLink{PartitionedTable: s.table}
	if s.prepare != nil {
		s.prepare(link)
	}
	s.links[node] = link
	directory := lead.NewDirectory(lead.DirectoryConfig{Self: node, Row: lead.NodeRow{Address: string(node), Capacity: s.capacity[node]}, PartitionedTable: link, Clock: clock.System{}, Log: logr.Discard()})
	manager := lead.New(lead.Config{
		Self: node, Address: string(node), PartitionedTable: link, Runners: route{s.runners, node, &link.refusal}, Inventory: hostLink{s.inventory, node},
		Clock: hostClock{testClock{began: s.runners.began}, &link.refusal}, Log: s.log(node), Directory: directory, Limits: s.limits,
		DialPeer: s.peers.dialer(node, &link.refusal),
	})
	s.peers.serve(ctx, node, manager)
	manager.SetRules(s.rules)
	manager.SetRunners(s.runners.list())
	s.managers[node], s.cancels[node] = manager, cancel
	for _, task := range []func(context.Context) error{directory.FollowTerms, directory.FollowNodes, manager.Run} {
		t := &background{ctx: ctx, task: task}
		go t.run()
	}
}

type background struct {
	ctx  context.Context
	task func(context.Context) error
}

func (b *background) run() { _ = b.task(b.ctx) } // the error at the end of ctx is of no interest

// sparePool is a pool of hosts that are off.
const sparePool glade.Service = "spare"

// inventory has two hosts, both in the spare pool.
type inventory struct {
	mu       sync.Mutex
	reported []string
	// orders are the calls that move a host.
	orders []hostOrder
	// moveCalls counts the calls that move a host.
	moveCalls int
	// failReports is how many of the next reports that a wave is done fail.
	failReports int
}

func (i *inventory) Hosts(context.Context) ([]glade.HostInfo, error) {
	var list []glade.HostInfo
	for _, name := range []glade.Host{"m1", "m2"} {
		list = append(list, glade.HostInfo{Host: name, Pool: sparePool, State: glade.HostUp, Capacity: glade.Need{CPU: 4000, Memory: 4000}})
	}
	return list, nil
}

// hostOrder is an order for a host, as the inventory has received it.
type hostOrder struct {
	host  glade.Host
	from  glade.Node
	fence int64
	at    time.Time
}

// hostLink is the connection of one leader to the inventory.
type hostLink struct {
	*inventory
	node glade.Node
}

func (l hostLink) Move(_ context.Context, host glade.Host, _ glade.Service, permit glade.Permit) (glade.HostRefusal, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moveCalls++
	l.orders = append(l.orders, hostOrder{host: host, from: l.node, fence: permit.Fence, at: time.Now()})
	return glade.HostLimited, nil
}

// mixedOrders returns the orders for a host that follow one of a newer leader, or one
// of another leader within the lease.
func (i *inventory) mixedOrders(lease time.Duration) []hostOrder {
	i.mu.Lock()
	defer i.mu.Unlock()
	last := make(map[glade.Host]hostOrder)
	var mixed []hostOrder
	for _, o := range i.orders {
		before, ok := last[o.host]
		if ok && (o.fence < before.fence || (o.from != before.from && o.at.Sub(before.at) < lease)) {
			mixed = append(mixed, o)
		}
		last[o.host] = o
	}
	return mixed
}

// ordersFrom returns the number of orders of a leader.
func (i *inventory) ordersFrom(node glade.Node) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := 0
	for _, o := range i.orders {
		if o.from == node {
			n++
		}
	}
	return n
}

func (i *inventory) Maintain(context.Context, glade.Host, int64, glade.Permit) (glade.HostRefusal, error) {
	return glade.HostAccepted, nil
}

func (i *inventory) Report(_ context.Context, wave int64, done bool) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if done && i.failReports > 0 {
		i.failReports--
		return errNoAnswer
	}
	i.reported = append(i.reported, fmt.Sprintf("%d %t", wave, done))
	return nil
}

// setFailReports makes the next n reports that a wave is done fail.
func (i *inventory) setFailReports(n int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.failReports = n
}

func (i *inventory) movesRequested() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.moveCalls
}

func (i *inventory) reports() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append([]string(nil), i.reported...)
}

// leader waits until a host leads the service and returns that host.
func (s *cluster) leader() glade.Node {
	s.c.Helper()
	for range 400 {
		for node, manager := range s.managers {
			if _, ok := manager.LocalLeader(service); ok && s.cancels[node] != nil {
				return node
			}
		}
		s.sleep(50 * time.Millisecond)
	}
	s.c.Fatal("no host leads the service")
	return ""
}

// expectSameLeader checks that a host has led the service without a break since it
// had the given leader.
func (s *cluster) expectSameLeader(node glade.Node, since *lead.ServiceLeader) {
	s.c.Helper()
	leader, ok := s.managers[node].LocalLeader(service)
	s.c.Assert(ok, qt.IsTrue)
	s.c.Assert(leader == since, qt.IsTrue)
}

// reconnect lets every host reach the runners again.
func (s *cluster) reconnect() {
	s.runners.mu.Lock()
	defer s.runners.mu.Unlock()
	s.runners.unreachable = make(map[glade.Node]bool)
}

// crash stops a host without releasing its services.
func (s *cluster) crash(node glade.Node) {
	s.runners.mu.Lock()
	s.runners.unreachable[node] = true
	s.runners.mu.Unlock()
	s.cancels[node]()
	s.cancels[node] = nil
}

// shutdown stops every host, so that no goroutine outlives the test.
func (s *cluster) shutdown() {
	s.table.SetFault(memory.PartitionedHealthy)
	for node, cancel := range s.cancels {
		if cancel != nil {
			s.managers[node].StepDown()
			cancel()
		}
	}
}

func (s *cluster) sleep(d time.Duration) { _ = clock.System{}.Sleep(context.Background(), d) }

func (s *cluster) submit(node glade.Node, id glade.BatchID, steps int) lead.SubmitReply {
	work := glade.Batch{Spec: "s"}
	for i := range steps {
		step := glade.Step{Count: 2, Need: glade.Need{CPU: 1000, Memory: 10}, Estimate: 800}
		if i > 0 {
			step.After = []int{i - 1}
		}
		work.Steps = append(work.Steps, step)
	}
	return s.managers[node].Router().Submit(context.Background(), lead.SubmitArgs{Service: service, ID: id, Queue: queue, Batch: work}, submitTimeout)
}

func (s *cluster) expectState(node glade.Node, id glade.BatchID, want glade.BatchState) {
	s.c.Helper()
	reply, err := s.managers[node].Router().State(context.Background(), lead.BatchArgs{Service: service, ID: id}, submitTimeout)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(reply.Known, qt.IsTrue)
	s.c.Assert(reply.State, qt.Equals, want)
}

// runCluster runs a test with two hosts on a simulated clock, and checks that no
// task was run twice.
func runCluster(t *testing.T, name string, test func(c *qt.C, s *cluster)) {
	t.Run(name, func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newCluster(c, "h1", "h2")
			defer s.shutdown()
			test(c, s)
			c.Assert(s.runners.duplicates, qt.Equals, 0)
		})
	})
}

func TestLeader(t *testing.T) {
	runCluster(t, "runs a batch to its end", func(_ *qt.C, s *cluster) {
		node := s.leader()
		s.c.Assert(s.submit(node, "a", 2).Code, qt.Equals, lead.SubmitAccepted)
		s.sleep(3 * time.Second)
		s.expectState(node, "a", glade.BatchDone)
	})
	runCluster(t, "stays the leader under load", func(c *qt.C, s *cluster) {
		node := s.leader()
		for i := range 100 {
			s.submit(node, glade.BatchID(fmt.Sprint(i)), 1)
			s.sleep(40 * time.Millisecond)
		}
		s.sleep(2 * time.Second)
		c.Assert(s.leader(), qt.Equals, node)
	})
	runCluster(t, "is replaced after a crash of its host, and no task runs twice", func(c *qt.C, s *cluster) {
		node := s.leader()
		for i := range 6 {
			s.submit(node, glade.BatchID(fmt.Sprint(i)), 3)
		}
		s.sleep(1200 * time.Millisecond)
		s.crash(node)
		next := s.leader()
		c.Assert(next, qt.Not(qt.Equals), node)
		s.sleep(8 * time.Second)
		for i := range 6 {
			s.expectState(next, glade.BatchID(fmt.Sprint(i)), glade.BatchDone)
		}
	})
	runCluster(t, "hands over within a second at a planned stop", func(c *qt.C, s *cluster) {
		node := s.leader()
		s.submit(node, "a", 3)
		s.managers[node].StepDown()
		s.cancels[node]()
		s.cancels[node] = nil
		s.sleep(time.Second)
		next := s.leader()
		c.Assert(next, qt.Not(qt.Equals), node)
		s.sleep(3 * time.Second)
		s.expectState(next, "a", glade.BatchDone)
	})
}

// Leases end when heartbeats wait for other calls.
func TestHeartbeats(t *testing.T) {
	t.Run("are sent while runners answer no start", func(t *testing.T) {
		bubble.Test(t, func(t *testing.T) {
			s := newCluster(qt.New(t))
			defer s.shutdown()
			s.runners = newFakeRunners(300)
			s.start("h1")
			s.c.Assert(s.leader(), qt.Equals, glade.Node("h1"))
			s.sleep(time.Second)
			s.runners.hangStarts.Store(true)
			for i := range 800 {
				s.submit("h1", glade.BatchID(fmt.Sprint(i)), 1)
			}
			for range 10 {
				s.sleep(500 * time.Millisecond)
				s.runners.mu.Lock()
				for id, r := range s.runners.byID {
					s.c.Check(time.Since(r.heldAt) < 2500*time.Millisecond, qt.IsTrue, qt.Commentf("runner %s has had no heartbeat for %s", id, time.Since(r.heldAt)))
				}
				s.runners.mu.Unlock()
			}
		})
	})
}

// TestRefusedRepetition guards against a batch that runs although its caller was told that it
// never will: its write took effect without an answer, and the repetition was refused.
func TestRefusedRepetition(t *testing.T) {
	expectTrue := func(name string, refused int64, want lead.SubmitCode) {
		runCluster(t, name, func(c *qt.C, s *cluster) {
			node := s.leader()
			s.sleep(time.Second)
			writes := &batchWrites{}
			writes.refused.Store(refused)
			s.links[node].batchWrites.Store(writes)
			c.Assert(s.submit(node, "a", 1).Code, qt.Equals, want)
			s.links[node].batchWrites.Store(nil)
			s.managers[node].StepDown()
			s.cancels[node]()
			s.cancels[node] = nil
			s.sleep(4 * time.Second)
			s.expectState(s.leader(), "a", glade.BatchDone)
		})
	}
	expectTrue("for a short time", 3, lead.SubmitAccepted)
	expectTrue("until the caller gives up", 1000, lead.SubmitUnknown)
}

func TestStoreFaults(t *testing.T) {
	runCluster(t, "down: submissions are refused at once and running tasks go on", func(c *qt.C, s *cluster) {
		node := s.leader()
		s.submit(node, "a", 1)
		s.table.SetFault(memory.PartitionedDown)
		s.sleep(time.Second)
		began := time.Now()
		reply := s.submit(node, "b", 1)
		c.Assert(reply.Code, qt.Equals, lead.SubmitRefused)
		c.Assert(reply.After > 0, qt.IsTrue)
		c.Assert(time.Since(began) < 300*time.Millisecond, qt.IsTrue)
		s.sleep(3 * time.Second)
		s.table.SetFault(memory.PartitionedHealthy)
		s.sleep(3 * time.Second)
		s.expectState(s.leader(), "a", glade.BatchDone)
	})
	// The first write may still take effect, so that the batch may run.
	runCluster(t, "without answers: a repeated submission is not refused", func(c *qt.C, s *cluster) {
		node := s.leader()
		s.submit(node, "a", 1)
		s.table.SetFault(memory.PartitionedUnresponsive)
		c.Assert(s.submit(node, "b", 1).Code, qt.Equals, lead.SubmitUnknown)
		s.sleep(time.Second)
		c.Assert(s.submit(node, "c", 1).Code, qt.Equals, lead.SubmitRefused)
		c.Assert(s.submit(node, "b", 1).Code, qt.Equals, lead.SubmitUnknown)
		s.table.SetFault(memory.PartitionedHealthy)
		s.table.ApplyDelayed()
		s.sleep(3 * time.Second)
		s.expectState(s.leader(), "b", glade.BatchDone)
	})
	runCluster(t, "an invalid row of runners in use does not keep the service without a leader", func(c *qt.C, s *cluster) {
		node := s.leader()
		s.submit(node, "a", 2)
		row := glade.PartitionRow{Table: "crew", Part: string(service), Key: "it", Value: []byte("{")}
		_, _, result := s.table.Commit(context.Background(), glade.PartitionTxn{Puts: []glade.PartitionRow{row}})
		c.Assert(result, qt.Equals, glade.Committed)
		s.crash(node)
		next := s.leader()
		s.sleep(8 * time.Second)
		s.expectState(next, "a", glade.BatchDone)
	})
	runCluster(t, "without answers: the leader stays", func(_ *qt.C, s *cluster) {
		node := s.leader()
		leader, _ := s.managers[node].LocalLeader(service)
		s.submit(node, "a", 4)
		s.sleep(300 * time.Millisecond) // until a poll of the feed is in flight
		s.table.SetFault(memory.PartitionedUnresponsive)
		s.sleep(4 * time.Second)
		s.table.SetFault(memory.PartitionedHealthy)
		s.table.ApplyDelayed()
		s.sleep(3 * time.Second)
		s.expectSameLeader(node, leader)
		s.sleep(3 * time.Second)
		s.expectState(node, "a", glade.BatchDone)
	})
	runCluster(t, "slow: the leader stays", func(_ *qt.C, s *cluster) {
		node := s.leader()
		leader, _ := s.managers[node].LocalLeader(service)
		s.table.SetDelay(1500 * time.Millisecond)
		s.submit(node, "a", 2)
		s.sleep(8 * time.Second)
		s.table.SetDelay(0)
		s.sleep(time.Second)
		s.expectSameLeader(node, leader)
		s.sleep(2 * time.Second)
		s.expectState(node, "a", glade.BatchDone)
	})
	runCluster(t, "with a lost answer: the accepted batch is completed", func(c *qt.C, s *cluster) {
		node := s.leader()
		s.table.SetFault(memory.PartitionedLoseAnswers)
		d := &delayedRepair{cluster: s, delay: 700 * time.Millisecond}
		go d.run()
		c.Assert(s.submit(node, "a", 1).Code, qt.Equals, lead.SubmitAccepted)
		s.sleep(2 * time.Second)
		s.expectState(s.leader(), "a", glade.BatchDone)
	})
	runCluster(t, "with late writes: a fenced write does not take effect", func(c *qt.C, s *cluster) {
		node := s.leader()
		s.table.SetFault(memory.PartitionedDelayWrites)
		d := &delayedRepair{cluster: s, delay: 700 * time.Millisecond}
		go d.run()
		c.Assert(s.submit(node, "a", 1).Code, qt.Equals, lead.SubmitAccepted)
		c.Assert(s.table.ApplyDelayed(), qt.Equals, 0)
		s.sleep(2 * time.Second)
		s.expectState(s.leader(), "a", glade.BatchDone)
	})
}

// delayedRepair ends the fault of the table service after a delay.
type delayedRepair struct {
	cluster *cluster
	delay   time.Duration
}

func (d *delayedRepair) run() {
	d.cluster.sleep(d.delay)
	d.cluster.table.SetFault(memory.PartitionedHealthy)
}

// runWaves requests waves from every host and waits until they should be done.
func (s *cluster) runWaves(waves []glade.WaveOrder) {
	for _, manager := range s.managers {
		manager.SetWaves(waves)
	}
	s.sleep(15 * time.Second)
}

func TestWave(t *testing.T) {
	wave := []glade.WaveOrder{{Wave: 7, Hosts: []glade.Host{"m1", "m2"}, MaxDown: 1, Within: 20 * time.Second}}
	runCluster(t, "is reported as running and as done once each", func(c *qt.C, s *cluster) {
		s.runWaves(wave)
		c.Assert(s.inventory.reports(), qt.DeepEquals, []string{"7 false", "7 true"})
	})
	runCluster(t, "is reported as done by the next leader if the first one could not", func(c *qt.C, s *cluster) {
		s.inventory.setFailReports(1 << 20)
		s.runWaves(wave)
		c.Assert(s.inventory.reports(), qt.DeepEquals, []string{"7 false"})
		s.crash("h1")
		s.crash("h2")
		s.inventory.setFailReports(0)
		s.reconnect()
		s.start("h1")
		s.managers["h1"].SetWaves(wave)
		s.sleep(15 * time.Second)
		reports := s.inventory.reports()
		c.Assert(reports[len(reports)-1], qt.Equals, "7 true")
	})
}

func TestMoves(t *testing.T) {
	runCluster(t, "continue during a store outage, and stop when another host may lead", func(c *qt.C, s *cluster) {
		// One host leads everything, because the hosts have no network here.
		s.crash("h2")
		s.sleep(8 * time.Second)
		for i := range 20 {
			c.Assert(s.submit("h1", glade.BatchID(fmt.Sprint(i)), 2).Code, qt.Equals, lead.SubmitAccepted)
		}
		s.sleep(2 * time.Second)
		c.Assert(s.inventory.movesRequested() > 0, qt.IsTrue)
		s.table.SetFault(memory.PartitionedUnresponsive)
		s.sleep(time.Second)
		before := s.inventory.movesRequested()
		s.sleep(3 * time.Second)
		c.Assert(s.inventory.movesRequested() > before, qt.IsTrue)
		s.sleep(7 * time.Second)
		before = s.inventory.movesRequested()
		s.sleep(3 * time.Second)
		c.Assert(s.inventory.movesRequested(), qt.Equals, before)
		s.table.SetFault(memory.PartitionedHealthy)
	})
}

func TestWeakHost(t *testing.T) {
	expectLeader := func(name string, capacity int, want glade.Node) {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				s := newCluster(qt.New(t))
				defer s.shutdown()
				s.capacity = map[glade.Node]int{"h1": capacity, "h2": 800}
				s.start("h1")
				s.sleep(4 * time.Second)
				s.c.Assert(s.leader(), qt.Equals, glade.Node("h1"))
				s.start("h2")
				s.sleep(time.Second)
				s.crash("h1")
				s.reconnect()
				s.start("h1")
				s.sleep(5 * time.Second)
				s.c.Assert(s.leader(), qt.Equals, want)
			})
		})
	}
	expectLeader("of low capacity leaves its service to a stronger host after a restart", 200, "h2")
	expectLeader("of high capacity takes its service back at once after a restart", 800, "h1")
}
