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

// The load of a peak: a service's queue asks for five times its mean for some
// seconds, which is twice what its pool holds.
const (
	peakRunners  = 10
	peakSlots    = 8
	peakLinks    = 64
	peakWork     = 400 * time.Millisecond
	peakDeadline = 2 * time.Second
	peakTime     = 8 * time.Second
	peakLead     = 4 * time.Second
	peakLoad     = 2.0
	peakDepth    = 200
	quietShare   = 0.01
	// failTime is how fast the one failing endpoint fails.
	failTime = 2 * time.Millisecond
)

// chooser is a way of spreading requests.
type chooser int

const (
	byGate chooser = iota
	// byRelay is byGate with relays to entry hosts that have a slot free.
	byRelay
	byRandom
	byLeast
)

// trialConfig configures a trial.
type trialConfig struct {
	seed    uint64
	way     chooser
	entries int
	// load is the load in the peak over what the pool's slots can do.
	load float64
}

// trial runs one service through a peak in virtual time.
type trial struct {
	trialConfig
	random  *rand.Rand
	now     time.Time
	start   time.Time
	events  timeline
	runners []*runner
	gates   []*admit.Controller
	local   [][]int
	useful  time.Duration
	waits   []time.Duration
}

// runner is an endpoint with slots, and connections that wait for them.
type runner struct {
	zone    int
	broken  bool
	busy    int
	waiting []*visit
}

// visit is one request.
type visit struct {
	entry int
	// gate is the entry host that sends the request.
	gate     int
	arrived  time.Time
	deadline time.Time
	work     time.Duration
	began    time.Time
	grant    route.Grant
	runner   int
}

type timed struct {
	at  time.Time
	act func()
}

type timeline []timed

func (l timeline) Len() int           { return len(l) }
func (l timeline) Less(i, j int) bool { return l[i].at.Before(l[j].at) }
func (l timeline) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }

// Push adds an event.
func (l *timeline) Push(x any) { *l = append(*l, x.(timed)) }

// Pop removes the last event.
func (l *timeline) Pop() any {
	last := (*l)[len(*l)-1]
	*l = (*l)[:len(*l)-1]
	return last
}

func (t *trial) after(d time.Duration, act func()) {
	heap.Push(&t.events, timed{at: t.now.Add(d), act: act})
}

// runTrial runs one service through a peak.
func runTrial(c trialConfig) *trial {
	t := &trial{trialConfig: c, random: rand.New(rand.NewPCG(c.seed, 1)), start: time.Unix(1000, 0)}
	t.now = t.start
	var list []glade.Listed
	for i := range peakRunners {
		t.runners = append(t.runners, &runner{zone: i % zones, broken: i == 0})
		list = append(list, glade.Listed{
			Host: glade.Host(fmt.Sprint("h", i)), Zone: zoneOf(i), Incarnation: 1, Service: service, Address: fmt.Sprint(i),
		})
	}
	for i := range c.entries {
		t.gates = append(t.gates, t.gate(i, list))
		t.local = append(t.local, make([]int, peakRunners))
	}
	t.after(0, t.arrive)
	for len(t.events) > 0 {
		next := heap.Pop(&t.events).(timed)
		t.now = next.at
		next.act()
	}
	return t
}

// used returns the share of the healthy slots' time in the peak that went into
// answers within their deadline.
func (t *trial) used() float64 {
	slots := (peakRunners - 1) * peakSlots
	return float64(t.useful) / float64(peakTime) / float64(slots)
}

// wait returns a quantile of the time that requests waited for a slot.
func (t *trial) wait(q float64) time.Duration {
	slices.Sort(t.waits)
	return t.waits[int(q*float64(len(t.waits)-1))]
}

func (t *trial) gate(own int, list []glade.Listed) *admit.Controller {
	var nodes []glade.Node
	for i := range t.entries {
		if i%zones == own%zones {
			nodes = append(nodes, glade.Node(fmt.Sprint("e", i)))
		}
	}
	share := func(row glade.Listed, kept int) int {
		if row.Zone != zoneOf(own) {
			return 0
		}
		return route.Share(row.Host, peakSlots-kept, glade.Node(fmt.Sprint("e", own)), nodes)
	}
	gate := admit.New(route.New(route.Config{Share: share, Random: rand.New(rand.NewPCG(t.seed, uint64(own)))}))
	gate.Update(t.now, list)
	return gate
}

// peakPart returns the part of a span that lies in the peak.
func (t *trial) peakPart(from, to time.Time) time.Duration {
	begin, end := t.start.Add(peakLead), t.start.Add(peakLead+peakTime)
	if from.Before(begin) {
		from = begin
	}
	if to.After(end) {
		to = end
	}
	return max(to.Sub(from), 0)
}

func (t *trial) arrive() {
	elapsed := t.now.Sub(t.start)
	if elapsed > peakLead+peakTime {
		return
	}
	// Requests come at the peak's rate throughout; outside the peak only some
	// of them are sent.
	rate := t.load * peakRunners * peakSlots / peakWork.Seconds()
	t.after(time.Duration(t.random.ExpFloat64()/rate*float64(time.Second)), t.arrive)
	if elapsed < peakLead && t.random.Float64() > quietShare {
		return
	}
	v := &visit{
		entry: t.random.IntN(len(t.gates)), arrived: t.now, deadline: t.now.Add(peakDeadline),
		work: time.Duration((0.5 + t.random.Float64()) * float64(peakWork)),
	}
	switch t.way {
	case byGate:
		t.ask(v, v.entry, peakDepth)
	case byRelay:
		t.relay(v)
	default:
		t.place(v)
	}
}

// ask lets a gate decide, and tells whether the request began.
func (t *trial) ask(v *visit, gate, depth int) bool {
	v.gate = gate
	decision := t.gates[gate].Admit(t.now, admit.Request{
		Customer: customer, Service: service, Deadline: v.deadline, MaxQueued: depth, Weight: 1,
	}, v)
	grant, ok := decision.Grant()
	if ok {
		t.begin(v, grant)
	}
	return ok
}

// relay asks the own gate, then two others, for a slot that is free now.
func (t *trial) relay(v *visit) {
	if t.ask(v, v.entry, 0) {
		return
	}
	for range 2 {
		if t.ask(v, t.random.IntN(len(t.gates)), 0) {
			return
		}
	}
	t.ask(v, v.entry, peakDepth)
}

func (t *trial) begin(v *visit, grant route.Grant) {
	v.grant = grant
	t.waits = append(t.waits, t.now.Sub(v.arrived))
	fmt.Sscan(grant.Address(), &v.runner)
	t.enter(v)
}

// place chooses a runner of any zone without a gate.
func (t *trial) place(v *visit) {
	local := t.local[v.entry]
	v.runner = t.random.IntN(peakRunners)
	if t.way == byLeast {
		for i, n := range local {
			if n < local[v.runner] {
				v.runner = i
			}
		}
	}
	r := t.runners[v.runner]
	if r.busy+len(r.waiting) >= peakLinks {
		return
	}
	local[v.runner]++
	t.enter(v)
}

func (t *trial) enter(v *visit) {
	r := t.runners[v.runner]
	if r.busy == peakSlots {
		r.waiting = append(r.waiting, v)
		return
	}
	t.work(v)
}

func (t *trial) work(v *visit) {
	r := t.runners[v.runner]
	r.busy++
	v.began = t.now
	took := v.work
	if r.broken {
		took = failTime
	}
	t.after(took, func() { t.end(v, took) })
}

func (t *trial) end(v *visit, took time.Duration) {
	r := t.runners[v.runner]
	r.busy--
	if !r.broken && !t.now.After(v.deadline) {
		t.useful += t.peakPart(v.began, t.now)
	}
	if len(r.waiting) > 0 {
		next := r.waiting[0]
		r.waiting = r.waiting[1:]
		t.work(next)
	}
	if t.way != byGate && t.way != byRelay {
		t.local[v.entry][v.runner]--
		return
	}
	result := route.Success
	if r.broken {
		result = route.Failure
	}
	gate := t.gates[v.gate]
	for _, decision := range gate.Done(t.now, service, v.grant, result, took) {
		waiting := decision.Waiter().Value().(*visit)
		if grant, ok := decision.Grant(); ok {
			t.begin(waiting, grant)
		}
		gate.Recycle(decision.Waiter())
	}
}

// runPeak returns the useful share of the pool's slots.
func runPeak(entries int) func(seed uint64) (float64, error) {
	return func(seed uint64) (float64, error) {
		return runTrial(trialConfig{seed: seed, way: byRelay, entries: entries, load: peakLoad}).used(), nil
	}
}

// runPeakGain returns the useful share over that of the better baseline: a
// random choice, and the least outstanding by local counts.
func runPeakGain(seed uint64) (float64, error) {
	used := func(way chooser) float64 {
		return runTrial(trialConfig{seed: seed, way: way, entries: 7, load: peakLoad}).used()
	}
	return used(byRelay) / max(used(byRandom), used(byLeast)), nil
}

// busyLoad is a load that the pool's slots can do, with little to spare.
const busyLoad = 0.75

// runRelay returns the 99th percentile of the wait for a slot with relays over
// that without, at a load that the pool can do.
func runRelay(seed uint64) (float64, error) {
	wait := func(way chooser) time.Duration {
		return runTrial(trialConfig{seed: seed, way: way, entries: 7, load: busyLoad}).wait(0.99)
	}
	return float64(wait(byRelay)) / float64(wait(byGate)), nil
}
