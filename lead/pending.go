package lead

import (
	"cmp"
	"time"
	"unsafe"

	glade "indigoglade"
	"indigoglade/jrpc"
)

// Bounds of the batches that are on their way to an answer of their leader, in this process: from its own callers and from
// other hosts.
const (
	// maxPendingBytes is the default. It is about a ninth of the memory of the smallest host. That is room for 3,000 batches of the
	// usual size at the same time, as many as a host has connections of callers.
	maxPendingBytes = 32 << 20
	// smallPendingBytes is what a batch takes whose body has 5 KB or less. Larger ones leave half of the room to
	// smaller ones.
	smallPendingBytes = 24 << 10
	// pendingBytes is what a pending batch takes beside its contents: the stacks of its goroutines.
	pendingBytes = 8 << 10
	// pendingCopies is how often a pending batch is kept: itself, and the message to or from another host.
	pendingCopies = 2
	// pendingRetryAfter is the time after which a caller may retry who has found no room.
	pendingRetryAfter = time.Second
)

// reasonMemory is the reason of a refusal because other batches take all the memory that there is for pending ones.
const reasonMemory = "memory"

func newPendingLimit(bytes int64) *jrpc.Limit {
	return jrpc.NewLimit(jrpc.LimitConfig{MaxBytes: cmp.Or(bytes, maxPendingBytes), SmallBytes: smallPendingBytes})
}

// batchCost returns how many bytes a batch takes while it waits for the answer of its leader.
func batchCost(batch glade.Batch) int64 {
	size := len(batch.Spec)
	for _, step := range batch.Steps {
		size += int(unsafe.Sizeof(step)) + len(step.Label) + len(step.Rack) + len(step.Image) + len(step.After)*int(unsafe.Sizeof(0))
	}
	return callCost(size)
}

// callCost returns how many bytes a call takes whose batch has a size in bytes.
func callCost(size int) int64 { return int64(pendingBytes + pendingCopies*size) }

// PendingStats describes the batches that are on their way to an answer of their leader.
type PendingStats struct {
	// Bytes is about what they take. Refused counts those for which there was no room.
	Bytes   int64 `json:"bytes"`
	Refused int64 `json:"refused"`
}

// Pending returns what pending batches take of their bound.
func (m *Manager) Pending() PendingStats {
	bytes, refused := m.pending.Use()
	return PendingStats{Bytes: bytes, Refused: refused}
}

// crowdedReply answers a submission for which there is no room, here or at the leader. If an earlier attempt may have
// been accepted, it is not refused.
func crowdedReply(sent bool) SubmitReply {
	if sent {
		return SubmitReply{Code: SubmitUnknown, Reason: reasonMemory}
	}
	return SubmitReply{Code: SubmitRefused, Reason: reasonMemory, After: pendingRetryAfter.Milliseconds()}
}
