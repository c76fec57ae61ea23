package lead

import (
	"sync"
	"time"

	glade "indigoglade"
)

// doubt tells whether a batch was accepted, or may have been by an attempt without an answer.
type doubt struct {
	open bool
	// epoch is the highest of the leaders that an attempt may have reached; 0 if it is not
	// known.
	epoch   int64
	unknown bool
	at      time.Time
}

// add records an attempt without an answer that was meant for the leader of an epoch.
func (d *doubt) add(epoch int64) {
	d.open = true
	d.unknown = d.unknown || epoch == 0
	d.epoch = max(d.epoch, epoch)
}

// isOpen reports whether the batch may run although the leader of an epoch refuses it. A
// leader of a higher epoch than those that were reached has read all that they wrote, and
// they can't write any more.
func (d *doubt) isOpen(epoch int64) bool { return d.open && (d.unknown || epoch <= d.epoch) }

// Bounds of the doubts that are remembered.
const (
	maxDoubts  = 8192        // some 130 a second at one host
	doubtsTime = time.Minute // callers give up sooner
)

// doubts remembers the batches whose submitters were told that they are accepted or that their
// outcome is unknown, so that a later attempt at this host isn't refused while they may run. A
// caller sends a batch again when the answer was lost, at a time at which no host may lead.
type doubts struct {
	mu    sync.Mutex
	byID  map[glade.BatchID]doubt
	order []glade.BatchID // by the time of the first doubt
	// attempts holds the submissions that have not ended.
	attempts map[glade.BatchID]*attempts
}

// attempts are the submissions of one batch at this host that have not ended.
type attempts struct {
	count int
	// notRefused is set if another one has ended and the batch may run.
	notRefused bool
}

// attempt is the submission of a batch at this host. There may be several at once, if a caller
// has given one up that this host can't end yet.
type attempt struct {
	doubts *doubts
	id     glade.BatchID
	// doubt is that of this attempt's calls, and of earlier attempts.
	doubt doubt
	// foreign means that the ID is that of another tenant's batch, whose doubt is kept.
	foreign bool
}

// begin returns an attempt to submit a batch, which must be ended with end.
func (d *doubts) begin(id glade.BatchID, now time.Time) *attempt {
	a := &attempt{doubts: d, id: id, doubt: d.load(id, now)}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.attempts == nil {
		d.attempts = make(map[glade.BatchID]*attempts)
	}
	if d.attempts[id] == nil {
		d.attempts[id] = &attempts{}
	}
	d.attempts[id].count++
	return a
}

// add records that the leader of an epoch may have accepted the batch.
func (a *attempt) add(epoch int64) { a.doubt.add(epoch) }

// isOpen reports whether the batch may run although the leader of an epoch refuses it: because of
// this attempt, of one that has ended or of one that may still reach a leader.
func (a *attempt) isOpen(epoch int64, now time.Time) bool {
	remembered := a.doubts.load(a.id, now)
	a.doubts.mu.Lock()
	defer a.doubts.mu.Unlock()
	others := a.doubts.attempts[a.id]
	return a.doubt.isOpen(epoch) || remembered.isOpen(epoch) || others.count > 1 || others.notRefused
}

// end remembers the attempt if the batch may run. Otherwise it drops the doubt that is remembered,
// unless other attempts have not ended.
func (a *attempt) end(code SubmitCode, now time.Time) {
	d := a.doubts
	d.mu.Lock()
	others := d.attempts[a.id]
	others.count--
	others.notRefused = others.notRefused || code != SubmitRefused
	last := others.count == 0
	if last {
		delete(d.attempts, a.id)
	}
	d.mu.Unlock()
	mayRun := code == SubmitUnknown || code == SubmitAccepted
	a.doubt.open = a.doubt.open || mayRun // also if only another attempt is in doubt
	if mayRun || last && !a.foreign {
		d.store(a.id, a.doubt, mayRun, now)
	}
}

func (d *doubts) load(id glade.BatchID, now time.Time) doubt {
	d.mu.Lock()
	defer d.mu.Unlock()
	if found, ok := d.byID[id]; ok && now.Sub(found.at) < doubtsTime {
		return found
	}
	return doubt{}
}

// store remembers a doubt, or drops it if the batch doesn't run.
func (d *doubts) store(id glade.BatchID, value doubt, mayRun bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !mayRun {
		delete(d.byID, id)
		return
	}
	if d.byID == nil {
		d.byID = make(map[glade.BatchID]doubt)
	}
	value.at = now
	if found, ok := d.byID[id]; ok {
		value.epoch = max(value.epoch, found.epoch) // of another attempt
		value.open, value.unknown = value.open || found.open, value.unknown || found.unknown
	} else {
		d.order = append(d.order, id)
	}
	d.byID[id] = value
	for len(d.order) > 0 {
		first := d.order[0]
		oldest, ok := d.byID[first]
		if ok && len(d.order) <= maxDoubts && now.Sub(oldest.at) < doubtsTime {
			return
		}
		d.order = d.order[1:]
		delete(d.byID, first)
	}
}
