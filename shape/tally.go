package shape

import "time"

// LookPeriod is the time between two looks at demand.
const LookPeriod = time.Minute

// smoothing is the weight of the newest look in the demand that counts as seen.
const smoothing = 0.1

// Tally gathers looks at the demand of a pool into bins. The zero value has
// seen nothing.
type Tally struct {
	at    time.Time
	seen  float64
	bin   int64
	sum   float64
	looks int
}

// Closed is the mean demand of a bin that is over.
type Closed struct {
	Bin  int64
	Mean float64
}

// IsDue tells whether it is time for the next look.
func (t *Tally) IsDue(now time.Time) bool { return now.Sub(t.at) >= LookPeriod }

// Seen returns the demand of the last minutes, in slots.
func (t *Tally) Seen() float64 { return t.seen }

// Look takes in the demand at now. The second result tells whether a bin was
// closed.
func (t *Tally) Look(now time.Time, demand float64) (Closed, bool) {
	if t.at.IsZero() {
		t.seen = demand
	}
	t.at = now
	t.seen += smoothing * (demand - t.seen)
	closed, isClosed := Closed{}, false
	if bin := BinAt(now); bin != t.bin {
		if t.looks > 0 {
			closed, isClosed = Closed{Bin: t.bin, Mean: t.sum / float64(t.looks)}, true
		}
		t.bin, t.sum, t.looks = bin, 0, 0
	}
	t.sum += demand
	t.looks++
	return closed, isClosed
}
