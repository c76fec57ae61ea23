package shape

import "time"

// LookPeriod is the time between two samples of demand.
const LookPeriod = time.Minute

// sampleWeight is the weight of the newest sample in the moving average of
// demand.
const sampleWeight = 0.1

// Tally collects samples of the demand of a pool into bins. The zero value has
// no samples.
type Tally struct {
	sampledAt time.Time
	average   float64
	bin       int64
	sum       float64
	samples   int
}

// Closed is a bin whose time is over. Mean is its mean demand in slots.
type Closed struct {
	Bin  int64
	Mean float64
}

// IsDue returns whether the next sample is due.
func (t *Tally) IsDue(now time.Time) bool { return now.Sub(t.sampledAt) >= LookPeriod }

// Seen returns the moving average of the samples, in slots.
func (t *Tally) Seen() float64 { return t.average }

// Look adds a sample. If the sample begins a new bin and the one before has
// samples, Look returns that bin and true.
func (t *Tally) Look(now time.Time, demand float64) (Closed, bool) {
	if t.sampledAt.IsZero() {
		t.average = demand
	}
	t.sampledAt = now
	t.average += sampleWeight * (demand - t.average)
	closed, isClosed := Closed{}, false
	if bin := BinAt(now); bin != t.bin {
		if t.samples > 0 {
			closed, isClosed = Closed{Bin: t.bin, Mean: t.sum / float64(t.samples)}, true
		}
		t.bin, t.sum, t.samples = bin, 0, 0
	}
	t.sum += demand
	t.samples++
	return closed, isClosed
}
