package burn

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Buckets is a list of buckets, oldest first, with a compact JSON encoding.
type Buckets []Bucket

// MarshalJSON encodes each bucket as an array of numbers: the minutes since the
// previous bucket (since the Unix epoch for the first bucket), then the
// answered, late, refused, failed and unknown requests. Trailing zeros are
// omitted. One day of one customer takes a few hundred bytes in this encoding,
// but thousands as JSON objects. Example: [[29578320,340],[1,322,4]].
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

// maxBucketNumbers is the length of the array for a bucket without trailing zeros.
const maxBucketNumbers = 6

// UnmarshalJSON decodes the encoding of MarshalJSON. It fails if a bucket has
// more numbers than this version defines.
func (b *Buckets) UnmarshalJSON(text []byte) error {
	var rows [][]uint64
	if err := json.Unmarshal(text, &rows); err != nil {
		return errors.Wrap(err, "decode buckets")
	}
	*b = make(Buckets, 0, len(rows))
	minute := uint64(0)
	for _, row := range rows {
		if len(row) > maxBucketNumbers {
			return errors.Errorf("a bucket has %d numbers, more than %d", len(row), maxBucketNumbers)
		}
		var n [maxBucketNumbers]uint64
		copy(n[:], row)
		minute += n[0]
		*b = append(*b, Bucket{
			From:   int64(minute) * time.Minute.Milliseconds(),
			Counts: Counts{Answered: n[1], Late: n[2], Refused: n[3], Failed: n[4], Unknown: n[5]},
		})
	}
	return nil
}
