package worth

import (
	"embed"
	"html/template"
	"io"

	"github.com/pkg/errors"
)

//go:embed page.html
var files embed.FS

// Size of a bar of a window in pixels.
const (
	barWidth  = 14.0
	barHeight = 80.0
)

var pageTemplate = template.Must(template.New("page.html").Funcs(template.FuncMap{
	"left":   func(i int) float64 { return float64(i) * barWidth },
	"width":  func(groups []Group) float64 { return float64(len(groups)) * barWidth },
	"height": func(earned float64) float64 { return earned * barHeight },
	"top":    func(earned float64) float64 { return (1 - earned) * barHeight },
}).ParseFS(files, "page.html"))

// WriteHTML renders the report as a self-contained page, on which each window of a day
// is a bar as high as what it has earned.
func (r Report) WriteHTML(w io.Writer) error {
	return errors.Wrap(pageTemplate.Execute(w, r), "write page")
}
