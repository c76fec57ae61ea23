package fault

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func expectProblem(t *testing.T, source, path string) {
	t.Helper()
	problems := Read("script.json", []byte(source)).Problems()
	quicktest.Assert(t, problems, quicktest.HasLen, 1)
	quicktest.Assert(t, problems[0].Path(), quicktest.Equals, path)
}

func TestReadRejectsInvalidFaults(t *testing.T) {
	t.Run("place", func(t *testing.T) {
		expectProblem(t, `{"faults": [{"at": "0s", "for": "1s", "fault": "down", "where": "moon"}]}`, "/faults/0/where")
	})
	t.Run("kind", func(t *testing.T) {
		expectProblem(t, `{"faults": [{"at": "0s", "for": "1s", "fault": "cross", "where": "table"}]}`, "/faults/0/fault")
	})
	t.Run("length", func(t *testing.T) {
		expectProblem(t, `{"faults": [{"at": "0s", "for": "0s", "fault": "down", "where": "table"}]}`, "/faults/0/for")
	})
}

func expectKind(t *testing.T, b *Schedule, where string, after time.Duration, want Kind) {
	t.Helper()
	quicktest.Assert(t, b.At(where, start.Add(after)), quicktest.Equals, want)
}

func TestFaultsActiveDuringTheirInterval(t *testing.T) {
	b := New()
	script := Read("script.json", []byte(`{"faults": [
		{"at": "2s", "for": "3s", "fault": "lossy", "where": "table"},
		{"at": "1s", "for": "1s", "fault": "down", "where": "rack/r01"},
		{"at": "1s", "for": "1s", "fault": "cross", "where": "host/h004"},
		{"at": "4s", "for": "1s", "fault": "cut", "where": "zone/konya"},
	]}`))
	quicktest.Assert(t, script.Problems(), quicktest.HasLen, 0)
	b.Start(script.Value(), start)

	t.Run("before", func(t *testing.T) { expectKind(t, b, Table, time.Second, None) })
	t.Run("begin", func(t *testing.T) { expectKind(t, b, Table, 2*time.Second, Lossy) })
	t.Run("end", func(t *testing.T) { expectKind(t, b, Table, 5*time.Second, None) })
	t.Run("host overrides rack", func(t *testing.T) {
		quicktest.Assert(t, b.AtHost("h004", "r01", start.Add(time.Second)), quicktest.Equals, Cross)
		quicktest.Assert(t, b.AtHost("h005", "r01", start.Add(time.Second)), quicktest.Equals, Down)
	})
	t.Run("zone", func(t *testing.T) {
		quicktest.Assert(t, b.IsCut("konya", start.Add(4*time.Second)), quicktest.IsTrue)
		quicktest.Assert(t, b.IsCut("sivas", start.Add(4*time.Second)), quicktest.IsFalse)
	})
}
