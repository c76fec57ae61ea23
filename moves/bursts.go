package moves

import (
	"slices"
	"time"
)

// burstDetector records when the work that arrives for a service rises and how
// high, so that periodic bursts can be forecast. The backlog is left out: it shows
// what capacity was missing, not what is demanded.
type burstDetector struct {
	maxLevel float64 // the highest level so far, in millicores
	inBurst  bool
	lastEnd  time.Time // when the last burst ended
	bursts   []burst
}

// burst is the start of a time of high demand, and its highest level in millicores.
type burst struct {
	start time.Time
	peak  float64
}

// Thresholds and times of burst detection and forecasts.
const (
	burstStartShare = 0.45 // of the highest level, above which a burst starts
	burstEndShare   = 0.25 // of the highest level, below which a burst ends
	// minBurstShare of the highest level is the least that a burst reaches; lower ones
	// are noise.
	minBurstShare = 0.5
	minBurstGap   = time.Second // a shorter gap does not separate two bursts
	maxBursts     = 8
	forecastShare = 0.9 // of the last burst's peak, provided ahead of the next one
	// moveSlack is added to the time of a move, so that hosts arrive in time.
	// forecastOverrun is how long a forecast is kept when the burst does not come.
	moveSlack       = 600 * time.Millisecond
	forecastOverrun = 1200 * time.Millisecond
	// periodTolerance is the share by which a gap may differ from the median and still
	// match the period.
	periodTolerance = 0.2
	// minMatchingGaps must match: two starts may be a single burst with a dip.
	minMatchingGaps = 2
)

// observe adds the level of work that arrives, in millicores.
func (d *burstDetector) observe(level float64, now time.Time) {
	d.maxLevel = max(d.maxLevel, level)
	switch {
	case d.inBurst:
		last := &d.bursts[len(d.bursts)-1]
		last.peak = max(last.peak, level)
		if level < burstEndShare*d.maxLevel {
			d.inBurst, d.lastEnd = false, now
		}
	case level > burstStartShare*d.maxLevel && level > 0 && now.Sub(d.lastEnd) > minBurstGap:
		d.inBurst = true
		d.bursts = append(d.bursts, burst{start: now, peak: level})
		if len(d.bursts) > maxBursts {
			d.bursts = slices.Delete(d.bursts, 0, 1)
		}
	}
}

// significant returns the bursts that are high enough not to be noise.
func (d *burstDetector) significant() []burst {
	var list []burst
	for _, b := range d.bursts {
		if b.peak >= minBurstShare*d.maxLevel {
			list = append(list, b)
		}
	}
	return list
}

// burstPeriod returns the time between the starts of two bursts, over all services:
// where services have their bursts in turn, it is the same for all. It returns 0 if
// no period is found.
func (p *Planner) burstPeriod() time.Duration {
	var gaps []time.Duration
	for _, t := range p.demands {
		list := t.bursts.significant()
		for i := 1; i < len(list); i++ {
			gaps = append(gaps, list[i].start.Sub(list[i-1].start))
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	median := gaps[len(gaps)/2]
	matching := 0
	for _, gap := range gaps {
		if diff := gap - median; float64(diff.Abs()) <= periodTolerance*float64(median) {
			matching++
		}
	}
	if matching < minMatchingGaps || matching*2 <= len(gaps) {
		return 0
	}
	return median
}

// forecast returns the demand of a burst that is about to start, in millicores, and
// 0 if none is expected.
func (p *Planner) forecast(t *demandTracker, now time.Time) float64 {
	list := t.bursts.significant()
	period := p.burstPeriod()
	if len(list) == 0 || period == 0 {
		return 0
	}
	last := list[len(list)-1]
	untilNext := last.start.Add(period).Sub(now)
	if untilNext > p.config.MoveDowntime+moveSlack || untilNext < -forecastOverrun {
		return 0
	}
	return last.peak * forecastShare
}
