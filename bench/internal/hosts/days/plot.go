package days

import (
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Command draws the day of a clock change.
type Command struct {
	Deploy string `enum:"gunescati,monsoon" default:"gunescati" help:"Deployment: ${enum}."`
	Seed   uint64 `default:"1" help:"Seed of demand and failures."`
	Out    string `default:"day.svg" type:"path" help:"File to write; the ending chooses the form."`
}

// Size of the drawing.
const (
	drawingWidth  = 24 * vg.Centimeter
	drawingHeight = 12 * vg.Centimeter
)

// Run writes the drawing.
func (c Command) Run() error {
	d := Gunescati()
	if c.Deploy == "monsoon" {
		d = Monsoon()
	}
	p := plot.New()
	p.Title.Text = "First pool of " + d.name + " from the day before the 23-hour day to the day after"
	p.X.Label.Text = "hours since the run began, without clock changes"
	p.Y.Label.Text = "hosts"
	p.Legend.Top = true
	learned := Run(d, Learn, c.Seed).Trace
	fixed := Run(d, Fixed, c.Seed).Trace
	lines := []struct {
		name  string
		trace []Sample
		value func(Sample) float64
		color color.Color
	}{
		{"mean demand", learned, func(s Sample) float64 { return s.Demand }, color.RGBA{B: 200, A: 255}},
		{"held by learning the day", learned, func(s Sample) float64 { return float64(s.Hosts) }, color.RGBA{G: 130, A: 255}},
		{"moves in one minute", learned, func(s Sample) float64 { return float64(s.Moves) }, color.RGBA{R: 200, A: 255}},
		{"held by a fixed size", fixed, func(s Sample) float64 { return float64(s.Hosts) }, color.Gray{Y: 140}},
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
	return errors.Wrap(p.Save(drawingWidth, drawingHeight, c.Out), "write the drawing")
}

// points takes the samples of the three days around the spring change.
func points(trace []Sample, value func(Sample) float64) plotter.XYs {
	var xys plotter.XYs
	for _, s := range trace {
		if s.Since >= (springDay-1)*dayLength && s.Since < (springDay+2)*dayLength {
			xys = append(xys, plotter.XY{X: s.Since.Hours(), Y: value(s)})
		}
	}
	return xys
}
