package burn

import (
	"sort"
	"time"

	glade "indigoglade"
	"indigoglade/owner"
)

// capacityPlotPoints is the number of points in the plot of a pool's down time.
const capacityPlotPoints = 60

func capacityLine(in Input, spec glade.ContractSpec, pool glade.PoolSpec) Line {
	account := in.Accounts[owner.AccountKey(spec.Customer, pool.Name)]
	allowed := time.Duration(spec.Budget.Minutes) * time.Minute
	window := spec.Budget.Window.Duration()
	line := Line{
		Customer: spec.Customer,
		Promise:  PromiseCapacity,
		Pool:     pool.Name,
		Target:   float64(spec.Budget.Minutes),
		Window:   spec.Budget.Window,
		Points:   downtimePoints(account, in.Now, window, allowed),
	}
	line.evaluate(window, func(length time.Duration) float64 {
		return downtimeBurnRate(account, in.Now.Add(-length), in.Now, allowed, window)
	})
	return line
}

// downtimeBurnRate returns the burn rate of the down time budget between two
// times: the down time divided by the part of the budget that an interval of
// that length may use. allowed is the down time budget of the whole window.
func downtimeBurnRate(account glade.AccountRow, from, to time.Time, allowed, window time.Duration) float64 {
	if allowed <= 0 || window <= 0 || !to.After(from) {
		return 0
	}
	allowedInRange := float64(allowed) * float64(to.Sub(from)) / float64(window)
	return float64(totalDowntime(account, from, to)) / allowedInRange
}

// totalDowntime returns the down time between two times, summed over all hosts of
// the account. It includes the ongoing down time of planned restarts and failures.
func totalDowntime(account glade.AccountRow, from, to time.Time) time.Duration {
	var total time.Duration
	for _, span := range account.DownTimes {
		total += overlap(time.UnixMilli(span.From), time.UnixMilli(span.To), from, to)
	}
	for _, member := range account.Members {
		if member.Cause == glade.CausePlan || member.Cause == glade.CauseFail {
			total += overlap(time.UnixMilli(member.Since), to, from, to)
		}
	}
	return total
}

func overlap(from, to, low, high time.Time) time.Duration {
	if from.Before(low) {
		from = low
	}
	if to.After(high) {
		to = high
	}
	return max(0, to.Sub(from))
}

func downtimePoints(account glade.AccountRow, now time.Time, window, allowed time.Duration) []Point {
	step := window / 24 / capacityPlotPoints
	points := make([]Point, 0, capacityPlotPoints)
	for i := capacityPlotPoints; i > 0; i-- {
		from := now.Add(-time.Duration(i) * step)
		points = append(points, Point{At: from.UnixMilli(), Rate: downtimeBurnRate(account, from, from.Add(step), allowed, window)})
	}
	return points
}

func sortPoints(points []Point) {
	sort.Slice(points, func(i, j int) bool { return points[i].At < points[j].At })
}
