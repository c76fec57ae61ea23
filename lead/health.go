package lead

import (
	"context"
	"sync"
	"time"
)

// storeHealth is what the monitor of a leadership knows of its writes.
type storeHealth struct {
	mu      sync.Mutex
	refusal refusal
	// sentAt is when the write in flight was sent, and cancelWrite gives it up; zero and nil
	// if there is none.
	sentAt      time.Time
	cancelWrite context.CancelFunc
	// heartbeats is the number of heartbeats in the newest term row that was sent.
	heartbeats int64
	// handingOver is set while another host may have claimed the term on request of this one.
	handingOver bool
}

// begin records that a write is sent. It returns true if the write must renew the term.
func (h *storeHealth) begin(now time.Time, cancel context.CancelFunc) (mustRenew bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusal.recordSent(now)
	h.sentAt, h.cancelWrite = now, cancel
	return h.handingOver
}

// end records the outcome of the write in flight.
func (h *storeHealth) end(committed, renewed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentAt, h.cancelWrite = time.Time{}, nil
	if !committed {
		return
	}
	h.refusal.recordSuccess()
	if renewed {
		h.handingOver = false
	}
}

// suspect records that a write must be repeated, though none is in flight.
func (h *storeHealth) suspect(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusal.recordSent(now)
}

func (h *storeHealth) setHeartbeats(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heartbeats = n
}

func (h *storeHealth) isDue(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusal.isDue(now)
}

func (h *storeHealth) mayAsk(now time.Time, silent bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusal.mayAsk(now, silent)
}

// failingFor returns the age of the oldest write without success.
func (h *storeHealth) failingFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refusal.since.IsZero() {
		return 0
	}
	return now.Sub(h.refusal.since)
}

// recordServed records that the store has answered a probe. A write that is still without
// an answer is given up, and returns true: its connection may be silent for good.
func (h *storeHealth) recordServed(now time.Time) (gaveUp bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusal.recordServed(now)
	if h.cancelWrite == nil || now.Sub(h.sentAt) < suspectAfter {
		return false
	}
	h.cancelWrite()
	return true
}

func (h *storeHealth) recordAsked(now time.Time, remaining int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusal.recordAsked(now, remaining)
}

func (h *storeHealth) recordReserve(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refusal.recordReserve(now)
}

// rounds returns the number of rounds in which hosts were asked of late.
func (h *storeHealth) rounds(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.refusal.askedAt) > askMemory {
		return 0
	}
	return h.refusal.rounds
}

// beginHandover marks the leadership as handing over. It returns the heartbeats after which
// the other host must not claim, and false if a write has succeeded meanwhile.
func (h *storeHealth) beginHandover() (heartbeats int64, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.refusal.since.IsZero() {
		return 0, false
	}
	h.handingOver = true
	return h.heartbeats, true
}

// cancelHandover records that the other host certainly has not claimed.
func (h *storeHealth) cancelHandover(before bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.handingOver = before
}

func (h *storeHealth) isAlone() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.refusal.isAlone()
}

func (h *storeHealth) isHandingOver() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.handingOver
}
