package lead

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	glade "indigoglade"
)

// TestWaveSize guards against a row of a wave that the store rejects: then no host of any wave begins its maintenance.
func TestWaveSize(t *testing.T) {
	hosts := func(prefix string, count, bytes int) []glade.Host {
		var list []glade.Host
		for i := range count {
			list = append(list, glade.Host(fmt.Sprintf("%s%0*d", prefix, bytes-1, i)))
		}
		return list
	}
	expectRows := func(name string, rows int, wave WaveRow) {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			stored := make(map[wavePart]WaveRow)
			parts := wave.split()
			for i, part := range parts {
				c.Assert(len(encodeRow(part)) <= glade.MaxRowBytes, qt.IsTrue, qt.Commentf("%d bytes", len(encodeRow(part))))
				p := wavePart{wave: 7, part: i}
				got, err := parseWavePart(p.key())
				c.Assert(err, qt.IsNil)
				c.Assert(got == p, qt.IsTrue)
				stored[p] = part
			}
			c.Assert(parts, qt.HasLen, rows)
			stored[wavePart{wave: 7, part: rows}] = WaveRow{Started: hosts("z", 1, 20)} // of an earlier write
			c.Assert(mergeWaves(stored), qt.DeepEquals, map[int64]WaveRow{7: wave})
		})
	}
	expectRows("done", 1, WaveRow{FirstSeenMs: 5, Done: true})
	expectRows("one row", 1, WaveRow{FirstSeenMs: 5, Started: hosts("a", 1000, 20), Requested: hosts("b", 20, 20)})
	expectRows("several rows", 3, WaveRow{FirstSeenMs: 5, Started: hosts("a", 5000, 20), Requested: hosts("b", 20, 20)})
	expectRows("long names", 5, WaveRow{FirstSeenMs: 5, Started: hosts("a", 3000, 64), Requested: hosts("b", 500, 64)})
	t.Run("another key", func(t *testing.T) {
		for _, key := range []string{"", "x", "7.x", ".1", "7.0", "7.-1"} {
			_, err := parseWavePart(key)
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q", key))
		}
	})
}
