package days

import (
	"math/rand/v2"
	"time"

	"indigoglade/shape"
	"indigoglade/sizer"
)

// moveTime is how long a host takes to drain, reboot and be verified when it
// joins a pool.
const moveTime = 2 * time.Minute

// Failures of a run.
const (
	// hostRate is the failures of one host in a day: 190 of 26,000.
	hostRate = 190.0 / 26000
	hostDown = time.Hour
	rackDown = time.Hour
	zoneDown = 20 * time.Minute
	rackDay  = 4
	zoneDay  = 5
)

// Result is what a policy cost.
type Result struct {
	// Buffer is the mean number of hosts that the pools held idle.
	Buffer float64
	// Moves counts hosts that changed pools.
	Moves int
	// Broken counts the ticks in which a pool's queue waited past the deadline.
	Broken int
	// Trace is one sample for each look, over the counted days.
	Trace []Sample
}

// Sample is the state of the first pool at one look.
type Sample struct {
	Since  time.Duration
	Demand float64
	Hosts  int
	Moves  int
}

// host is one worker of the run.
type host struct {
	rack, zone int
	pool       int
	upAt       time.Duration
	// failedAt is when the failure that holds the host down began.
	failedAt time.Duration
}

// spare is the index of the pool of hosts that no queue needs.
const spare = -1

// run is one policy at work.
type run struct {
	deployment Deployment
	hosts      []host
	queues     []*queue
	turns      *turns
	choosers   []*chooser
	waiting    []float64
	asked      []float64
	failures   []failure
	result     Result
	ticks      int
}

// failure takes hosts down at a time.
type failure struct {
	at   time.Duration
	down time.Duration
	hit  func(i int, h host) bool
}

// Run runs a deployment under a policy. The same seed brings the same demand
// and the same failures to every policy.
func Run(d Deployment, policy Policy, seed uint64) Result {
	r := newRun(d, policy, seed)
	if policy == Fixed {
		r.foresee(seed)
	}
	r.play()
	return r.result
}

// foresee gives a fixed policy the highest demand that the run will see.
func (r *run) foresee(seed uint64) {
	before := newRun(r.deployment, Follow, seed)
	before.play()
	for i, c := range r.choosers {
		c.peak = before.choosers[i].peak
	}
}

func (r *run) play() {
	for since := time.Duration(0); since < totalDays*dayLength; since += tick {
		r.step(since)
	}
	r.result.Buffer /= float64(r.ticks)
}

func newRun(d Deployment, policy Policy, seed uint64) *run {
	r := &run{deployment: d}
	for i := range hostCount {
		rack := i / rackHosts
		r.hosts = append(r.hosts, host{rack: rack, zone: rack % zoneCount, pool: spare})
	}
	pool := d.pool()
	size := sizer.New(sizer.Config{Pool: pool, Deadline: d.deadline, Weights: d.weights})
	top := float64(promised-1) * slots * size.TargetLoad() / (1 + margin)
	for i, humps := range d.humps {
		c := curve{base: baseShare, humps: humps, top: top}
		r.queues = append(r.queues, &queue{curve: c, random: rand.New(rand.NewPCG(seed, uint64(i)))})
		r.choosers = append(r.choosers, &chooser{policy: policy, sizer: size, pool: pool, size: promised})
		r.assign(i, promised)
	}
	r.waiting = make([]float64, len(d.humps))
	r.asked = make([]float64, len(d.humps))
	r.turns = &turns{random: rand.New(rand.NewPCG(seed, turnStream))}
	r.plan(rand.New(rand.NewPCG(seed, failureStream)))
	return r
}

// Streams of random numbers beside those of the queues.
const (
	failureStream = 1<<32 + iota
	turnStream
)

// assign gives a pool its first hosts, spread over the racks.
func (r *run) assign(pool, count int) {
	for i := range r.hosts {
		if count > 0 && r.hosts[i].pool == spare && i%(len(r.deployment.humps)+1) == pool {
			r.hosts[i].pool = pool
			count--
		}
	}
}

// plan draws the failures of the run.
func (r *run) plan(random *rand.Rand) {
	for i := range r.hosts {
		for day := range totalDays {
			if random.Float64() < hostRate {
				r.fail(day, random, hostDown, func(j int, _ host) bool { return j == i })
			}
		}
	}
	rack, zone := random.IntN(hostCount/rackHosts), random.IntN(zoneCount)
	r.fail(rackDay, random, rackDown, func(_ int, h host) bool { return h.rack == rack })
	r.fail(zoneDay, random, zoneDown, func(_ int, h host) bool { return h.zone == zone })
}

func (r *run) fail(day int, random *rand.Rand, down time.Duration, hit func(int, host) bool) {
	at := time.Duration(day)*dayLength + time.Duration(random.Int64N(int64(dayLength)))
	r.failures = append(r.failures, failure{at: at.Truncate(tick), down: down, hit: hit})
}

func (r *run) step(since time.Duration) {
	for _, f := range r.failures {
		if f.at == since {
			r.strike(since, f)
		}
	}
	turn := r.turns.next(len(r.queues) + 1)
	isCounted := since >= warmUpDays*dayLength
	for i, q := range r.queues {
		asked := q.next(since, turn == i)
		r.asked[i] += asked
		r.serve(since, i, asked, isCounted)
	}
	if isCounted {
		r.ticks++
	}
	switch {
	case (since+tick)%shape.SamplePeriod == 0:
		r.look(since, isCounted)
	case (since+tick)%repairPeriod == 0:
		for i, c := range r.choosers {
			r.resize(since, i, c.size)
		}
	}
}

// repairPeriod is the time between two looks at failures.
const repairPeriod = 6 * time.Second

func (r *run) strike(since time.Duration, f failure) {
	for i := range r.hosts {
		if f.hit(i, r.hosts[i]) {
			r.hosts[i].upAt = max(r.hosts[i].upAt, since+f.down)
			r.hosts[i].failedAt = since
		}
	}
}

// serve works on a queue for one tick. All of it is in slots and slot ticks.
func (r *run) serve(since time.Duration, pool int, asked float64, isCounted bool) {
	held, up := r.count(since, pool)
	capacity := float64(up * slots)
	r.waiting[pool] = max(r.waiting[pool]+asked-capacity, 0)
	wait := time.Duration(r.waiting[pool] / max(capacity, 1) * float64(tick))
	if wait > r.deployment.deadline {
		// Work that can't be answered in time is refused, not kept.
		r.waiting[pool] = capacity * float64(r.deployment.deadline) / float64(tick)
	}
	if !isCounted {
		return
	}
	if wait > r.deployment.deadline {
		r.result.Broken++
	}
	r.result.Buffer += float64(held) - r.queues[pool].curve.at(wall(since))/slots
}

func (r *run) count(since time.Duration, pool int) (held, up int) {
	for _, h := range r.hosts {
		if h.pool != pool {
			continue
		}
		held++
		if h.upAt <= since {
			up++
		}
	}
	return held, up
}

// look lets every pool decide and moves hosts to and from the spare pool.
func (r *run) look(since time.Duration, isCounted bool) {
	before := r.result.Moves
	for i, c := range r.choosers {
		mean := r.asked[i] / float64(shape.SamplePeriod/tick)
		r.asked[i] = 0
		size := c.look(epoch.Add(since), mean)
		r.resize(since, i, size)
	}
	if !isCounted {
		r.result.Moves = 0
		return
	}
	held, _ := r.count(since, 0)
	mean := r.queues[0].curve.at(wall(since)) / slots
	r.result.Trace = append(r.result.Trace, Sample{Since: since, Demand: mean, Hosts: held, Moves: r.result.Moves - before})
}

// epoch is when a run begins: midnight, at the start of a bin.
var epoch = time.Unix(1_700_006_400, 0).UTC().Truncate(shape.BinLength)

// resize moves hosts until the pool holds size hosts that are up or on their
// way. Every policy replaces failed hosts in the same way.
func (r *run) resize(since time.Duration, pool, size int) {
	held, lost := r.lost(since, pool)
	have := held - lost
	for have < size && r.move(since, spare, pool) {
		have++
		if lost > 0 {
			r.letGo(since, pool)
			lost--
		}
	}
	for have > size && r.move(since, pool, spare) {
		have--
	}
}

// lost returns the members of a pool, and how many of them failed and are to be
// replaced: more than the one that a size has to spare, or one for long.
func (r *run) lost(since time.Duration, pool int) (held, lost int) {
	oldest := since
	for _, h := range r.hosts {
		if h.pool != pool {
			continue
		}
		held++
		if h.upAt > since+moveTime {
			lost++
			oldest = min(oldest, h.failedAt)
		}
	}
	if lost == 1 && since-oldest < r.deployment.refill {
		return held, 0
	}
	return held, lost
}

// letGo takes a failed host whose place was taken out of its pool. That is no
// move: it serves nobody.
func (r *run) letGo(since time.Duration, pool int) {
	for i := range r.hosts {
		if r.hosts[i].pool == pool && r.hosts[i].upAt > since+moveTime {
			r.hosts[i].pool = spare
			return
		}
	}
}

// move moves one host that is up, and tells whether there was one. The spare
// pool keeps its floor.
func (r *run) move(since time.Duration, from, to int) bool {
	_, up := r.count(since, from)
	if from == spare && up <= spareFloor {
		return false
	}
	near := make(map[int]int)
	for _, h := range r.hosts {
		if h.pool == to {
			near[h.rack]++
		}
	}
	best := -1
	for i, h := range r.hosts {
		if h.pool == from && h.upAt <= since && (best < 0 || near[h.rack] < near[r.hosts[best].rack]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	r.hosts[best].pool = to
	if to != spare {
		r.hosts[best].upAt = since + moveTime
	}
	r.result.Moves++
	return true
}
