package sched

import (
	"cmp"
	"unsafe"

	glade "indigoglade"
)

// defaultHeldBytes bounds what the works of all batches of a service take that have not ended, or whose tasks are still
// kept. A work takes up to 57 KB, long-running and repeated ones are not refused for lack of capacity, and each leader
// of the service reads all of them. It is room for some 4,000 works of 5 KB.
const defaultHeldBytes = 24 << 20

// batchBytes is what a batch of one task takes beside its work.
const batchBytes = 1 << 10

// Bounds of the batches that a service knows, with those that have ended. Their states stay for two minutes, at up to a
// kilobyte each, and a caller needs no work to make one: a cancelled ID that has not arrived is one too.
const (
	maxBatches = 48_000
	// maxCancelled is the number of known batches from which on no further ID is cancelled that has not arrived. The rest is
	// for submissions.
	maxCancelled = maxBatches / 2
)

// MayCancel reports whether there is room for the cancellation of an ID. It is always there for a batch that is known.
func (s *Scheduler) MayCancel(id glade.BatchID) bool {
	return s.batches[id] != nil || len(s.batches) < maxCancelled
}

// workBytes returns how many bytes a batch with a work takes in memory.
func workBytes(work *glade.Batch) int {
	size := batchBytes + len(work.Spec)
	for i := range work.Steps {
		step := &work.Steps[i]
		size += int(unsafe.Sizeof(*step)) + len(step.Label) + len(step.Rack) + len(step.Image) + len(step.After)*int(unsafe.Sizeof(0))
	}
	return size
}

// hasRoom reports whether the memory of any host that may have to lead the service holds another work.
func (s *Scheduler) hasRoom(work *glade.Batch) bool {
	return s.heldBytes+workBytes(work) <= cmp.Or(s.config.MaxHeldBytes, defaultHeldBytes) && len(s.batches) < maxBatches
}

// hold counts the work of a batch, until drop.
func (s *Scheduler) hold(b *batch) {
	b.heldBytes = workBytes(&b.work)
	s.heldBytes += b.heldBytes
}

// drop stops counting the work of a batch, which is released or was never written.
func (s *Scheduler) drop(b *batch) {
	s.heldBytes -= b.heldBytes
	b.heldBytes = 0
}
