package lead

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestDoubt guards against a refusal of a later attempt while an earlier one, whose answer was
// lost, may have been accepted.
func TestDoubt(t *testing.T) {
	expectOpen := func(name string, epochs []int64, refusedBy int64, want bool) {
		t.Run(name, func(t *testing.T) {
			var d doubt
			for _, epoch := range epochs {
				d.add(epoch)
			}
			qt.Assert(t, d.isOpen(refusedBy), qt.Equals, want)
		})
	}
	expectOpen("without an earlier attempt", nil, 1, false)
	expectOpen("at the same leader", []int64{3}, 3, true)
	expectOpen("at the next leader", []int64{3}, 4, false)
	expectOpen("at an earlier leader", []int64{3}, 2, true)
	expectOpen("at a host that doesn't lead", []int64{3}, 0, true)
	expectOpen("after attempts at several leaders", []int64{5, 3}, 4, true)
	expectOpen("after an attempt at a leader that is not known", []int64{0}, 4, true)
}

func TestDoubts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	isOpen := func(d *doubts, id glade.BatchID, at time.Time) bool {
		found := d.load(id, at)
		return found.open
	}
	open := doubt{open: true, epoch: 1}
	t.Run("are remembered until the outcome is known", func(t *testing.T) {
		var d doubts
		d.store("a", open, true, now)
		qt.Assert(t, isOpen(&d, "a", now.Add(time.Second)), qt.IsTrue)
		d.store("a", open, false, now)
		qt.Assert(t, isOpen(&d, "a", now), qt.IsFalse)
	})
	t.Run("are bounded in time and number", func(t *testing.T) {
		var d doubts
		for i := range 2 * maxDoubts {
			d.store(glade.BatchID(fmt.Sprint(i)), open, true, now)
		}
		qt.Assert(t, d.byID, qt.HasLen, maxDoubts)
		qt.Assert(t, isOpen(&d, glade.BatchID(fmt.Sprint(2*maxDoubts-1)), now), qt.IsTrue)
		d.store("last", open, true, now.Add(doubtsTime))
		qt.Assert(t, d.byID, qt.HasLen, 1)
		qt.Assert(t, d.order, qt.HasLen, 1)
	})
}

// TestAttempts guards against a refusal of one attempt while another one at the same host may
// have been accepted, and against memory for attempts that have ended.
func TestAttempts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	t.Run("an attempt that has not ended counts for the others", func(t *testing.T) {
		var d doubts
		first, second := d.begin("a", now), d.begin("a", now)
		qt.Assert(t, second.isOpen(4, now), qt.IsTrue)
		first.end(SubmitRefused, now)
		qt.Assert(t, second.isOpen(4, now), qt.IsFalse)
	})
	t.Run("an attempt that was accepted counts for those that have not ended", func(t *testing.T) {
		var d doubts
		first, second := d.begin("a", now), d.begin("a", now)
		first.end(SubmitAccepted, now)
		qt.Assert(t, second.isOpen(0, now), qt.IsTrue)
		second.end(SubmitUnknown, now)
		third := d.begin("a", now)
		qt.Assert(t, third.isOpen(0, now), qt.IsTrue)
		qt.Assert(t, third.isOpen(4, now), qt.IsFalse)
	})
	t.Run("an attempt that was accepted counts for later ones", func(t *testing.T) {
		var d doubts
		first := d.begin("a", now)
		first.add(3)
		first.end(SubmitAccepted, now)
		for epoch, want := range map[int64]bool{0: true, 3: true, 4: false} {
			qt.Assert(t, d.begin("a", now).doubt.isOpen(epoch), qt.Equals, want)
		}
		d.attempts = nil
		foreign := d.begin("a", now)
		foreign.foreign = true
		foreign.end(SubmitRefused, now)
		qt.Assert(t, d.begin("a", now).isOpen(0, now), qt.IsTrue)
	})
	t.Run("an attempt that ends doesn't drop the doubt of another one", func(t *testing.T) {
		var d doubts
		first, second, third := d.begin("a", now), d.begin("a", now), d.begin("a", now)
		first.add(0)
		first.end(SubmitUnknown, now)
		second.add(3)
		second.end(SubmitUnknown, now)
		qt.Assert(t, third.isOpen(4, now), qt.IsTrue)
		qt.Assert(t, d.attempts, qt.HasLen, 1)
		d.begin("b", now).end(SubmitRefused, now)
		third.end(SubmitRefused, now)
		qt.Assert(t, d.attempts, qt.HasLen, 0)
		qt.Assert(t, d.byID, qt.HasLen, 0)
	})
}

// TestRefusal guards against leaders that ask others because of one slow write, or ask without
// end while the store is slow for all.
func TestRefusal(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	t.Run("is suspected when the oldest write is overdue", func(t *testing.T) {
		var r refusal
		qt.Assert(t, r.isDue(start), qt.IsFalse)
		r.recordSent(start)
		r.recordSent(start.Add(suspectAfter / 2))
		qt.Assert(t, r.isDue(start.Add(suspectAfter-1)), qt.IsFalse)
		qt.Assert(t, r.isDue(start.Add(suspectAfter)), qt.IsTrue)
		r.recordSuccess()
		qt.Assert(t, r.isDue(start.Add(suspectAfter)), qt.IsFalse)
	})
	t.Run("is found later without an answer than with errors", func(t *testing.T) {
		var r refusal
		r.recordSent(start)
		qt.Assert(t, r.mayAsk(start.Add(suspectAfter), false), qt.IsTrue)
		qt.Assert(t, r.mayAsk(start.Add(suspectAfter), true), qt.IsFalse)
		qt.Assert(t, r.mayAsk(start.Add(silentAfter), true), qt.IsTrue)
	})
	t.Run("is followed by rounds without a pause while hosts were not asked", func(t *testing.T) {
		var r refusal
		r.recordSent(start)
		now := start.Add(silentAfter)
		for range quickRounds - 1 {
			r.recordAsked(now, 40)
			qt.Assert(t, r.isDue(now), qt.IsTrue)
		}
		r.recordAsked(now, 40)
		qt.Assert(t, r.isDue(now), qt.IsFalse)
		qt.Assert(t, r.isDue(now.Add(minAskPause)), qt.IsTrue)
	})
	t.Run("is ruled out by a probe that is answered", func(t *testing.T) {
		var r refusal
		r.recordSent(start)
		r.recordServed(start.Add(suspectAfter))
		qt.Assert(t, r.isDue(start.Add(2*suspectAfter-1)), qt.IsFalse)
		qt.Assert(t, r.isDue(start.Add(2*suspectAfter)), qt.IsTrue)
	})
	t.Run("makes leaders ask ever more rarely, also between slow writes that succeed", func(t *testing.T) {
		var r refusal
		now, rounds := start, 0
		for range 600 {
			now = now.Add(100 * time.Millisecond)
			r.recordSent(now)
			if r.isDue(now) {
				rounds++
				r.recordAsked(now, 0)
				r.recordSuccess()
			}
		}
		qt.Assert(t, rounds <= 35, qt.IsTrue, qt.Commentf("%d rounds in a minute", rounds))
		r.recordSent(now)
		r.recordAsked(now.Add(askMemory+time.Second), 0)
		qt.Assert(t, r.pause, qt.Equals, minAskPause)
	})
}

// TestChooseAsked guards against a leader that asks only hosts that the store refuses as well.
func TestChooseAsked(t *testing.T) {
	hosts := make([]successor, 12)
	for i := range hosts {
		hosts[i].node = glade.Node(fmt.Sprint(i))
	}
	qt.Assert(t, chooseAsked(hosts[:3], 7), qt.HasLen, 3)
	seen := make(map[glade.Node]bool)
	for round := range 3 {
		for _, s := range chooseAsked(hosts, round) {
			seen[s.node] = true
		}
	}
	qt.Assert(t, seen, qt.HasLen, len(hosts))
	qt.Assert(t, chooseAsked(hosts, 0)[0].node, qt.Equals, glade.Node("0"))
}

func TestClaimHold(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var h claimHold
	qt.Assert(t, h.isActive(now), qt.IsFalse)
	h.extend(now)
	h.extend(now.Add(time.Second)) // another service of the same host
	qt.Assert(t, h.isActive(now.Add(minClaimHold+time.Second-1)), qt.IsTrue)
	qt.Assert(t, h.isActive(now.Add(minClaimHold+time.Second)), qt.IsFalse)
	now = now.Add(minClaimHold + 2*time.Second)
	h.extend(now)
	qt.Assert(t, h.until, qt.Equals, now.Add(2*minClaimHold))
	for range 10 {
		now = h.until
		h.extend(now)
	}
	qt.Assert(t, h.length, qt.Equals, maxClaimHold)
	now = h.until.Add(claimHoldMemory)
	h.extend(now)
	qt.Assert(t, h.length, qt.Equals, minClaimHold)
}
