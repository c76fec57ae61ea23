package load

import (
	"context"
	"math/rand/v2"
	"time"
)

// Factors of a service's mean rate. If five services peak in turn, the mean over a round is kept:
// (5 + 4 * 0.05) / 5 = 1.04.
const (
	peakFactor    = 5.0
	offPeakFactor = 0.05
)

// arrivalPattern is the request rate of one service over time: high in its own turn, low in the
// turns of the others.
type arrivalPattern struct {
	meanRate float64 // requests per second
	turn     time.Duration
	index    int
	count    int
}

// rateFactor returns the factor of the mean rate at a time since the start.
func (s arrivalPattern) rateFactor(at time.Duration) float64 {
	if int(at/s.turn)%s.count == s.index {
		return peakFactor
	}
	return offPeakFactor
}

// nextArrival returns the time of the first request after at. Arrivals are a Poisson process with a
// varying rate: candidates arrive at the peak rate, and each is kept with a probability
// proportional to the rate at its time (thinning).
func (s arrivalPattern) nextArrival(at time.Duration, random *rand.Rand) time.Duration {
	peak := s.meanRate * peakFactor
	for {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if random.Float64()*peakFactor < s.rateFactor(at) {
			return at
		}
	}
}

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// generator starts the requests of one service.
type generator struct {
	target   target
	pattern  arrivalPattern
	random   *rand.Rand
	start    time.Time
	client   *client
	inFlight chan struct{}
	recorder *recorder
	done     chan struct{}
}

func (s *generator) run(ctx context.Context) {
	defer close(s.done)
	at := time.Duration(0)
	for {
		at = s.pattern.nextArrival(at, s.random)
		dueAt := s.start.Add(at)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(dueAt)):
		}
		s.startRequest(dueAt)
	}
}

func (s *generator) startRequest(dueAt time.Time) {
	select {
	case s.inFlight <- struct{}{}:
	default:
		s.recorder.unsent.Add(1)
		return
	}
	c := newCaller(s.client, s.target, dueAt, s.random)
	c.semaphore = s.inFlight
	c.recorder = s.recorder
	go c.run()
}
