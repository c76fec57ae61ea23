package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	glade "indigoglade"
)

// Totals counts the outcomes that callers saw, and their contradictions to the ledger.
type Totals struct {
	Sent     int `json:"sent"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Unknown  int `json:"unknown"`
	// RanTwice counts requests that ran more than once although they are not repeatable.
	RanTwice int `json:"twice"`
	// Contradicted counts requests with an answer that was not intact, answered requests that did not
	// complete at an endpoint, and refused requests that ran.
	Contradicted int `json:"lost"`
}

// String returns the totals as the last line of the report.
func (t Totals) String() string {
	return fmt.Sprintf("sent %d answered %d refused %d failed %d unknown %d twice %d lost %d",
		t.Sent, t.Answered, t.Refused, t.Failed, t.Unknown, t.RanTwice, t.Contradicted)
}

// add counts one request.
func (t *Totals) add(r record, count Executions) {
	t.Sent++
	if count.Started > 1 && !r.target.repeatable {
		t.RanTwice++
	}
	lost := !r.isIntact()
	switch r.outcome() {
	case glade.Answered:
		t.Answered++
		lost = lost || count.Completed == 0
	case glade.Refused:
		t.Refused++
		lost = lost || count.Started > 0
	case glade.Failed:
		t.Failed++
	case glade.Unknown:
		t.Unknown++
	}
	if lost {
		t.Contradicted++
	}
}

// Latency is the latency distribution of one outcome, in milliseconds.
type Latency struct {
	Outcome string  `json:"outcome"`
	Count   int64   `json:"count"`
	P50     float64 `json:"p50"`
	P90     float64 `json:"p90"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"max"`
}

// ServiceTotals counts the outcomes of one service in one zone.
type ServiceTotals struct {
	Customer glade.Customer `json:"customer"`
	Service  glade.Service  `json:"service"`
	// Zone is the zone of the entry host that received the first attempt.
	Zone glade.Zone `json:"zone"`
	Totals
}

type serviceZone struct {
	target target
	zone   glade.Zone
}

// Report is the result of a load run.
type Report struct {
	Totals    Totals          `json:"totals"`
	Services  []ServiceTotals `json:"services"`
	Latencies []Latency       `json:"latencies"`
	Reasons   map[string]int  `json:"reasons"`
	// Resent counts requests that were sent more than once.
	Resent int `json:"resent"`
	// WithoutOutcome counts attempts that ended without an outcome although their caller waited.
	WithoutOutcome int `json:"broken"`
	// Reexecuted counts repeatable requests that ran more than once.
	Reexecuted int `json:"reruns"`
	// Unsent counts requests that were not sent because too many were in flight.
	Unsent    int            `json:"unsent"`
	Endpoints EndpointTotals `json:"endpoints"`
	Budgets   []Budget       `json:"budgets"`
	// The number of successful and of failed polls of the fleet's budgets.
	Polls       int `json:"looks"`
	FailedPolls int `json:"misses"`
}

// Range of the histograms in microseconds, and their significant digits.
const (
	minMicros       = 1
	maxMicros       = 120_000_000
	precisionDigits = 3
)

func newReport(all records, ledger Ledger, watcher *watcher) Report {
	r := Report{
		Reasons:     make(map[string]int),
		Unsent:      all.unsent,
		Endpoints:   ledger.Totals,
		Budgets:     watcher.downTracker.report(),
		Polls:       watcher.polls,
		FailedPolls: watcher.failedPolls,
	}
	services := make(map[serviceZone]*Totals)
	histograms := make(map[glade.Outcome]*hdrhistogram.Histogram)
	for _, rec := range all.all {
		r.add(rec, ledger.Counts[rec.id])
		at := serviceZone{target: rec.target, zone: rec.zone}
		if services[at] == nil {
			services[at] = &Totals{}
		}
		services[at].add(rec, ledger.Counts[rec.id])
		observe(histograms, rec)
	}
	for at, totals := range services {
		r.Services = append(r.Services, ServiceTotals{Customer: at.target.customer, Service: at.target.service, Zone: at.zone, Totals: *totals})
	}
	sort.Slice(r.Services, func(i, j int) bool {
		a, b := r.Services[i], r.Services[j]
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone)) < 0
	})
	r.Latencies = latencies(histograms)
	return r
}

func (r *Report) add(rec record, count Executions) {
	r.Totals.add(rec, count)
	if len(rec.attempts) > 1 {
		r.Resent++
	}
	if count.Started > 1 && rec.target.repeatable {
		r.Reexecuted++
	}
	if rec.behavior != impatient {
		r.WithoutOutcome += rec.countWithoutOutcome()
	}
	if last := rec.attempts[len(rec.attempts)-1]; last.reason != glade.ReasonNone {
		r.Reasons[last.outcome.String()+"."+string(last.reason)]++
	}
}

func observe(histograms map[glade.Outcome]*hdrhistogram.Histogram, rec record) {
	outcome := rec.outcome()
	if histograms[outcome] == nil {
		histograms[outcome] = hdrhistogram.New(minMicros, maxMicros, precisionDigits)
	}
	// A latency above the range is recorded as the largest value.
	_ = histograms[outcome].RecordValue(min(rec.latency.Microseconds(), maxMicros))
}

func latencies(histograms map[glade.Outcome]*hdrhistogram.Histogram) []Latency {
	var list []Latency
	for _, outcome := range []glade.Outcome{glade.Answered, glade.Refused, glade.Failed, glade.Unknown} {
		h := histograms[outcome]
		if h == nil {
			continue
		}
		ms := func(micros int64) float64 { return float64(micros) / float64(time.Millisecond/time.Microsecond) }
		list = append(list, Latency{
			Outcome: outcome.String(), Count: h.TotalCount(),
			P50: ms(h.ValueAtQuantile(50)), P90: ms(h.ValueAtQuantile(90)), P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
		})
	}
	return list
}

// violations describes each guarantee that was violated.
func (r Report) violations() []string {
	var names []string
	for _, p := range []struct {
		name  string
		count int
	}{
		{"ran twice", r.Totals.RanTwice},
		{"lost", r.Totals.Contradicted},
		{"cut by a planned stop", r.Endpoints.Interrupted},
		{"late on a leaving endpoint", r.Endpoints.StartedLate},
		{"ended without an outcome", r.WithoutOutcome},
	} {
		if p.count > 0 {
			names = append(names, fmt.Sprintf("%s: %d", p.name, p.count))
		}
	}
	for _, b := range r.Budgets {
		if b.IsExceeded() {
			names = append(names, fmt.Sprintf("budget of %s: %d down, %d allowed", b.Pool, b.PeakDown, b.MaxDown))
		}
	}
	return names
}

func (r Report) print(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(r), "write report")
	}
	r.printText(w)
	return nil
}

func (r Report) printText(w io.Writer) {
	fmt.Fprintf(w, "%-10s %-10s %-10s %7s %9s %8s %7s %8s\n", "customer", "service", "zone", "sent", "answered", "refused", "failed", "unknown")
	for _, s := range r.Services {
		fmt.Fprintf(w, "%-10s %-10s %-10s %7d %9d %8d %7d %8d\n", s.Customer, s.Service, s.Zone, s.Sent, s.Answered, s.Refused, s.Failed, s.Unknown)
	}
	for _, l := range r.Latencies {
		fmt.Fprintf(w, "latency of %-9s p50 %.1f ms  p90 %.1f ms  p99 %.1f ms  max %.1f ms\n", l.Outcome, l.P50, l.P90, l.P99, l.Max)
	}
	fmt.Fprintln(w, "reasons", r.Reasons)
	fmt.Fprintf(w, "sent more than once %d, repeatable work run again %d, not sent for lack of room %d, ended without an outcome %d\n",
		r.Resent, r.Reexecuted, r.Unsent, r.WithoutOutcome)
	fmt.Fprintf(w, "new work on leaving endpoints %d, work cut by planned stops %d, most in flight on one endpoint %d\n",
		r.Endpoints.StartedLate, r.Endpoints.Interrupted, r.Endpoints.MaxInFlight)
	for _, b := range r.Budgets {
		verdict := "held"
		if b.IsExceeded() {
			verdict = "broken"
		}
		fmt.Fprintf(w, "budget of %-10s %s: at most %d down, %d allowed\n", b.Pool, verdict, b.PeakDown, b.MaxDown)
	}
	if r.FailedPolls > 0 {
		fmt.Fprintf(w, "budgets not looked at %d times of %d\n", r.FailedPolls, r.Polls+r.FailedPolls)
	}
	fmt.Fprintln(w, r.Totals)
}
