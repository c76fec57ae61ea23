package times

import (
	"math"
	"time"
)

// Buckets of a distribution. Bucket i holds the ratios from minRatio times 2 to the power
// of i/perDoubling up to the lower bound of the next one, the first also all below.
const (
	perDoubling = 4
	minRatio    = 1.0 / 16
	maxRatio    = 64.0 // a higher ratio counts as this one
	buckets     = 10*perDoubling + 1
)

// decay is the share of their weight that earlier observations lose with each new one.
// What 3 in 100 runs do then rests on some 15 of them.
const decay = 1.0 / 512

// bounds holds the lower bound of each bucket, and the upper bound of the last.
var bounds = func() (b [buckets + 1]float64) {
	for i := range b {
		b[i] = minRatio * math.Exp2(float64(i)/perDoubling)
	}
	b[0] = 0
	return b
}()

// Distribution is a histogram of the ratio of actual to declared run time in which old
// observations count less. Within a bucket the ratios count as evenly spread.
type Distribution struct {
	weights  [buckets]float64
	observed int64
	// above holds the weight of each bucket and those after it.
	above [buckets + 1]float64
	mean  float64
}

// Observe adds a ratio. Values that are not positive numbers are left out.
func (d *Distribution) Observe(ratio float64) {
	if !(ratio > 0) { // also false for NaN
		return
	}
	d.age()
	d.weights[bucketOf(min(ratio, maxRatio))]++
	d.sum()
}

// ObserveLonger adds a run that was stopped at a ratio, because another run of its task had
// ended. Without it, stragglers that get a second run would never be seen. Its weight goes to
// the higher ratios as the distribution has them, or to twice the ratio if it has none.
func (d *Distribution) ObserveLonger(ratio float64) {
	if !(ratio > 0) {
		return
	}
	left := d.exceeding(ratio)
	if left < leastWeight {
		d.Observe(2 * ratio)
		return
	}
	above := d.above
	i := bucketOf(ratio)
	d.age()
	d.weights[i] += (left - above[i+1]) / left
	for j := i + 1; j < buckets; j++ {
		d.weights[j] += (above[j] - above[j+1]) / left
	}
	d.sum()
}

// age lowers the weight of all observations, before a new one.
func (d *Distribution) age() {
	for i := range d.weights {
		d.weights[i] *= 1 - decay
	}
	d.observed++
}

func bucketOf(ratio float64) int {
	i := int(math.Floor(math.Log2(ratio/minRatio) * perDoubling))
	i = min(max(i, 0), buckets-1)
	switch { // Log2 and Exp2 may differ in the last digit
	case i > 0 && ratio < bounds[i]:
		i--
	case i < buckets-1 && ratio >= bounds[i+1]:
		i++
	}
	return i
}

// sum computes above and mean.
func (d *Distribution) sum() {
	d.above[buckets] = 0
	total := 0.0
	for i := buckets - 1; i >= 0; i-- {
		d.above[i] = d.above[i+1] + d.weights[i]
		total += d.weights[i] * (bounds[i] + bounds[i+1]) / 2
	}
	d.mean = total / d.above[0]
}

// Weight returns the weight of all observations; a new one counts 1.
func (d *Distribution) Weight() float64 { return d.above[0] }

// Mean returns the mean ratio, 1 without observations.
func (d *Distribution) Mean() float64 {
	if d.above[0] == 0 {
		return 1
	}
	return d.mean
}

// Quantile returns the ratio that a share p of the runs does not exceed, 1 without
// observations.
func (d *Distribution) Quantile(p float64) float64 {
	if d.above[0] == 0 {
		return 1
	}
	left := min(max(p, 0), 1) * d.above[0]
	last := 0.0
	for i, w := range d.weights {
		if w == 0 {
			continue
		}
		if left <= w {
			return bounds[i] + (bounds[i+1]-bounds[i])*left/w
		}
		left -= w
		last = bounds[i+1]
	}
	return last
}

// exceeding returns the weight of the ratios above x.
func (d *Distribution) exceeding(x float64) float64 {
	if x >= bounds[buckets] {
		return 0
	}
	if x <= 0 {
		return d.above[0]
	}
	i := bucketOf(x)
	return d.above[i+1] + d.weights[i]*(bounds[i+1]-x)/(bounds[i+1]-bounds[i])
}

// leastWeight is the weight of the observations that exceed a run's age below which the
// run is older than what is known. Such a run is expected to last as long again as it has
// lasted, with the distribution that follows from this (a power law).
const leastWeight = 1e-3

// Remaining returns the expected time until a run ends that was declared to take a time
// and has already run for age.
func (d *Distribution) Remaining(declared, age time.Duration) time.Duration {
	x := ratio(age, declared)
	left := d.exceeding(x)
	if left < leastWeight {
		return age
	}
	i := 0
	if x > 0 {
		i = bucketOf(x)
	}
	from := max(x, bounds[i])
	sum := d.weights[i] * (bounds[i+1] - from) / (bounds[i+1] - bounds[i]) * ((from+bounds[i+1])/2 - x)
	for j := i + 1; j < buckets; j++ {
		sum += d.weights[j] * ((bounds[j]+bounds[j+1])/2 - x)
	}
	return time.Duration(sum / left * float64(declared))
}

// EndsWithin returns the probability that a run ends within a time from now, which was
// declared to take a time and has already run for age.
func (d *Distribution) EndsWithin(declared, age, within time.Duration) float64 {
	return d.Given(declared, age).EndsWithin(within)
}

// Given is the distribution for a run of which the age is known.
type Given struct {
	distribution  *Distribution
	declared, age time.Duration
	// left is the weight of the runs that have lasted for longer.
	left float64
}

// Given returns the distribution for a run that was declared to take a time and has already
// run for age. It holds until the next observation.
func (d *Distribution) Given(declared, age time.Duration) Given {
	return Given{distribution: d, declared: declared, age: age, left: d.exceeding(ratio(age, declared))}
}

// IsKnown reports whether runs have lasted for longer than the age. What is said of others
// is a guess.
func (g Given) IsKnown() bool { return g.left >= leastWeight }

// EndsWithin returns the probability that the run ends within a time from now.
func (g Given) EndsWithin(within time.Duration) float64 {
	if within <= 0 || g.declared <= 0 {
		return 0
	}
	if !g.IsKnown() {
		if g.age <= 0 {
			return 0
		}
		still := float64(g.age) / float64(g.age+within)
		return 1 - still*still
	}
	return 1 - g.distribution.exceeding(ratio(g.age+within, g.declared))/g.left
}

// Second returns what a second run that starts now is expected to save of the time until a
// run ends that was declared to take a time and has already run for age, and for how long both
// run until the first of them ends. The second run counts as declared to take again, which
// differs if its place does.
func (d *Distribution) Second(declared, age, again time.Duration) (saved, spent time.Duration) {
	if d.above[0] == 0 {
		return 0, 0
	}
	first := d.Given(declared, age)
	sum, last := 0.0, 1.0 // last is the probability that both still run
	for i := range buckets {
		end := time.Duration(bounds[i+1] * float64(again))
		both := (1 - first.EndsWithin(end)) * d.above[i+1] / d.above[0]
		sum += (last + both) / 2 * (bounds[i+1] - bounds[i])
		last = both
	}
	spent = time.Duration(sum * float64(again))
	return max(d.Remaining(declared, age)-spent, 0), spent
}

func ratio(took, declared time.Duration) float64 {
	return max(float64(took)/float64(max(declared, 1)), 0)
}
