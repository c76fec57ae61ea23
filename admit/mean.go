package admit

import "time"

// meanWeight is the weight of the newest value in a mean.
const meanWeight = 0.05

// longDeviations is the number of mean deviations above the mean within which
// nearly every service time lies.
const longDeviations = 3

// mean is a moving mean of service times and of their deviation.
type mean struct {
	value     time.Duration
	deviation time.Duration
}

func (m *mean) add(d time.Duration) {
	if m.value == 0 {
		m.value = d
		return
	}
	off := d - m.value
	m.value += time.Duration(meanWeight * float64(off))
	m.deviation += time.Duration(meanWeight * float64(max(off, -off)-m.deviation))
}

// long returns a time that most service times stay within. A request that is
// given a slot later than that before its deadline wastes the slot: with the
// mean alone, a full queue serves every request at the last moment, and half
// of them end too late.
func (m *mean) long() time.Duration { return m.value + longDeviations*m.deviation }
