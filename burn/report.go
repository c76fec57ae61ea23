package burn

import (
	"time"

	glade "indigoglade"
)

// Level is how urgent the burn of a budget is.
type Level string

// Levels of alerts.
const (
	// LevelNone spends no faster than the contract allows.
	LevelNone Level = "ok"
	// LevelSlow would spend half of the budget in a quarter of its window.
	LevelSlow Level = "slow"
	// LevelFast would spend a quarter of the budget in a 24th of its window.
	LevelFast Level = "fast"
	// LevelSpent has no budget left.
	LevelSpent Level = "spent"
)

// rule is one alert of two windows. The long one shows that enough was spent to
// matter; the short one ends the alert soon after the cause is gone.
//
// With a window of 24 h, fast means a rate of 6 over the last hour and over the
// last five minutes: 6 * 1 h / 24 h is a quarter of the budget.
type rule struct {
	level Level
	long  int // the budget's window is divided by this
	short int
	rate  float64
}

var rules = []rule{
	{level: LevelFast, long: 24, short: 288, rate: 6},
	{level: LevelSlow, long: 4, short: 48, rate: 2},
}

// Promise names what a line is about.
type Promise string

// Promises of a contract that are watched.
const (
	// PromiseAnswers is the share of requests answered within the deadline.
	PromiseAnswers Promise = "answers"
	// PromiseCapacity is the down time of a pool's hosts.
	PromiseCapacity Promise = "capacity"
)

// Window is the burn rate over the last stretch of time.
type Window struct {
	Length glade.Span `json:"length"`
	Rate   float64    `json:"rate"`
}

// Point is the burn rate of one stretch of time for a plot.
type Point struct {
	At   int64   `json:"at"`
	Rate float64 `json:"rate"`
}

// Line is the burn of one promise.
type Line struct {
	Customer glade.Customer `json:"customer"`
	Promise  Promise        `json:"promise"`
	// Pool is set for capacity.
	Pool glade.Pool `json:"pool,omitempty"`
	// Target is the promised share in percent, or the allowed host minutes.
	Target float64 `json:"target"`
	// Window is the length of the budget's window, at most what is kept.
	Window glade.Span `json:"window"`
	// Counts are the requests of the window; only for answers.
	Counts Counts `json:"counts"`
	// Left is the share of the budget that is left, in percent; below 0 when
	// more was spent.
	Left   float64  `json:"left"`
	Rates  []Window `json:"rates"`
	Level  Level    `json:"level"`
	Points []Point  `json:"points"`
}

// Report is the burn of every promise.
type Report struct {
	At    int64  `json:"at"`
	Lines []Line `json:"lines"`
	Gaps  []Gap  `json:"gaps"`
}

// Input is what a report is made from.
type Input struct {
	Contracts []glade.ContractSpec
	Gathered  Gathered
	// Accounts holds the availability accounts by the keys of their rows.
	Accounts map[string]glade.AccountRow
	Now      time.Time
}

// NewReport works out the burn of every promise.
func NewReport(in Input) Report {
	r := Report{At: in.Now.UnixMilli(), Gaps: in.Gathered.Gaps()}
	for _, spec := range in.Contracts {
		r.Lines = append(r.Lines, answerLine(in, spec))
		for _, pool := range spec.Pools {
			r.Lines = append(r.Lines, capacityLine(in, spec, pool))
		}
	}
	return r
}

// spend returns the burn rate over the last stretch of time.
type spend func(length time.Duration) float64

func answerLine(in Input, spec glade.ContractSpec) Line {
	rows := rowsOf(in.Gathered, spec.Customer)
	window := min(spec.Budget.Window.Duration(), MaxWindow)
	line := Line{
		Customer: spec.Customer,
		Promise:  PromiseAnswers,
		Target:   spec.Answer.Target,
		Window:   glade.Span(window),
		Counts:   countIn(rows, in.Now, window),
		Points:   answerPoints(rows, spec.Answer.Target),
	}
	line.judge(window, func(length time.Duration) float64 {
		return countIn(rows, in.Now, length).Rate(spec.Answer.Target)
	})
	return line
}

func rowsOf(g Gathered, customer glade.Customer) []Row {
	var rows []Row
	for _, s := range g.Snapshots() {
		for _, row := range s.Rows {
			if row.Customer == customer {
				rows = append(rows, row)
			}
		}
	}
	return rows
}

func countIn(rows []Row, now time.Time, window time.Duration) Counts {
	var total Counts
	for _, row := range rows {
		total = total.Add(row.In(now, window))
	}
	return total
}

// answerPoints returns the burn rate by the minute.
func answerPoints(rows []Row, target float64) []Point {
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

// judge fills in the rates, what is left, and the level.
func (l *Line) judge(window time.Duration, rate spend) {
	l.Left = 100 * (1 - rate(window))
	l.Level = LevelNone
	for i := len(rules) - 1; i >= 0; i-- {
		r := rules[i]
		long, short := window/time.Duration(r.long), window/time.Duration(r.short)
		longRate, shortRate := rate(long), rate(short)
		l.Rates = append(l.Rates, Window{Length: glade.Span(long), Rate: longRate}, Window{Length: glade.Span(short), Rate: shortRate})
		if longRate >= r.rate && shortRate >= r.rate {
			l.Level = r.level
		}
	}
	if l.Left <= 0 && rate(window) > 0 {
		l.Level = LevelSpent
	}
}
