package days

import (
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Command plots demand, pool size and host moves around a daylight saving change.
type Command struct {
	Deploy string `enum:"gunescati,monsoon" default:"gunescati" help:"Deployment: ${enum}."`
	Seed   uint64 `default:"1" help:"Seed of demand and failures."`
	Out    string `default:"day.svg" type:"path" help:"File to write; its extension selects the image format."`
}

// Size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// Run simulates the chosen deployment and writes the plot to a file.
func (c Command) Run() error {
	d := Gunescati()
	if c.Deploy == "monsoon" {
		d = Monsoon()
	}
	p := plot.New()
	p.Title.Text = "First pool of " + d.name + " from the day before the 23-hour day to the day after"
	p.X.Label.Text = "elapsed hours, not adjusted for daylight saving"
	p.Y.Label.Text = "hosts"
	p.Legend.Top = true
	learned := Run(d, Learned, c.Seed).Samples
	fixed := Run(d, Fixed, c.Seed).Samples
	lines := []struct {
		name  string
		trace []Sample
		value func(Sample) float64
		color color.Color
	}{
		{"mean demand", learned, func(s Sample) float64 { return s.Demand }, color.RGBA{B: 200, A: 255}},
		{"hosts held, learned sizes", learned, func(s Sample) float64 { return float64(s.Hosts) }, color.RGBA{G: 130, A: 255}},
		{"host moves per minute", learned, func(s Sample) float64 { return float64(s.Moves) }, color.RGBA{R: 200, A: 255}},
		{"hosts held, fixed size", fixed, func(s Sample) float64 { return float64(s.Hosts) }, color.Gray{Y: 140}},
	}
	for _, line := range lines {
		drawn, err := plotter.NewLine(points(line.trace, line.value))
		if err != nil {
			return errors.Wrap(err, "draw "+line.name)
		}
		drawn.Color = line.color
		p.Add(drawn)
		p.Legend.Add(line.name, drawn)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, c.Out), "write plot")
}

// points returns the samples from the day before the spring change to the day after it.
func points(trace []Sample, value func(Sample) float64) plotter.XYs {
	var xys plotter.XYs
	for _, s := range trace {
		if s.Elapsed >= (springDay-1)*dayLength && s.Elapsed < (springDay+2)*dayLength {
			xys = append(xys, plotter.XY{X: s.Elapsed.Hours(), Y: value(s)})
		}
	}
	return xys
}
