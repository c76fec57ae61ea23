// Package worth shows where the value of a played day is lost: to work that was late,
// refused or failed, and to what the capacity costs.
package worth

import (
	"cmp"
	"slices"
)

// Part is one share of the benefit: of the whole day, or of its worst zone, for example.
type Part struct {
	Name string `json:"name"`
	// Weight is the worth of the part if everything is served in time.
	Weight float64 `json:"weight"`
	// Served is the share of that which was earned, from 0 to 1.
	Served float64 `json:"served"`
}

// Price is a cost that is taken off the benefit.
type Price struct {
	Name string `json:"name"`
	// Quantity is what was used, in the unit that Name gives.
	Quantity float64 `json:"quantity"`
	// Cost is its price, as a share of the benefit of a day on which all is in time.
	Cost float64 `json:"cost"`
}

// Group counts the requests of a queue, an availability zone or a window of time.
type Group struct {
	Name                                 string
	Asked, InTime, Late, Refused, Failed int
	// Earned is the share of its benefit that was earned, from 0 to 1.
	Earned float64
}

// Day is the outcome of one played day.
type Day struct {
	Name   string  `json:"name"`
	Seed   int64   `json:"seed,omitempty"`
	Parts  []Part  `json:"parts"`
	Prices []Price `json:"prices"`
	// Queues, Zones and Windows are empty if only the sums of the day were recorded.
	// Windows are in the order of time.
	Queues  []Group `json:"queues,omitempty"`
	Zones   []Group `json:"zones,omitempty"`
	Windows []Group `json:"windows,omitempty"`
}

// Loss is the worth that was lost to one cause.
type Loss struct {
	Cause string  `json:"cause"`
	Worth float64 `json:"worth"`
}

// Value returns the worth of a day: its benefit less its prices.
func (d Day) Value() float64 {
	value := 0.0
	for _, part := range d.Parts {
		value += part.Weight * part.Served
	}
	for _, price := range d.Prices {
		value -= price.Cost
	}
	return value
}

// Losses returns what a day has lost, the largest first. Its sum and the value of the
// day make up the weights of all parts.
func (d Day) Losses() []Loss {
	var list []Loss
	for _, part := range d.Parts {
		list = append(list, Loss{Cause: part.Name + " not served in time", Worth: part.Weight * (1 - part.Served)})
	}
	for _, price := range d.Prices {
		if price.Cost != 0 {
			list = append(list, Loss{Cause: price.Name, Worth: price.Cost})
		}
	}
	return sorted(list)
}

// Report sums up several days.
type Report struct {
	Days []Day `json:"days"`
	// Value is the mean worth of the days, and Losses what a day loses on average.
	Value  float64 `json:"value"`
	Losses []Loss  `json:"losses"`
}

// Summarize returns the report of days.
func Summarize(days []Day) Report {
	report := Report{Days: days}
	sums := make(map[string]float64)
	for _, day := range days {
		report.Value += day.Value() / float64(len(days))
		for _, loss := range day.Losses() {
			sums[loss.Cause] += loss.Worth / float64(len(days))
		}
	}
	for cause, sum := range sums {
		report.Losses = append(report.Losses, Loss{Cause: cause, Worth: sum})
	}
	report.Losses = sorted(report.Losses)
	return report
}

// Compare returns how much more the days of r lose than those of base to each cause;
// less is negative. The largest differences come first.
func (r Report) Compare(base Report) []Loss {
	sums := make(map[string]float64)
	for _, loss := range r.Losses {
		sums[loss.Cause] += loss.Worth
	}
	for _, loss := range base.Losses {
		sums[loss.Cause] -= loss.Worth
	}
	var list []Loss
	for cause, sum := range sums {
		list = append(list, Loss{Cause: cause, Worth: sum})
	}
	slices.SortFunc(list, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(max(b.Worth, -b.Worth), max(a.Worth, -a.Worth)), cmp.Compare(a.Cause, b.Cause))
	})
	return list
}

// WorstWindows returns the n windows of a day that have earned the least, the worst
// first.
func (d Day) WorstWindows(n int) []Group {
	list := slices.Clone(d.Windows)
	slices.SortStableFunc(list, func(a, b Group) int { return cmp.Compare(a.Earned, b.Earned) })
	return list[:min(n, len(list))]
}

func sorted(list []Loss) []Loss {
	slices.SortFunc(list, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.Cause, b.Cause))
	})
	return list
}
