package sched

import (
	"slices"
	"time"

	glade "indigoglade"
)

// ReasonOwner is the reason of the refusal of a batch whose ID belongs to another tenant's batch.
const ReasonOwner = "owner"

// busyTime is about how long a cancellation takes to be written.
const busyTime = time.Second

// isKnownTo reports whether a tenant may know of the batch. Every caller may know of a batch without a tenant.
func (b *batch) isKnownTo(tenant glade.Tenant) bool { return b.owner == "" || b.owner == tenant }

// IsKnownTo reports whether a batch was submitted or cancelled before and a tenant may know of it.
func (s *Scheduler) IsKnownTo(tenant glade.Tenant, id glade.BatchID) bool {
	b, ok := s.batches[id]
	return ok && b.isKnownTo(tenant)
}

// AdmitKnown decides on a batch whose ID is in use, and returns false if the ID is free for the tenant. It never
// accepts a batch that has not arrived before.
func (s *Scheduler) AdmitKnown(id glade.BatchID, queue glade.Queue, tenant glade.Tenant) (Admission, bool) {
	return s.admitKnown(id, queue, tenant)
}

// admitKnown decides on a batch whose ID is in use. It returns false if the ID is free for the tenant: it is unknown,
// or only other tenants have cancelled it before it arrived.
func (s *Scheduler) admitKnown(id glade.BatchID, queue glade.Queue, tenant glade.Tenant) (Admission, bool) {
	b, ok := s.batches[id]
	switch {
	case !ok:
		return Admission{}, false
	case len(b.cancelledBy) == 0 && !b.isKnownTo(tenant):
		s.addEvent("refuse", "batch", id, "queue", queue, "why", ReasonOwner, "tenant", tenant)
		return Admission{Reason: ReasonOwner}, true
	case len(b.cancelledBy) == 0 || slices.Contains(b.cancelledBy, tenant):
		return Admission{Accepted: true, Gen: b.gen}, true
	case b.writtenGen < b.gen:
		// Two batches with one ID must not wait to be written at the same time.
		return Admission{Reason: "busy", After: busyTime}, true
	}
	return Admission{}, false
}

// takeID enters a new batch. It takes the place of a stored cancellation by other tenants, whose row the batch's
// first write replaces.
func (s *Scheduler) takeID(b *batch) {
	if old, ok := s.batches[b.id]; ok {
		b.replaced, b.gen, b.writtenGen = old, old.gen, old.writtenGen
	}
	s.batches[b.id] = b
}
