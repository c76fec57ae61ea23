package moves

import (
	"slices"
	"time"
)

// turns learns when the work that arrives for a service rises and how high,
// where it does so again and again. Work that waits is left out: it shows what
// was missing, not what is asked.
type turns struct {
	peak  float64 // the highest demand so far
	high  bool
	lows  time.Time // since when the demand has been low
	rises []rise
}

// rise is the begin of a time of high demand, and the highest of it.
type rise struct {
	at  time.Time
	top float64
}

// Bounds of a turn.
const (
	riseShare = 0.45 // of the peak, above which a turn has begun
	fallShare = 0.25 // of the peak, below which it has ended
	// topShare of the peak is the least that a turn reaches; less is noise.
	topShare  = 0.5
	lowTime   = time.Second // a shorter gap does not part two turns
	maxRises  = 8
	knownTurn = 0.9 // of the last turn's top is asked for ahead of the next
	// leadSlack is added to the time of a move, so that hosts are there in time,
	// and lateTurn is how long a forecast is kept when the turn does not come.
	leadSlack = 600 * time.Millisecond
	lateTurn  = 1200 * time.Millisecond
	// alike is the share by which two periods may differ to count as one.
	alike = 0.2
	// leastGaps must be alike: two rises may be one turn with a dip.
	leastGaps = 2
)

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

// real returns the rises that were no noise.
func (t *turns) real() []rise {
	var list []rise
	for _, r := range t.rises {
		if r.top >= topShare*t.peak {
			list = append(list, r)
		}
	}
	return list
}

// period returns the time between turns, over all services: where they take
// turns it is the same for all. Zero means that none is known.
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

// forecast returns the demand of a turn that is about to begin, and 0 when none
// is expected.
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
