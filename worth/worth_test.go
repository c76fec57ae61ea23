package worth_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"indigoglade/worth"
)

func day(served, cost float64) worth.Day {
	return worth.Day{
		Name:   "busy",
		Parts:  []worth.Part{{Name: "whole day", Weight: 0.6, Served: served}, {Name: "worst zone", Weight: 0.4, Served: 1}},
		Prices: []worth.Price{{Name: "hosts", Quantity: 20, Cost: cost}},
		Windows: []worth.Group{
			{Name: "0", Asked: 4, InTime: 4, Earned: 1}, {Name: "2", Asked: 5, InTime: 1, Late: 4, Earned: 0.25}, {Name: "4", Asked: 2, InTime: 1, Refused: 1, Earned: 0.5},
		},
	}
}

func ExampleReport_WriteText() {
	_ = worth.Summarize([]worth.Day{day(0.5, 0.1)}).WriteText(os.Stdout)
	// Output:
	// mean of 1 days                  worth 0.600
	//   whole day not served in time  0.300
	//   hosts                         0.100
	//   all others                    0.000
	//
	// busy                            worth 0.600
	//   whole day not served in time  0.300
	//   hosts                         0.100
	//   all others                    0.000
	//   worst windows, from second    asked  in time  late  refused  failed  earned
	//   2                             5      1        4     0        0       0.250
	//   4                             2      1        0     1        0       0.500
	//   0                             4      4        0     0        0       1.000
}

func TestReport(t *testing.T) {
	t.Run("loses what is not earned", func(t *testing.T) {
		c, d := qt.New(t), day(0.5, 0.1)
		sum := d.Value()
		for _, loss := range d.Losses() {
			sum += loss.Worth
		}
		c.Assert(fmt.Sprintf("%.6f", sum), qt.Equals, "1.000000")
	})
	t.Run("is the mean of its days", func(t *testing.T) {
		report := worth.Summarize([]worth.Day{day(0.5, 0.1), day(1, 0.3)})
		qt.Assert(t, fmt.Sprintf("%.3f %.3f %s", report.Value, report.Losses[0].Worth, report.Losses[0].Cause), qt.Equals, "0.650 0.200 hosts")
	})
	t.Run("compares with another by the largest difference", func(t *testing.T) {
		change := worth.Summarize([]worth.Day{day(0.5, 0.1)}).Compare(worth.Summarize([]worth.Day{day(1, 0.2)}))
		qt.Assert(t, fmt.Sprintf("%.1f %.1f", change[0].Worth, change[1].Worth), qt.Equals, "0.3 -0.1")
	})
	t.Run("draws one bar a window", func(t *testing.T) {
		var page bytes.Buffer
		qt.Assert(t, worth.Summarize([]worth.Day{day(0.5, 0.1)}).WriteHTML(&page), qt.IsNil)
		qt.Assert(t, strings.Count(page.String(), "<rect"), qt.Equals, 3)
	})
}
