package moves

import (
	"slices"
	"time"
)

// burstDetector records when the work that arrives for a service rises and how
// high, so that periodic bursts can be forecast. The backlog is left out: it shows
// what capacity was missing, not what is demanded.
type turns struct {
	peak  float64 // the highest level so far, in millicores
	high  bool
	lows  time.Time // when the last burst ended
	rises []rise
}

// burst is the start of a time of high demand, and its highest level in millicores.
type rise struct {
	at  time.Time
	top float64
}

// Thresholds and times of burst detection and forecasts.
const (
	riseShare = 0.45 // of the highest level, above which a burst starts
	fallShare = 0.25 // of the highest level, below which a burst ends
	// minBurstShare of the highest level is the least that a burst reaches; lower ones
	// are noise.
	topShare  = 0.5
	lowTime   = time.Second // a shorter gap does not separate two bursts
	maxRises  = 8
	knownTurn = 0.9 // of the last burst's level is provided ahead of the next one
	// moveSlack is added to the time of a move, so that hosts arrive in time.
	// forecastOverrun is how long a forecast is kept when the burst does not come.
	leadSlack = 600 * time.Millisecond
	lateTurn  = 1200 * time.Millisecond
	// periodTolerance is the share by which a gap may differ from the median and still
	// match the period.
	alike = 0.2
	// minMatchingGaps must match: two starts may be a single burst with a dip.
	leastGaps = 2
)

// observe adds the level of work that arrives, in millicores.
func (t *turns) see(level float64, now time.Time) {
	t.peak = max(t.peak, level)
	switch {
	case t.high:
		last := &t.rises[len(t.rises)-1]
		last.top = max(last.top, level)
		if level < fallShare*t.peak {
			t.high, t.lows = false, now
		}
	case level > riseShare*t.peak && level > 0 && now.Sub(t.lows) > lowTime:
		t.high = true
		t.rises = append(t.rises, rise{at: now, top: level})
		if len(t.rises) > maxRises {
			t.rises = slices.Delete(t.rises, 0, 1)
		}
	}
}

// significant returns the bursts that are high enough not to be noise.
func (t *turns) real() []rise {
	var list []rise
	for _, r := range t.rises {
		if r.top >= topShare*t.peak {
			list = append(list, r)
		}
	}
	return list
}

// burstPeriod returns the time between the starts of two bursts, over all services:
// where services have their bursts in turn, it is the same for all. It returns 0 if
// no period is found.
func (p *Plan) period() time.Duration {
	var gaps []time.Duration
	for _, n := range p.needs {
		list := n.turns.real()
		for i := 1; i < len(list); i++ {
			gaps = append(gaps, list[i].at.Sub(list[i-1].at))
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	middle := gaps[len(gaps)/2]
	near := 0
	for _, gap := range gaps {
		if diff := gap - middle; float64(diff.Abs()) <= alike*float64(middle) {
			near++
		}
	}
	if near < leastGaps || near*2 <= len(gaps) {
		return 0
	}
	return middle
}

// forecast returns the demand of a burst that is about to start, in millicores, and
// 0 if none is expected.
func (p *Plan) forecast(n *need, now time.Time) float64 {
	list := n.turns.real()
	period := p.period()
	if len(list) == 0 || period == 0 {
		return 0
	}
	last := list[len(list)-1]
	until := last.at.Add(period).Sub(now)
	if until > p.config.MoveTime+leadSlack || until < -lateTurn {
		return 0
	}
	return last.top * knownTurn
}
