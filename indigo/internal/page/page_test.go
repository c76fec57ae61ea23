package page

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"indigoglade/burn"
)

func TestPageIsSelfContained(t *testing.T) {
	var b bytes.Buffer
	report := burn.Report{
		Lines: []burn.Line{{Customer: "<b>dealers</b>", Promise: burn.PromiseAnswers, Level: burn.LevelFast, Points: []burn.Point{{At: 0, Rate: 6}, {At: 10, Rate: 100}}}},
		Gaps:  []burn.Gap{{Node: "e1", Cause: burn.Unreachable}},
	}
	quicktest.Assert(t, Write(&b, report), quicktest.IsNil)
	text := b.String()
	t.Run("escapes names", func(t *testing.T) { quicktest.Assert(t, strings.Contains(text, "<b>"), quicktest.IsFalse) })
	t.Run("plots", func(t *testing.T) {
		quicktest.Assert(t, strings.Contains(text, `points="0.0,40.0 480.0,0.0"`), quicktest.IsTrue)
	})
	t.Run("has no external resources", func(t *testing.T) {
		for _, word := range []string{"http:", "https:", "<script", "<link", "src="} {
			quicktest.Assert(t, strings.Contains(text, word), quicktest.IsFalse, quicktest.Commentf("%s", word))
		}
	})
	t.Run("is well formed", func(t *testing.T) {
		svg := text[strings.Index(text, "<svg"):strings.Index(text, "</svg>")] + "</svg>"
		decoder := xml.NewDecoder(strings.NewReader(svg))
		for {
			if _, err := decoder.Token(); err != nil {
				quicktest.Assert(t, err, quicktest.Equals, io.EOF)
				return
			}
		}
	})
}
