package glade

import "encoding/base64"

// Limits of the partitioned table service. A transaction beyond one of them is rejected.
const (
	// MaxRowBytes bounds the value of a row.
	MaxRowBytes = 64 << 10
	// MaxTxnRows bounds the checks, puts and deletes of a transaction together.
	MaxTxnRows = 100
	// MaxTxnBytes bounds the encoded size of a transaction, in bytes.
	MaxTxnBytes = 1_000_000
)

// rowOverhead is what a row takes in an encoded transaction besides its texts and its value, in bytes.
const rowOverhead = 80

// EncodedSize returns what a row takes in a transaction at most, in bytes: values are sent as base64.
func (r PartitionRow) EncodedSize() int {
	return rowOverhead + len(r.Table) + len(r.Part) + len(r.Key) + base64.StdEncoding.EncodedLen(len(r.Value))
}

// EncodedSize returns what a transaction takes at most, in bytes. Checks carry no value.
func (t PartitionTxn) EncodedSize() int {
	sum := 0
	for _, r := range t.Checks {
		r.Value = nil
		sum += r.EncodedSize()
	}
	for _, r := range t.Deletes {
		r.Value = nil
		sum += r.EncodedSize()
	}
	for _, r := range t.Puts {
		sum += r.EncodedSize()
	}
	return sum
}

// IsWithinLimits reports whether the table service takes a transaction of this size.
func (t PartitionTxn) IsWithinLimits() bool {
	for _, r := range t.Puts {
		if len(r.Value) > MaxRowBytes {
			return false
		}
	}
	return len(t.Checks)+len(t.Puts)+len(t.Deletes) <= MaxTxnRows && t.EncodedSize() <= MaxTxnBytes
}
