package admit

import "time"

// meanWeight is the weight of the newest service time in the moving averages.
const meanWeight = 0.05

// boundDeviations is the number of mean deviations above the mean within which
// nearly every service time lies.
const boundDeviations = 3

// serviceTime holds moving averages of the service times and of their absolute
// deviation.
type serviceTime struct {
	mean      time.Duration
	deviation time.Duration
}

func (s *serviceTime) add(d time.Duration) {
	if s.mean == 0 {
		s.mean = d
		return
	}
	diff := d - s.mean
	s.mean += time.Duration(meanWeight * float64(diff))
	s.deviation += time.Duration(meanWeight * float64(max(diff, -diff)-s.deviation))
}

// upperBound returns a time that most service times stay within. A request that
// gets its slot later than that before its deadline wastes the slot: with the
// mean alone, a full queue would grant every request its slot at the last
// moment, and half of them would end too late.
func (s *serviceTime) upperBound() time.Duration { return s.mean + boundDeviations*s.deviation }
