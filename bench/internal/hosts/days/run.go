package days

import (
	"math/rand/v2"
	"time"

	"indigoglade/daily"
	"indigoglade/sizer"
)

// moveTime is how long a host that joins a pool takes to drain, reboot and be verified.
const moveTime = 2 * time.Minute

// Rates, durations and days of the injected failures.
const (
	// hostFailuresPerDay is the failure rate of one host: 190 failures a day in a fleet of 26,000
	// hosts.
	hostFailuresPerDay = 190.0 / 26000
	hostDowntime       = time.Hour
	rackDowntime       = time.Hour
	zoneDowntime       = 20 * time.Minute
	rackFailureDay     = 4
	zoneFailureDay     = 5
)

// Result adds up what a policy cost over the counted days.
type Result struct {
	// IdleHosts is the mean number of idle hosts in the pools.
	IdleHosts float64
	// Moves counts hosts that changed pools.
	Moves int
	// DeadlineMisses counts the ticks in which the queue of a pool waited past the deadline.
	DeadlineMisses int
	// Samples has one sample for each sizing decision.
	Samples []Sample
}

// Sample is the state of the first pool at one sizing decision.
type Sample struct {
	Elapsed time.Duration
	Demand  float64
	Hosts   int
	Moves   int
}

type host struct {
	rack, zone int
	pool       int
	upAt       time.Duration
	// failedAt is when the current failure began.
	failedAt time.Duration
}

// spare is the pool index of the hosts that serve no workload.
const spare = -1

// simulation runs one deployment under one policy.
type simulation struct {
	deployment    Deployment
	hosts         []host
	workloads     []*workload
	burstSchedule *burstSchedule
	sizers        []*poolSizer
	backlog       []float64
	demand        []float64
	failures      []failure
	result        Result
	ticks         int
}

// failure takes the affected hosts down at a given time.
type failure struct {
	at      time.Duration
	down    time.Duration
	affects func(i int, h host) bool
}

// Run simulates a deployment under a policy. A seed gives every policy the same demand and the same
// failures.
func Run(d Deployment, policy Policy, seed uint64) Result {
	r := newSimulation(d, policy, seed)
	if policy == Fixed {
		r.presetPeaks(seed)
	}
	r.simulate()
	return r.result
}

// presetPeaks gives the fixed policy the highest demand of the run, taken from a rehearsal with the
// same seed.
func (r *simulation) presetPeaks(seed uint64) {
	rehearsal := newSimulation(r.deployment, Reactive, seed)
	rehearsal.simulate()
	for i, c := range r.sizers {
		c.peak = rehearsal.sizers[i].peak
	}
}

func (r *simulation) simulate() {
	for elapsed := time.Duration(0); elapsed < totalDays*dayLength; elapsed += tick {
		r.step(elapsed)
	}
	r.result.IdleHosts /= float64(r.ticks)
}

func newSimulation(d Deployment, policy Policy, seed uint64) *simulation {
	r := &simulation{deployment: d}
	for i := range hostCount {
		rack := i / hostsPerRack
		r.hosts = append(r.hosts, host{rack: rack, zone: rack % zoneCount, pool: spare})
	}
	pool := d.pool()
	size := sizer.New(sizer.Config{Pool: pool, Deadline: d.deadline, Weights: d.weights})
	peak := float64(promisedHosts-1) * slotsPerHost * size.TargetLoad() / (1 + baselineMargin)
	for i, busyPeriods := range d.busyPeriods {
		c := curve{base: baseShare, busyPeriods: busyPeriods, peak: peak}
		r.workloads = append(r.workloads, &workload{curve: c, random: rand.New(rand.NewPCG(seed, uint64(i)))})
		r.sizers = append(r.sizers, &poolSizer{policy: policy, sizer: size, pool: pool, size: promisedHosts})
		r.assign(i, promisedHosts)
	}
	r.backlog = make([]float64, len(d.busyPeriods))
	r.demand = make([]float64, len(d.busyPeriods))
	r.burstSchedule = &burstSchedule{random: rand.New(rand.NewPCG(seed, burstStream))}
	r.drawFailures(rand.New(rand.NewPCG(seed, failureStream)))
	return r
}

// Random streams in addition to those of the workloads, which are numbered from 0.
const (
	failureStream = 1<<32 + iota
	burstStream
)

// assign gives a pool its first hosts, spread over the racks.
func (r *simulation) assign(pool, count int) {
	for i := range r.hosts {
		if count > 0 && r.hosts[i].pool == spare && i%(len(r.deployment.busyPeriods)+1) == pool {
			r.hosts[i].pool = pool
			count--
		}
	}
}

// drawFailures draws the failures of the run: single hosts at random, one rack and one zone.
func (r *simulation) drawFailures(random *rand.Rand) {
	for i := range r.hosts {
		for day := range totalDays {
			if random.Float64() < hostFailuresPerDay {
				r.addFailure(day, random, hostDowntime, func(j int, _ host) bool { return j == i })
			}
		}
	}
	rack, zone := random.IntN(hostCount/hostsPerRack), random.IntN(zoneCount)
	r.addFailure(rackFailureDay, random, rackDowntime, func(_ int, h host) bool { return h.rack == rack })
	r.addFailure(zoneFailureDay, random, zoneDowntime, func(_ int, h host) bool { return h.zone == zone })
}

func (r *simulation) addFailure(day int, random *rand.Rand, down time.Duration, affects func(int, host) bool) {
	at := time.Duration(day)*dayLength + time.Duration(random.Int64N(int64(dayLength)))
	r.failures = append(r.failures, failure{at: at.Truncate(tick), down: down, affects: affects})
}

func (r *simulation) step(elapsed time.Duration) {
	for _, f := range r.failures {
		if f.at == elapsed {
			r.applyFailure(elapsed, f)
		}
	}
	bursting := r.burstSchedule.next(len(r.workloads) + 1)
	isCounted := elapsed >= warmUpDays*dayLength
	for i, q := range r.workloads {
		demand := q.next(elapsed, bursting == i)
		r.demand[i] += demand
		r.serveTick(elapsed, i, demand, isCounted)
	}
	if isCounted {
		r.ticks++
	}
	switch {
	case (elapsed+tick)%daily.SamplePeriod == 0:
		r.adjust(elapsed, isCounted)
	case (elapsed+tick)%repairPeriod == 0:
		for i, c := range r.sizers {
			r.resize(elapsed, i, c.size)
		}
	}
}

// repairPeriod is the interval at which failed hosts are replaced.
const repairPeriod = 6 * time.Second

func (r *simulation) applyFailure(elapsed time.Duration, f failure) {
	for i := range r.hosts {
		if f.affects(i, r.hosts[i]) {
			r.hosts[i].upAt = max(r.hosts[i].upAt, elapsed+f.down)
			r.hosts[i].failedAt = elapsed
		}
	}
}

// serveTick serves the demand of a pool for one tick. Demand and backlog are in slots times ticks.
func (r *simulation) serveTick(elapsed time.Duration, pool int, demand float64, isCounted bool) {
	held, up := r.countHosts(elapsed, pool)
	capacity := float64(up * slotsPerHost)
	r.backlog[pool] = max(r.backlog[pool]+demand-capacity, 0)
	wait := time.Duration(r.backlog[pool] / max(capacity, 1) * float64(tick))
	if wait > r.deployment.deadline {
		// Requests that cannot be answered in time are refused and leave the backlog.
		r.backlog[pool] = capacity * float64(r.deployment.deadline) / float64(tick)
	}
	if !isCounted {
		return
	}
	if wait > r.deployment.deadline {
		r.result.DeadlineMisses++
	}
	r.result.IdleHosts += float64(held) - r.workloads[pool].curve.demandAt(wallHour(elapsed))/slotsPerHost
}

func (r *simulation) countHosts(elapsed time.Duration, pool int) (held, up int) {
	for _, h := range r.hosts {
		if h.pool != pool {
			continue
		}
		held++
		if h.upAt <= elapsed {
			up++
		}
	}
	return held, up
}

// adjust lets every pool choose its size, and moves hosts to and from the spare pool.
func (r *simulation) adjust(elapsed time.Duration, isCounted bool) {
	before := r.result.Moves
	for i, c := range r.sizers {
		mean := r.demand[i] / float64(daily.SamplePeriod/tick)
		r.demand[i] = 0
		size := c.adjust(startTime.Add(elapsed), mean)
		r.resize(elapsed, i, size)
	}
	if !isCounted {
		r.result.Moves = 0
		return
	}
	held, _ := r.countHosts(elapsed, 0)
	mean := r.workloads[0].curve.demandAt(wallHour(elapsed)) / slotsPerHost
	r.result.Samples = append(r.result.Samples, Sample{Elapsed: elapsed, Demand: mean, Hosts: held, Moves: r.result.Moves - before})
}

// startTime is midnight UTC, at the start of a bin of package daily.
var startTime = time.Unix(1_700_006_400, 0).UTC().Truncate(daily.BinLength)

// resize moves hosts until the pool holds size hosts that are up or about to be. All policies
// replace failed hosts in the same way.
func (r *simulation) resize(elapsed time.Duration, pool, size int) {
	held, failed := r.countFailed(elapsed, pool)
	have := held - failed
	for have < size && r.moveHost(elapsed, spare, pool) {
		have++
		if failed > 0 {
			r.releaseFailed(elapsed, pool)
			failed--
		}
	}
	for have > size && r.moveHost(elapsed, pool, spare) {
		have--
	}
}

// countFailed returns the number of members of a pool and how many of them need a replacement. A
// failed host counts unless it is back sooner than a replacement would be ready. A single failure
// counts only after replaceDelay, because a pool size leaves room for one failed host.
func (r *simulation) countFailed(elapsed time.Duration, pool int) (held, failed int) {
	oldest := elapsed
	for _, h := range r.hosts {
		if h.pool != pool {
			continue
		}
		held++
		if h.upAt > elapsed+moveTime {
			failed++
			oldest = min(oldest, h.failedAt)
		}
	}
	if failed == 1 && elapsed-oldest < r.deployment.replaceDelay {
		return held, 0
	}
	return held, failed
}

// releaseFailed removes one replaced failed host from its pool. That does not count as a move,
// because the host serves nothing.
func (r *simulation) releaseFailed(elapsed time.Duration, pool int) {
	for i := range r.hosts {
		if r.hosts[i].pool == pool && r.hosts[i].upAt > elapsed+moveTime {
			r.hosts[i].pool = spare
			return
		}
	}
}

// moveHost moves one host that is up, preferring the rack with the fewest members of the target
// pool, and reports whether there was such a host. The spare pool keeps its floor.
func (r *simulation) moveHost(elapsed time.Duration, from, to int) bool {
	_, up := r.countHosts(elapsed, from)
	if from == spare && up <= spareFloor {
		return false
	}
	perRack := make(map[int]int)
	for _, h := range r.hosts {
		if h.pool == to {
			perRack[h.rack]++
		}
	}
	best := -1
	for i, h := range r.hosts {
		if h.pool == from && h.upAt <= elapsed && (best < 0 || perRack[h.rack] < perRack[r.hosts[best].rack]) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	r.hosts[best].pool = to
	if to != spare {
		r.hosts[best].upAt = elapsed + moveTime
	}
	r.result.Moves++
	return true
}
