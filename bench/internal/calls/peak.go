package calls

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	glade "indigoglade"
	"indigoglade/admit"
	"indigoglade/route"
)

// Load of the simulated peak. For some seconds the queue of a service asks for five times its mean,
// which is twice the capacity of its pool.
const (
	runnerCount    = 10
	slotsPerRunner = 8
	connsPerRunner = 64
	peakWork       = 400 * time.Millisecond
	peakDeadline   = 2 * time.Second
	peakTime       = 8 * time.Second
	quietTime      = 4 * time.Second
	peakLoad       = 2.0
	maxQueueDepth  = 200
	quietLoadShare = 0.01
	// failureTime is how quickly the one broken endpoint fails its requests.
	failureTime = 2 * time.Millisecond
)

// spreadStrategy is a way of distributing requests over the endpoints.
type spreadStrategy int

const (
	admissionOnly spreadStrategy = iota
	// admissionWithRelay is admissionOnly with relaying to entry hosts that have a free slot.
	admissionWithRelay
	randomChoice
	leastOutstanding
)

type simulationConfig struct {
	seed     uint64
	strategy spreadStrategy
	entries  int
	// load is the load during the peak, relative to the capacity of the pool's slots.
	load float64
}

// simulation runs one service through a load peak in virtual time.
type simulation struct {
	simulationConfig
	random      *rand.Rand
	now         time.Time
	start       time.Time
	events      eventQueue
	runners     []*runner
	controllers []*admit.Controller
	outstanding [][]int
	usefulTime  time.Duration
	waits       []time.Duration
}

// runner is an endpoint with slots and a backlog of requests that wait on its connections.
type runner struct {
	zone    int
	broken  bool
	busy    int
	backlog []*request
}

type request struct {
	entry int
	// sender is the index of the entry host that sends the request.
	sender    int
	arrived   time.Time
	deadline  time.Time
	work      time.Duration
	startedAt time.Time
	grant     route.Grant
	runner    int
}

type event struct {
	at  time.Time
	act func()
}

type eventQueue []event

func (l eventQueue) Len() int           { return len(l) }
func (l eventQueue) Less(i, j int) bool { return l[i].at.Before(l[j].at) }
func (l eventQueue) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }

// Push implements heap.Interface.
func (l *eventQueue) Push(x any) { *l = append(*l, x.(event)) }

// Pop implements heap.Interface.
func (l *eventQueue) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

func (t *simulation) after(d time.Duration, act func()) {
	heap.Push(&t.events, event{at: t.now.Add(d), act: act})
}

// simulatePeak runs a simulation until no event is left.
func simulatePeak(c simulationConfig) *simulation {
	t := &simulation{simulationConfig: c, random: rand.New(rand.NewPCG(c.seed, 1)), start: time.Unix(1000, 0)}
	t.now = t.start
	var list []glade.HostListing
	for i := range runnerCount {
		t.runners = append(t.runners, &runner{zone: i % zones, broken: i == 0})
		list = append(list, glade.HostListing{
			Host: glade.Host(fmt.Sprint("h", i)), Zone: zoneOf(i), Incarnation: 1, Service: service, Address: fmt.Sprint(i),
		})
	}
	for i := range c.entries {
		t.controllers = append(t.controllers, t.newController(i, list))
		t.outstanding = append(t.outstanding, make([]int, runnerCount))
	}
	t.after(0, t.arrive)
	for len(t.events) > 0 {
		next := heap.Pop(&t.events).(event)
		t.now = next.at
		next.act()
	}
	return t
}

// utilization returns the share of the slot time of healthy endpoints during the peak that was
// spent on answers within their deadline.
func (t *simulation) utilization() float64 {
	slots := (runnerCount - 1) * slotsPerRunner
	return float64(t.usefulTime) / float64(peakTime) / float64(slots)
}

// waitQuantile returns a quantile of the time that requests waited for a slot.
func (t *simulation) waitQuantile(q float64) time.Duration {
	slices.Sort(t.waits)
	return t.waits[int(q*float64(len(t.waits)-1))]
}

func (t *simulation) newController(own int, list []glade.HostListing) *admit.Controller {
	var nodes []glade.Node
	for i := range t.entries {
		if i%zones == own%zones {
			nodes = append(nodes, glade.Node(fmt.Sprint("e", i)))
		}
	}
	share := func(row glade.HostListing, kept int) int {
		if row.Zone != zoneOf(own) {
			return 0
		}
		return route.Share(row.Host, slotsPerRunner-kept, glade.Node(fmt.Sprint("e", own)), nodes)
	}
	controller := admit.New(route.New(route.Config{Share: share, Random: rand.New(rand.NewPCG(t.seed, uint64(own)))}))
	controller.Update(t.now, list)
	return controller
}

// overlapWithPeak returns how much of a time span lies within the peak.
func (t *simulation) overlapWithPeak(from, to time.Time) time.Duration {
	begin, end := t.start.Add(quietTime), t.start.Add(quietTime+peakTime)
	if from.Before(begin) {
		from = begin
	}
	if to.After(end) {
		to = end
	}
	return max(to.Sub(from), 0)
}

func (t *simulation) arrive() {
	elapsed := t.now.Sub(t.start)
	if elapsed > quietTime+peakTime {
		return
	}
	// Candidates arrive at the peak rate throughout; before the peak only quietLoadShare of them
	// are sent.
	rate := t.load * runnerCount * slotsPerRunner / peakWork.Seconds()
	t.after(time.Duration(t.random.ExpFloat64()/rate*float64(time.Second)), t.arrive)
	if elapsed < quietTime && t.random.Float64() > quietLoadShare {
		return
	}
	v := &request{
		entry: t.random.IntN(len(t.controllers)), arrived: t.now, deadline: t.now.Add(peakDeadline),
		work: time.Duration((0.5 + t.random.Float64()) * float64(peakWork)),
	}
	switch t.strategy {
	case admissionOnly:
		t.ask(v, v.entry, maxQueueDepth)
	case admissionWithRelay:
		t.relay(v)
	default:
		t.assignDirect(v)
	}
}

// ask lets the admission controller of an entry host decide on a request, and reports whether it started.
func (t *simulation) ask(v *request, sender, depth int) bool {
	v.sender = sender
	decision := t.controllers[sender].Admit(t.now, admit.Request{
		Customer: customer, Service: service, Deadline: v.deadline, QueueLimit: depth, Weight: 1,
	}, v)
	grant, ok := decision.Grant()
	if ok {
		t.startRequest(v, grant)
	}
	return ok
}

// relay asks the own admission controller and then up to two random ones for a slot that is free now.
// If there is none, the request queues at its own.
func (t *simulation) relay(v *request) {
	if t.ask(v, v.entry, 0) {
		return
	}
	for range 2 {
		if t.ask(v, t.random.IntN(len(t.controllers)), 0) {
			return
		}
	}
	t.ask(v, v.entry, maxQueueDepth)
}

func (t *simulation) startRequest(v *request, grant route.Grant) {
	v.grant = grant
	t.waits = append(t.waits, t.now.Sub(v.arrived))
	fmt.Sscan(grant.Address(), &v.runner)
	t.connect(v)
}

// assignDirect picks a runner of any zone without admission control. The request is dropped if the runner has
// no free connection.
func (t *simulation) assignDirect(v *request) {
	outstanding := t.outstanding[v.entry]
	v.runner = t.random.IntN(runnerCount)
	if t.strategy == leastOutstanding {
		for i, n := range outstanding {
			if n < outstanding[v.runner] {
				v.runner = i
			}
		}
	}
	r := t.runners[v.runner]
	if r.busy+len(r.backlog) >= connsPerRunner {
		return
	}
	outstanding[v.runner]++
	t.connect(v)
}

func (t *simulation) connect(v *request) {
	r := t.runners[v.runner]
	if r.busy == slotsPerRunner {
		r.backlog = append(r.backlog, v)
		return
	}
	t.work(v)
}

func (t *simulation) work(v *request) {
	r := t.runners[v.runner]
	r.busy++
	v.startedAt = t.now
	took := v.work
	if r.broken {
		took = failureTime
	}
	t.after(took, func() { t.complete(v, took) })
}

func (t *simulation) complete(v *request, took time.Duration) {
	r := t.runners[v.runner]
	r.busy--
	if !r.broken && !t.now.After(v.deadline) {
		t.usefulTime += t.overlapWithPeak(v.startedAt, t.now)
	}
	if len(r.backlog) > 0 {
		next := r.backlog[0]
		r.backlog = r.backlog[1:]
		t.work(next)
	}
	if t.strategy != admissionOnly && t.strategy != admissionWithRelay {
		t.outstanding[v.entry][v.runner]--
		return
	}
	result := route.Success
	if r.broken {
		result = route.Failure
	}
	controller := t.controllers[v.sender]
	for _, decision := range controller.Done(t.now, service, v.grant, result, took) {
		waiting := decision.Waiter().Value().(*request)
		if grant, ok := decision.Grant(); ok {
			t.startRequest(waiting, grant)
		}
		controller.Recycle(decision.Waiter())
	}
}

// runPeak returns a measure of the utilization during the peak.
func runPeak(entries int) func(seed uint64) (float64, error) {
	return func(seed uint64) (float64, error) {
		return simulatePeak(simulationConfig{seed: seed, strategy: admissionWithRelay, entries: entries, load: peakLoad}).utilization(), nil
	}
}

// runPeakGain returns the utilization relative to the better of two baselines: random choice, and
// the fewest outstanding requests by the local counts of each entry host.
func runPeakGain(seed uint64) (float64, error) {
	utilization := func(strategy spreadStrategy) float64 {
		return simulatePeak(simulationConfig{seed: seed, strategy: strategy, entries: 7, load: peakLoad}).utilization()
	}
	return utilization(admissionWithRelay) / max(utilization(randomChoice), utilization(leastOutstanding)), nil
}

// busyLoad is a load that the pool can serve with little to spare.
const busyLoad = 0.75

// runRelayWait returns the 99th percentile of the wait for a slot with relaying, relative to that
// without, at busyLoad.
func runRelayWait(seed uint64) (float64, error) {
	wait := func(strategy spreadStrategy) time.Duration {
		return simulatePeak(simulationConfig{seed: seed, strategy: strategy, entries: 7, load: busyLoad}).waitQuantile(0.99)
	}
	return float64(wait(admissionWithRelay)) / float64(wait(admissionOnly)), nil
}
