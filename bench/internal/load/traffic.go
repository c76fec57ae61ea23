package load

import (
	"context"
	"math/rand/v2"
	"time"
)

// Factors of a service's mean rate. With five services that peak by turns they
// give back the mean: (5 + 4 * 0.05) / 5 = 1.04.
const (
	peakFactor = 5.0
	restFactor = 0.05
)

// shape is the traffic of one service: it peaks in its own turn and rests in
// the turns of the others.
type shape struct {
	mean  float64 // requests per second
	turn  time.Duration
	index int
	count int
}

// factor returns the factor of the mean rate at a time since the start.
func (s shape) factor(at time.Duration) float64 {
	if int(at/s.turn)%s.count == s.index {
		return peakFactor
	}
	return restFactor
}

// next returns the time of the first request after at. Arrivals are a Poisson
// process: candidates come at the peak rate, and each one is kept with the
// probability that the rate of its moment asks for.
func (s shape) next(at time.Duration, random *rand.Rand) time.Duration {
	peak := s.mean * peakFactor
	for {
		at += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if random.Float64()*peakFactor < s.factor(at) {
			return at
		}
	}
}

func newRandom(seed, stream uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, stream)) }

// source starts the requests of one service.
type source struct {
	target target
	shape  shape
	random *rand.Rand
	start  time.Time
	client *client
	flight chan struct{}
	saw    *recorder
	done   chan struct{}
}

func (s *source) run(ctx context.Context) {
	defer close(s.done)
	at := time.Duration(0)
	for {
		at = s.shape.next(at, s.random)
		due := s.start.Add(at)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		s.begin(due)
	}
}

func (s *source) begin(due time.Time) {
	select {
	case s.flight <- struct{}{}:
	default:
		s.saw.unsent.Add(1)
		return
	}
	c := newCaller(s.client, s.target, due, s.random)
	c.finished = s.flight
	c.saw = s.saw
	go c.run()
}
