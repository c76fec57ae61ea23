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
	return s.heldBytes+workBytes(work) <= cmp.Or(s.config.MaxHeldBytes, defaultHeldBytes)
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
