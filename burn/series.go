package burn

import (
	"time"

	glade "indigoglade"
)

// Bucket is the counts of a stretch of time.
type Bucket struct {
	// From is the start in milliseconds since 1970, a whole minute.
	From   int64
	Counts Counts
}

// Widths and numbers of the buckets: an hour by the minute, and a day by ten
// minutes. Windows beyond a day are not kept.
const (
	fineWidth   = time.Minute
	fineCount   = 60
	coarseWidth = 10 * time.Minute
	coarseCount = 144
)

// MaxWindow is the longest window that counts are kept for.
const MaxWindow = coarseCount * coarseWidth

// series is counts over time in two resolutions.
type series struct {
	total  Counts
	fine   ring
	coarse ring
}

func newSeries() *series {
	return &series{fine: ring{width: fineWidth, count: fineCount}, coarse: ring{width: coarseWidth, count: coarseCount}}
}

func (s *series) add(now time.Time, c Counts) {
	s.total = s.total.Add(c)
	s.fine.add(now, c)
	s.coarse.add(now, c)
}

// ring is a run of buckets, oldest first, of which empty ones are left out.
type ring struct {
	width   time.Duration
	count   int
	buckets []Bucket
}

func (r *ring) add(now time.Time, c Counts) {
	from := now.Truncate(r.width).UnixMilli()
	last := len(r.buckets) - 1
	// A clock that steps back must not open an older bucket again.
	if last >= 0 && r.buckets[last].From >= from {
		r.buckets[last].Counts = r.buckets[last].Counts.Add(c)
		return
	}
	r.buckets = append(r.buckets, Bucket{From: from, Counts: c})
	r.trim(now)
}

func (r *ring) trim(now time.Time) {
	oldest := now.Add(-time.Duration(r.count) * r.width).UnixMilli()
	for len(r.buckets) > 0 && r.buckets[0].From < oldest {
		r.buckets = r.buckets[1:]
	}
}

// sum returns the counts of the buckets that begin within window before now.
func sum(buckets []Bucket, now time.Time, window time.Duration) Counts {
	var total Counts
	oldest := now.Add(-window).UnixMilli()
	for _, b := range buckets {
		if b.From > oldest && b.From <= now.UnixMilli() {
			total = total.Add(b.Counts)
		}
	}
	return total
}

// Row is the counts of one customer in one incarnation.
type Row struct {
	Customer glade.Customer `json:"customer"`
	Total    Counts         `json:"total"`
	Fine     Buckets        `json:"fine"`
	Coarse   Buckets        `json:"coarse"`
}

// In returns the counts of a window before now. Windows of at most an hour are
// summed by the minute, longer ones by ten minutes.
func (r Row) In(now time.Time, window time.Duration) Counts {
	if window <= fineCount*fineWidth {
		return sum(r.Fine, now, window)
	}
	return sum(r.Coarse, now, window)
}
