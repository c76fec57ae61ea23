package load

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	glade "indigoglade"
)

// record is one request with the outcomes that its caller saw.
type record struct {
	id       string
	target   target
	zone     glade.Zone
	behavior behavior
	attempts []attempt
	latency  time.Duration
}

// outcome combines the attempts of a request. An answer makes it answered. Otherwise an attempt
// that may have run makes it unknown or failed. A refusal that refers to another run of the same
// key says nothing about that run, so a request whose only evidence is such a refusal is unknown,
// not refused.
func (r record) outcome() glade.Outcome {
	worst := glade.Refused
	for _, t := range r.attempts {
		switch t.outcome {
		case glade.Answered:
			return glade.Answered
		case glade.Unknown:
			worst = glade.Unknown
		case glade.Failed:
			if worst != glade.Unknown {
				worst = glade.Failed
			}
		case glade.Refused:
			if worst == glade.Refused && refersToOtherRun(t.reason) {
				worst = glade.Unknown
			}
		}
	}
	return worst
}

// refersToOtherRun reports whether a refusal is based on another run of the same key.
func refersToOtherRun(reason glade.Reason) bool {
	return reason == glade.ReasonDuplicate || reason == glade.ReasonHistoryIncomplete
}

// countWithoutOutcome returns the number of attempts that ended without any outcome.
func (r record) countWithoutOutcome() int {
	n := 0
	for _, t := range r.attempts {
		if t.outcome == glade.Unknown && t.reason == glade.ReasonNone {
			n++
		}
	}
	return n
}

// isIntact reports whether every answer was complete and belonged to this request.
func (r record) isIntact() bool {
	for _, t := range r.attempts {
		if t.outcome == glade.Answered && !t.intact {
			return false
		}
	}
	return true
}

// incomingCapacity is the number of records that may wait for the recorder.
const incomingCapacity = 1024

const progressPeriod = 500 * time.Millisecond

// recorder collects the records of all callers.
type recorder struct {
	incoming chan record
	records  []record
	counts   map[glade.Outcome]int
	unsent   atomic.Int64
	progress io.Writer
	start    time.Time
	done     chan struct{}
}

func newRecorder(progress io.Writer) *recorder {
	r := &recorder{
		incoming: make(chan record, incomingCapacity),
		counts:   make(map[glade.Outcome]int),
		progress: progress,
		start:    time.Now(),
		done:     make(chan struct{}),
	}
	go r.run()
	return r
}

func (r *recorder) add(rec record) { r.incoming <- rec }

func (r *recorder) run() {
	defer close(r.done)
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case rec, open := <-r.incoming:
			if !open {
				r.printProgress("\n")
				return
			}
			r.records = append(r.records, rec)
			r.counts[rec.outcome()]++
		case <-ticker.C:
			r.printProgress("")
		}
	}
}

// printProgress overwrites the progress line.
func (r *recorder) printProgress(end string) {
	if r.progress == nil {
		return
	}
	fmt.Fprintf(r.progress, "\r%5.1f s  ended %d  answered %d  refused %d  failed %d  unknown %d %s",
		time.Since(r.start).Seconds(), len(r.records), r.counts[glade.Answered], r.counts[glade.Refused],
		r.counts[glade.Failed], r.counts[glade.Unknown], end)
}

// finish returns all records. It must be called after the last caller has finished.
func (r *recorder) finish() records {
	close(r.incoming)
	<-r.done
	return records{all: r.records, unsent: int(r.unsent.Load())}
}

// records are all requests of a run.
type records struct {
	all    []record
	unsent int
}
