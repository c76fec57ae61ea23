package lead_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	glade "indigoglade"
	"indigoglade/clock"
	"indigoglade/lead"
	"indigoglade/memory"
)

const (
	service glade.Service = "quotes"
	queue   glade.Queue   = "fast"
	within                = 2 * time.Second
)

// fakeRunners simulates runners, by the clock of the test.
type pool struct {
	mu      sync.Mutex
	began   time.Time
	workers map[glade.RunnerID]*worker
	cut     map[glade.Node]bool // leaders that reach no runner
	ran     map[glade.TaskID]int
	twice   int
}

type worker struct {
	fence   int64
	running map[glade.TaskID]*execution
	ended   []glade.EndedRun
	count   int64
}

type execution struct {
	run         int64
	ends, until time.Time
}

func newPool(n int) *pool {
	p := &pool{began: time.Now(), workers: make(map[glade.RunnerID]*worker), cut: make(map[glade.Node]bool), ran: make(map[glade.TaskID]int)}
	for i := range n {
		p.workers[glade.RunnerID(fmt.Sprintf("r%d", i))] = &worker{running: make(map[glade.TaskID]*execution)}
	}
	return p
}

func (p *pool) list() []glade.RunnerInfo {
	var list []glade.RunnerInfo
	for id := range p.workers {
		list = append(list, glade.RunnerInfo{ID: id, Address: "a", Service: service, Room: glade.Need{CPU: 4000, Memory: 4000}})
	}
	return list
}

// runnerClient calls the simulated runners on behalf of one leader.
type reach struct {
	*pool
	node glade.Node
}

var errNoAnswer = fmt.Errorf("no answer")

// endRuns ends the runs of a runner that are complete or whose lease has expired.
func (p *pool) settle(w *worker) {
	now := time.Now()
	for task, e := range w.running {
		how := glade.EndDone
		switch {
		case now.After(e.until):
			how = glade.EndLapsed
		case now.Before(e.ends):
			continue
		}
		delete(w.running, task)
		w.count++
		w.ended = append(w.ended, glade.EndedRun{Number: w.count, Task: task, Run: e.run, How: how})
		if how == glade.EndDone {
			p.ran[task]++
		}
	}
}

func (p *pool) isRunning(task glade.TaskID) bool {
	for _, w := range p.workers {
		p.settle(w)
		if _, ok := w.running[task]; ok {
			return true
		}
	}
	return false
}

const taskTime = 800 * time.Millisecond

// Start starts a run.
func (r reach) Start(ctx context.Context, to glade.RunnerInfo, o glade.RunOrder) (glade.RunAnswer, error) {
	if err := r.pass(ctx); err != nil {
		return glade.RunAnswer{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workers[to.ID]
	if o.Fence < w.fence {
		return glade.RunAnswer{Refused: glade.RefusedFence}, nil
	}
	w.fence = o.Fence
	if r.isRunning(o.Task) || r.ran[o.Task] > 0 {
		r.twice++
	}
	w.running[o.Task] = &execution{run: o.Run, ends: time.Now().Add(taskTime), until: r.began.Add(time.Duration(o.Until) * time.Millisecond)}
	return glade.RunAnswer{}, nil
}

// Stop stops a run.
func (r reach) Stop(ctx context.Context, to glade.RunnerInfo, task glade.TaskID, run, fence int64) (glade.RunAnswer, error) {
	if err := r.pass(ctx); err != nil {
		return glade.RunAnswer{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workers[to.ID]
	if fence < w.fence {
		return glade.RunAnswer{Refused: glade.RefusedFence}, nil
	}
	if e, ok := w.running[task]; ok && e.run == run {
		delete(w.running, task)
		w.count++
		w.ended = append(w.ended, glade.EndedRun{Number: w.count, Task: task, Run: run, How: glade.EndStopped})
	}
	return glade.RunAnswer{}, nil
}

// Pace accepts every share and changes nothing.
func (r reach) Pace(context.Context, glade.RunnerInfo, glade.TaskID, int64, int64, int) (glade.RunAnswer, error) {
	return glade.RunAnswer{}, nil
}

// simulateCall takes the time of a call. A leader that is cut off waits until ctx
// ends and gets no answer.
func (r reach) pass(ctx context.Context) error {
	r.mu.Lock()
	cut := r.cut[r.node]
	r.mu.Unlock()
	if cut {
		<-ctx.Done()
		return errNoAnswer
	}
	return clock.System{}.Sleep(ctx, time.Millisecond)
}

// Hold renews leases and lists runs. It waits up to o.Wait for a run to end.
func (r reach) Hold(ctx context.Context, to glade.RunnerInfo, o glade.HoldOrder) (glade.HoldAnswer, error) {
	if err := r.pass(ctx); err != nil {
		return glade.HoldAnswer{}, err
	}
	deadline := time.Now().Add(o.Wait)
	for {
		answer := r.look(to.ID, o)
		if answer.Refused != "" || len(answer.Ended) > 0 || !time.Now().Before(deadline) {
			return answer, r.pass(ctx)
		}
		if err := (clock.System{}).Sleep(ctx, 10*time.Millisecond); err != nil {
			return glade.HoldAnswer{}, err
		}
	}
}

func (r reach) look(id glade.RunnerID, o glade.HoldOrder) glade.HoldAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.workers[id]
	if o.Fence < w.fence {
		return glade.HoldAnswer{Refused: glade.RefusedFence}
	}
	w.fence = o.Fence
	r.settle(w)
	for len(w.ended) > 0 && w.ended[0].Number <= o.Seen {
		w.ended = w.ended[1:]
	}
	answer := glade.HoldAnswer{Born: 1, Clock: time.Since(r.began).Milliseconds(), Ended: append([]glade.EndedRun(nil), w.ended...)}
	for task, e := range w.running {
		if until := r.began.Add(time.Duration(o.Until) * time.Millisecond); until.After(e.until) {
			e.until = until
		}
		answer.Running = append(answer.Running, glade.ActiveRun{Task: task, Run: e.run, Percent: 50})
	}
	return answer
}

// cluster is some hosts that share one ledger, one inventory and the same runners.
type site struct {
	c      *qt.C
	ledger *memory.Ledger
	pool   *pool
	keeps  map[glade.Node]*lead.Keep
	stops  map[glade.Node]context.CancelFunc
	ids    int
	hosts  *hosts
	// capacity is that of each host, in millicores.
	power map[glade.Node]int
}

func newSite(c *qt.C, nodes ...glade.Node) *site {
	s := &site{
		c: c, ledger: memory.NewLedger(), pool: newPool(3), hosts: &hosts{},
		keeps: make(map[glade.Node]*lead.Keep), stops: make(map[glade.Node]context.CancelFunc),
	}
	for _, node := range nodes {
		s.start(node)
	}
	return s
}

func (s *site) start(node glade.Node) {
	ctx, cancel := context.WithCancel(context.Background())
	board := lead.NewBoard(lead.BoardConfig{Self: node, Row: lead.NodeRow{Address: string(node), Power: s.power[node]}, Ledger: s.ledger, Clock: clock.System{}, Log: logr.Discard()})
	keep := lead.New(lead.Config{
		Self: node, Address: string(node), Ledger: s.ledger, Runners: reach{s.pool, node}, Inventory: s.hosts,
		Clock: clock.System{}, Log: logr.Discard(), Board: board, Bounds: lead.Bounds{HoldMax: 10 * time.Second, Keep: time.Minute},
	})
	keep.SetRules(glade.Rules{Version: 1, Services: []glade.ServiceRule{{Service: service}, {Service: spare, Spare: true}}, Queues: []glade.QueueRule{{
		Queue: queue, Service: service, Attempts: 3, Stretch: 2, Slack: time.Second,
	}}})
	keep.SetRunners(s.pool.list())
	s.keeps[node], s.stops[node] = keep, cancel
	for _, duty := range []func(context.Context) error{board.RunTerms, board.RunNodes, keep.Run} {
		d := &testDuty{ctx: ctx, duty: duty}
		go d.run()
	}
}

type testDuty struct {
	ctx  context.Context
	duty func(context.Context) error
}

func (d *testDuty) run() { _ = d.duty(d.ctx) } // the error at the end of ctx is of no interest

// sparePool is a pool of hosts that are off.
const spare glade.Service = "spare"

// fakeInventory is an inventory with two hosts, both in the spare pool.
type hosts struct {
	mu   sync.Mutex
	told []string
	// moveCalls counts the calls that move a host.
	moves int
	// failReports is how many of the next reports that a wave is done fail.
	deaf int
}

func (h *hosts) Hosts(context.Context) ([]glade.HostInfo, error) {
	var list []glade.HostInfo
	for _, name := range []glade.Host{"m1", "m2"} {
		list = append(list, glade.HostInfo{Host: name, Pool: spare, State: glade.HostUp, Room: glade.Need{CPU: 4000, Memory: 4000}})
	}
	return list, nil
}

func (h *hosts) Move(context.Context, glade.Host, glade.Service, int64) (glade.HostRefusal, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.moves++
	return glade.HostLimited, nil
}

func (h *hosts) Maintain(context.Context, glade.Host, int64, int64) (glade.HostRefusal, error) {
	return glade.HostAccepted, nil
}

func (h *hosts) Report(_ context.Context, wave int64, done bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if done && h.deaf > 0 {
		h.deaf--
		return errNoAnswer
	}
	h.told = append(h.told, fmt.Sprintf("%d %t", wave, done))
	return nil
}

// setFailReports makes the next n reports that a wave is done fail.
func (h *hosts) setDeaf(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deaf = n
}

func (h *hosts) moved() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.moves
}

func (h *hosts) reports() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.told...)
}

// leader waits until a host leads the service and returns that host.
func (s *site) leader() glade.Node {
	s.c.Helper()
	for range 400 {
		for node, keep := range s.keeps {
			if _, ok := keep.Seat(service); ok && s.stops[node] != nil {
				return node
			}
		}
		s.wait(50 * time.Millisecond)
	}
	s.c.Fatal("no host leads the service")
	return ""
}

// expectSameLeader checks that a host has led the service without a break since it
// had the given leader.
func (s *site) expectLeads(node glade.Node, since *lead.Seat) {
	s.c.Helper()
	seat, ok := s.keeps[node].Seat(service)
	s.c.Assert(ok, qt.IsTrue)
	s.c.Assert(seat == since, qt.IsTrue)
}

// reconnect lets every host reach the runners again.
func (s *site) heal() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.cut = make(map[glade.Node]bool)
}

// crash stops a host without releasing its services.
func (s *site) kill(node glade.Node) {
	s.pool.mu.Lock()
	s.pool.cut[node] = true
	s.pool.mu.Unlock()
	s.stops[node]()
	s.stops[node] = nil
}

// shutdown stops every host, so that no goroutine outlives the test.
func (s *site) end() {
	s.ledger.SetFault(memory.LedgerSound)
	for node, stop := range s.stops {
		if stop != nil {
			s.keeps[node].GiveUp()
			stop()
		}
	}
}

func (s *site) wait(d time.Duration) { _ = clock.System{}.Sleep(context.Background(), d) }

func (s *site) submit(node glade.Node, id glade.BatchID, steps int) lead.SubmitReply {
	work := glade.Batch{Spec: "s"}
	for i := range steps {
		step := glade.Step{Count: 2, Need: glade.Need{CPU: 1000, Memory: 10}, Estimate: 800}
		if i > 0 {
			step.After = []int{i - 1}
		}
		work.Steps = append(work.Steps, step)
	}
	return s.keeps[node].Gate().Submit(context.Background(), lead.SubmitArgs{Service: service, ID: id, Queue: queue, Work: work}, within)
}

func (s *site) expectState(node glade.Node, id glade.BatchID, want glade.BatchState) {
	s.c.Helper()
	reply, err := s.keeps[node].Gate().State(context.Background(), lead.BatchArgs{Service: service, ID: id}, within)
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(reply.Known, qt.IsTrue)
	s.c.Assert(reply.State, qt.Equals, want)
}

// runCluster runs a test with two hosts on a simulated clock, and checks that no
// task was run twice.
func play(t *testing.T, name string, test func(c *qt.C, s *site)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := newSite(c, "h1", "h2")
			defer s.end()
			test(c, s)
			c.Assert(s.pool.twice, qt.Equals, 0)
		})
	})
}

func TestLead(t *testing.T) {
	play(t, "runs a batch to its end", func(_ *qt.C, s *site) {
		node := s.leader()
		s.c.Assert(s.submit(node, "a", 2).Code, qt.Equals, lead.SubmitAccepted)
		s.wait(3 * time.Second)
		s.expectState(node, "a", glade.BatchDone)
	})
	play(t, "stays the leader under load", func(c *qt.C, s *site) {
		node := s.leader()
		for i := range 100 {
			s.submit(node, glade.BatchID(fmt.Sprint(i)), 1)
			s.wait(40 * time.Millisecond)
		}
		s.wait(2 * time.Second)
		c.Assert(s.leader(), qt.Equals, node)
	})
	play(t, "is replaced after a crash of its host, and no task runs twice", func(c *qt.C, s *site) {
		node := s.leader()
		for i := range 6 {
			s.submit(node, glade.BatchID(fmt.Sprint(i)), 3)
		}
		s.wait(1200 * time.Millisecond)
		s.kill(node)
		next := s.leader()
		c.Assert(next, qt.Not(qt.Equals), node)
		s.wait(8 * time.Second)
		for i := range 6 {
			s.expectState(next, glade.BatchID(fmt.Sprint(i)), glade.BatchDone)
		}
	})
	play(t, "hands over within a second at a planned stop", func(c *qt.C, s *site) {
		node := s.leader()
		s.submit(node, "a", 3)
		s.keeps[node].GiveUp()
		s.stops[node]()
		s.stops[node] = nil
		s.wait(time.Second)
		next := s.leader()
		c.Assert(next, qt.Not(qt.Equals), node)
		s.wait(3 * time.Second)
		s.expectState(next, "a", glade.BatchDone)
	})
}

func TestStore(t *testing.T) {
	play(t, "down: submissions are refused at once and running tasks go on", func(c *qt.C, s *site) {
		node := s.leader()
		s.submit(node, "a", 1)
		s.ledger.SetFault(memory.LedgerDown)
		s.wait(time.Second)
		began := time.Now()
		reply := s.submit(node, "b", 1)
		c.Assert(reply.Code, qt.Equals, lead.SubmitRefused)
		c.Assert(reply.After > 0, qt.IsTrue)
		c.Assert(time.Since(began) < 300*time.Millisecond, qt.IsTrue)
		s.wait(3 * time.Second)
		s.ledger.SetFault(memory.LedgerSound)
		s.wait(3 * time.Second)
		s.expectState(s.leader(), "a", glade.BatchDone)
	})
	play(t, "without answers: the leader stays", func(_ *qt.C, s *site) {
		node := s.leader()
		seat, _ := s.keeps[node].Seat(service)
		s.submit(node, "a", 4)
		s.wait(300 * time.Millisecond) // until a poll of the feed is in flight
		s.ledger.SetFault(memory.LedgerMute)
		s.wait(4 * time.Second)
		s.ledger.SetFault(memory.LedgerSound)
		s.ledger.Release()
		s.wait(3 * time.Second)
		s.expectLeads(node, seat)
		s.wait(3 * time.Second)
		s.expectState(node, "a", glade.BatchDone)
	})
	play(t, "slow: the leader stays", func(_ *qt.C, s *site) {
		node := s.leader()
		seat, _ := s.keeps[node].Seat(service)
		s.ledger.SetDelay(1500 * time.Millisecond)
		s.submit(node, "a", 2)
		s.wait(8 * time.Second)
		s.ledger.SetDelay(0)
		s.wait(time.Second)
		s.expectLeads(node, seat)
		s.wait(2 * time.Second)
		s.expectState(node, "a", glade.BatchDone)
	})
	play(t, "with a lost answer: the accepted batch is completed", func(c *qt.C, s *site) {
		node := s.leader()
		s.ledger.SetFault(memory.LedgerLost)
		h := &switchOn{site: s, after: 700 * time.Millisecond}
		go h.run()
		c.Assert(s.submit(node, "a", 1).Code, qt.Equals, lead.SubmitAccepted)
		s.wait(2 * time.Second)
		s.expectState(s.leader(), "a", glade.BatchDone)
	})
	play(t, "with late writes: a fenced write does not take effect", func(c *qt.C, s *site) {
		node := s.leader()
		s.ledger.SetFault(memory.LedgerLate)
		h := &switchOn{site: s, after: 700 * time.Millisecond}
		go h.run()
		c.Assert(s.submit(node, "a", 1).Code, qt.Equals, lead.SubmitAccepted)
		c.Assert(s.ledger.Release(), qt.Equals, 0)
		s.wait(2 * time.Second)
		s.expectState(s.leader(), "a", glade.BatchDone)
	})
}

// delayedRepair ends the fault of the ledger after a delay.
type switchOn struct {
	site  *site
	after time.Duration
}

func (h *switchOn) run() {
	h.site.wait(h.after)
	h.site.ledger.SetFault(memory.LedgerSound)
}

// runWaves requests waves from every host and waits until they should be done.
func (s *site) announce(waves []glade.WaveOrder) {
	for _, keep := range s.keeps {
		keep.SetWaves(waves)
	}
	s.wait(15 * time.Second)
}

func TestWave(t *testing.T) {
	wave := []glade.WaveOrder{{Wave: 7, Hosts: []glade.Host{"m1", "m2"}, Most: 1, Within: 20 * time.Second}}
	play(t, "is reported as running and as done once each", func(c *qt.C, s *site) {
		s.announce(wave)
		c.Assert(s.hosts.reports(), qt.DeepEquals, []string{"7 false", "7 true"})
	})
	play(t, "is reported as done by the next leader if the first one could not", func(c *qt.C, s *site) {
		s.hosts.setDeaf(1 << 20)
		s.announce(wave)
		c.Assert(s.hosts.reports(), qt.DeepEquals, []string{"7 false"})
		s.kill("h1")
		s.kill("h2")
		s.hosts.setDeaf(0)
		s.heal()
		s.start("h1")
		s.keeps["h1"].SetWaves(wave)
		s.wait(15 * time.Second)
		told := s.hosts.reports()
		c.Assert(told[len(told)-1], qt.Equals, "7 true")
	})
}

func TestMoves(t *testing.T) {
	play(t, "continue during a store outage, and stop when another host may lead", func(c *qt.C, s *site) {
		// One host leads everything, because the hosts have no network here.
		s.kill("h2")
		s.wait(8 * time.Second)
		for i := range 20 {
			c.Assert(s.submit("h1", glade.BatchID(fmt.Sprint(i)), 2).Code, qt.Equals, lead.SubmitAccepted)
		}
		s.wait(2 * time.Second)
		c.Assert(s.hosts.moved() > 0, qt.IsTrue)
		s.ledger.SetFault(memory.LedgerMute)
		s.wait(time.Second)
		before := s.hosts.moved()
		s.wait(3 * time.Second)
		c.Assert(s.hosts.moved() > before, qt.IsTrue)
		s.wait(7 * time.Second)
		before = s.hosts.moved()
		s.wait(3 * time.Second)
		c.Assert(s.hosts.moved(), qt.Equals, before)
		s.ledger.SetFault(memory.LedgerSound)
	})
}

func TestWeakHost(t *testing.T) {
	expectLead := func(name string, power int, want glade.Node) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(qt.New(t))
				defer s.end()
				s.power = map[glade.Node]int{"h1": power, "h2": 800}
				s.start("h1")
				s.wait(4 * time.Second)
				s.c.Assert(s.leader(), qt.Equals, glade.Node("h1"))
				s.start("h2")
				s.wait(time.Second)
				s.kill("h1")
				s.heal()
				s.start("h1")
				s.wait(5 * time.Second)
				s.c.Assert(s.leader(), qt.Equals, want)
			})
		})
	}
	expectLead("of low capacity leaves its service to a stronger host after a restart", 200, "h2")
	expectLead("of high capacity takes its service back at once after a restart", 800, "h1")
}
