package burn

import (
	"time"

	glade "indigoglade"
)

// Level is the alert level of a budget.
type Level string

// Alert levels, from least to most urgent.
const (
	// LevelNone means that no alert rule applies.
	LevelNone Level = "ok"
	// LevelSlow means a burn rate that spends half of the budget in a quarter
	// of its window.
	LevelSlow Level = "slow"
	// LevelFast means a burn rate that spends a quarter of the budget in 1/24
	// of its window.
	LevelFast Level = "fast"
	// LevelSpent means that no budget is left.
	LevelSpent Level = "spent"
)

// alertRule is a multi-window burn rate alert. The long window makes sure that
// a significant part of the budget was spent; the short window ends the alert
// soon after the cause is gone.
//
// For a budget window of 24 h, LevelFast requires a rate of at least 6 over both
// the last hour and the last five minutes: 6 * 1 h / 24 h is a quarter of the
// budget.
type alertRule struct {
	level        Level
	longDivisor  int // budget window / long window
	shortDivisor int // budget window / short window
	minRate      float64
}

var alertRules = []alertRule{
	{level: LevelFast, longDivisor: 24, shortDivisor: 288, minRate: 6},
	{level: LevelSlow, longDivisor: 4, shortDivisor: 48, minRate: 2},
}

// Promise identifies a service-level objective of a contract.
type Promise string

// Promises that are reported.
const (
	// PromiseAnswers is the percentage of requests answered within the deadline.
	PromiseAnswers Promise = "answers"
	// PromiseCapacity is the down time budget of a pool's hosts.
	PromiseCapacity Promise = "capacity"
)

// Window is the burn rate over the interval of the given length before the report.
type Window struct {
	Length glade.Span `json:"length"`
	Rate   float64    `json:"rate"`
}

// Point is one value of a burn rate plot. At is the start of its interval in
// Unix milliseconds.
type Point struct {
	At   int64   `json:"at"`
	Rate float64 `json:"rate"`
}

// Line is the burn rate and the remaining budget of one promise.
type Line struct {
	Customer glade.Customer `json:"customer"`
	Promise  Promise        `json:"promise"`
	// Pool is set for PromiseCapacity only.
	Pool glade.Pool `json:"pool,omitempty"`
	// Target is the promised percentage of good requests for PromiseAnswers,
	// or the allowed down time in host minutes for PromiseCapacity.
	Target float64 `json:"target"`
	// Window is the length of the budget's window, for PromiseAnswers at most
	// MaxWindow.
	Window glade.Span `json:"window"`
	// Counts holds the requests in Window; for PromiseAnswers only.
	Counts Counts `json:"counts"`
	// Left is the percentage of the budget that is left; negative if the
	// budget is overspent.
	Left   float64  `json:"left"`
	Rates  []Window `json:"rates"`
	Level  Level    `json:"level"`
	Points []Point  `json:"points"`
}

// Report lists the burn rates of all promises at the time At, in Unix milliseconds.
type Report struct {
	At    int64  `json:"at"`
	Lines []Line `json:"lines"`
	Gaps  []Gap  `json:"gaps"`
}

// Input is the data that a report is computed from.
type Input struct {
	Contracts []glade.ContractSpec
	Merged    Merged
	// Accounts maps the keys of account rows (owner.AccountKey) to the accounts
	// of host down time.
	Accounts map[string]glade.AccountRow
	Now      time.Time
}

// NewReport computes the burn rates of all promises of the contracts.
func NewReport(in Input) Report {
	r := Report{At: in.Now.UnixMilli(), Gaps: in.Merged.Gaps()}
	for _, spec := range in.Contracts {
		r.Lines = append(r.Lines, answerLine(in, spec))
		for _, pool := range spec.Pools {
			r.Lines = append(r.Lines, capacityLine(in, spec, pool))
		}
	}
	return r
}

// burnRateFunc returns the burn rate over the interval of the given length before
// the report.
type burnRateFunc func(length time.Duration) float64

func answerLine(in Input, spec glade.ContractSpec) Line {
	rows := customerRows(in.Merged, spec.Customer)
	window := min(spec.Budget.Window.Duration(), MaxWindow)
	line := Line{
		Customer: spec.Customer,
		Promise:  PromiseAnswers,
		Target:   spec.Answer.Target,
		Window:   glade.Span(window),
		Counts:   countsInWindow(rows, in.Now, window),
		Points:   answerPoints(rows, spec.Answer.Target),
	}
	line.evaluate(window, func(length time.Duration) float64 {
		return countsInWindow(rows, in.Now, length).Rate(spec.Answer.Target)
	})
	return line
}

func customerRows(g Merged, customer glade.Customer) []CustomerCounts {
	var rows []CustomerCounts
	for _, s := range g.Snapshots() {
		for _, row := range s.Customers {
			if row.Customer == customer {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

func countsInWindow(rows []CustomerCounts, now time.Time, window time.Duration) Counts {
	var total Counts
	for _, row := range rows {
		total = total.Add(row.CountsIn(now, window))
	}
	return total
}

// answerPoints returns the burn rate of each minute of the fine buckets, oldest
// first.
func answerPoints(rows []CustomerCounts, target float64) []Point {
	byMinute := make(map[int64]Counts)
	for _, row := range rows {
		for _, b := range row.Fine {
			byMinute[b.From] = byMinute[b.From].Add(b.Counts)
		}
	}
	points := make([]Point, 0, len(byMinute))
	for from, counts := range byMinute {
		points = append(points, Point{At: from, Rate: counts.Rate(target)})
	}
	sortPoints(points)
	return points
}

// evaluate sets Rates, Left and Level. window is the budget's window.
func (l *Line) evaluate(window time.Duration, rate burnRateFunc) {
	l.Left = 100 * (1 - rate(window))
	l.Level = LevelNone
	for i := len(alertRules) - 1; i >= 0; i-- {
		r := alertRules[i]
		long, short := window/time.Duration(r.longDivisor), window/time.Duration(r.shortDivisor)
		longRate, shortRate := rate(long), rate(short)
		l.Rates = append(l.Rates, Window{Length: glade.Span(long), Rate: longRate}, Window{Length: glade.Span(short), Rate: shortRate})
		if longRate >= r.minRate && shortRate >= r.minRate {
			l.Level = r.level
		}
	}
	if l.Left <= 0 && rate(window) > 0 {
		l.Level = LevelSpent
	}
}
