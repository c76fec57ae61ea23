// Package page renders a burn report as a self-contained HTML page.
package page

import (
	"embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"indigoglade/burn"
)

//go:embed page.html
var files embed.FS

var pageTemplate = template.Must(template.New("page.html").Funcs(template.FuncMap{
	"time":  formatTime,
	"plot":  polyline,
	"level": func(y float64) string { return fmt.Sprintf("%.1f", plotHeight-y*plotHeight/maxPlotRate) },
}).ParseFS(files, "page.html"))

// Write renders the report as HTML to w.
func Write(w io.Writer, report burn.Report) error {
	return errors.Wrap(pageTemplate.Execute(w, report), "write page")
}

func formatTime(ms int64) string {
	if ms == 0 {
		return "never"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05 UTC")
}

// Size of a plot in pixels, and the burn rate at its top.
const (
	plotWidth   = 480.0
	plotHeight  = 80.0
	maxPlotRate = 12.0
)

// polyline returns the points attribute of an SVG polyline: time on the x axis,
// burn rate on the y axis. Rates above maxPlotRate are clipped.
func polyline(points []burn.Point) string {
	if len(points) == 0 {
		return ""
	}
	first, last := points[0].At, points[len(points)-1].At
	duration := max(last-first, 1)
	var b strings.Builder
	for _, p := range points {
		x := float64(p.At-first) / float64(duration) * plotWidth
		y := plotHeight - min(p.Rate, maxPlotRate)*plotHeight/maxPlotRate
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return strings.TrimSpace(b.String())
}
