package burn

import (
	"time"

	glade "indigoglade"
)

// Bucket holds the counts of one interval.
type Bucket struct {
	// From is the start of the interval in Unix milliseconds, a whole minute.
	From   int64
	Counts Counts
}

// Widths and numbers of the buckets: one hour of one-minute buckets and one day
// of ten-minute buckets. Older counts are dropped.
const (
	fineWidth   = time.Minute
	fineCount   = 60
	coarseWidth = 10 * time.Minute
	coarseCount = 144
)

// MaxWindow is the longest window for which counts are available.
const MaxWindow = coarseCount * coarseWidth

// customerSeries holds the counts of one customer over time in two resolutions.
// total covers the whole incarnation.
type customerSeries struct {
	total  Counts
	fine   bucketSeries
	coarse bucketSeries
}

func newCustomerSeries() *customerSeries {
	return &customerSeries{fine: bucketSeries{bucketWidth: fineWidth, maxBuckets: fineCount}, coarse: bucketSeries{bucketWidth: coarseWidth, maxBuckets: coarseCount}}
}

func (s *customerSeries) add(now time.Time, c Counts) {
	s.total = s.total.Add(c)
	s.fine.add(now, c)
	s.coarse.add(now, c)
}

// bucketSeries is a list of buckets of equal width, oldest first. Intervals
// without requests have no bucket.
type bucketSeries struct {
	bucketWidth time.Duration
	maxBuckets  int
	buckets     []Bucket
}

func (s *bucketSeries) add(now time.Time, c Counts) {
	from := now.Truncate(s.bucketWidth).UnixMilli()
	last := len(s.buckets) - 1
	// If the clock was set back, count into the newest bucket too, so that the
	// buckets stay ordered by time.
	if last >= 0 && s.buckets[last].From >= from {
		s.buckets[last].Counts = s.buckets[last].Counts.Add(c)
		return
	}
	s.buckets = append(s.buckets, Bucket{From: from, Counts: c})
	s.trim(now)
}

func (s *bucketSeries) trim(now time.Time) {
	oldest := now.Add(-time.Duration(s.maxBuckets) * s.bucketWidth).UnixMilli()
	for len(s.buckets) > 0 && s.buckets[0].From < oldest {
		s.buckets = s.buckets[1:]
	}
}

// sumBuckets returns the sum of the buckets that start within window before now.
func sumBuckets(buckets []Bucket, now time.Time, window time.Duration) Counts {
	var total Counts
	oldest := now.Add(-window).UnixMilli()
	for _, b := range buckets {
		if b.From > oldest && b.From <= now.UnixMilli() {
			total = total.Add(b.Counts)
		}
	}
	return total
}

// CustomerCounts holds the counts of one customer in one incarnation.
type CustomerCounts struct {
	Customer glade.Customer `json:"customer"`
	Total    Counts         `json:"total"`
	Fine     Buckets        `json:"fine"`
	Coarse   Buckets        `json:"coarse"`
}

// CountsIn returns the counts in the window before now. Windows of up to one hour are
// summed from one-minute buckets, longer windows from ten-minute buckets.
func (c CustomerCounts) CountsIn(now time.Time, window time.Duration) Counts {
	if window <= fineCount*fineWidth {
		return sumBuckets(c.Fine, now, window)
	}
	return sumBuckets(c.Coarse, now, window)
}
