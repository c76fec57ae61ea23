// Package page writes a burn report as one HTML file that needs nothing else.
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

var layout = template.Must(template.New("page.html").Funcs(template.FuncMap{
	"time":  formatTime,
	"plot":  plot,
	"level": func(y float64) string { return fmt.Sprintf("%.1f", height-y*height/scaleTop) },
}).ParseFS(files, "page.html"))

// Write writes the page.
func Write(w io.Writer, report burn.Report) error {
	return errors.Wrap(layout.Execute(w, report), "write page")
}

func formatTime(ms int64) string {
	if ms == 0 {
		return "never"
	}
	return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05 UTC")
}

// Size of a plot in pixels, and the greatest burn rate that it shows.
const (
	width    = 480.0
	height   = 80.0
	scaleTop = 12.0
)

// plot returns the points of a polyline: time to the right, burn rate upwards.
// Rates above the top are drawn at the top.
func plot(points []burn.Point) string {
	if len(points) == 0 {
		return ""
	}
	first, last := points[0].At, points[len(points)-1].At
	length := max(last-first, 1)
	var b strings.Builder
	for _, p := range points {
		x := float64(p.At-first) / float64(length) * width
		y := height - min(p.Rate, scaleTop)*height/scaleTop
		fmt.Fprintf(&b, "%.1f,%.1f ", x, y)
	}
	return strings.TrimSpace(b.String())
}
