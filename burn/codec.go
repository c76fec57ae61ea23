package burn

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Buckets is a run of buckets, oldest first.
type Buckets []Bucket

// MarshalJSON writes each bucket as an array of numbers: the minutes since the
// bucket before it, or since 1970 for the first, then the answered, late,
// refused, failed and unknown requests, without zeros at the end. A day of one
// customer takes some hundred bytes that way, where objects with names would
// take thousands. Example: [[29578320,340],[1,322,4]].
func (b Buckets) MarshalJSON() ([]byte, error) {
	rows := make([][]uint64, len(b))
	last := uint64(0)
	for i, bucket := range b {
		minute := uint64(bucket.From / time.Minute.Milliseconds())
		c := bucket.Counts
		row := []uint64{minute - last, c.Answered, c.Late, c.Refused, c.Failed, c.Unknown}
		for row[len(row)-1] == 0 {
			row = row[:len(row)-1]
		}
		rows[i] = row
		last = minute
	}
	return json.Marshal(rows)
}

// bucketNumbers is the greatest number of numbers that a bucket is written as.
const bucketNumbers = 6

// UnmarshalJSON reads what MarshalJSON writes.
func (b *Buckets) UnmarshalJSON(text []byte) error {
	var rows [][]uint64
	if err := json.Unmarshal(text, &rows); err != nil {
		return errors.Wrap(err, "decode buckets")
	}
	*b = make(Buckets, 0, len(rows))
	minute := uint64(0)
	for _, row := range rows {
		if len(row) > bucketNumbers {
			return errors.Errorf("a bucket has %d numbers, more than %d", len(row), bucketNumbers)
		}
		var n [bucketNumbers]uint64
		copy(n[:], row)
		minute += n[0]
		*b = append(*b, Bucket{
			From:   int64(minute) * time.Minute.Milliseconds(),
			Counts: Counts{Answered: n[1], Late: n[2], Refused: n[3], Failed: n[4], Unknown: n[5]},
		})
	}
	return nil
}
