package daily

import "time"

// SamplePeriod is the time between two samples of demand.
const SamplePeriod = time.Minute

// sampleWeight is the weight of the newest sample in the moving average of
// demand.
const sampleWeight = 0.1

// Sampler collects samples of the demand of a pool into bins. The zero value has
// no samples.
type Sampler struct {
	sampledAt time.Time
	average   float64
	bin       int64
	sum       float64
	samples   int
}

// ClosedBin is a bin whose time is over. Mean is its mean demand in slots.
type ClosedBin struct {
	Bin  int64
	Mean float64
}

// IsDue returns whether the next sample is due.
func (s *Sampler) IsDue(now time.Time) bool { return now.Sub(s.sampledAt) >= SamplePeriod }

// Average returns the moving average of the samples, in slots.
func (s *Sampler) Average() float64 { return s.average }

// AddSample adds a sample. If the sample begins a new bin and the one before has
// samples, AddSample returns that bin and true.
func (s *Sampler) AddSample(now time.Time, demand float64) (ClosedBin, bool) {
	if s.sampledAt.IsZero() {
		s.average = demand
	}
	s.sampledAt = now
	s.average += sampleWeight * (demand - s.average)
	closed, isClosed := ClosedBin{}, false
	if bin := BinAt(now); bin != s.bin {
		if s.samples > 0 {
			closed, isClosed = ClosedBin{Bin: s.bin, Mean: s.sum / float64(s.samples)}, true
		}
		s.bin, s.sum, s.samples = bin, 0, 0
	}
	s.sum += demand
	s.samples++
	return closed, isClosed
}
