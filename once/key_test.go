package once_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"indigoglade/once"
)

func expectText(t *testing.T, text string, ok bool) {
	t.Helper()
	qt.Check(t, once.CheckText(text), qt.Equals, ok, qt.Commentf("%q", text))
}

func TestCheckText(t *testing.T) {
	expectText(t, "a", true)
	expectText(t, strings.Repeat("k", once.MaxText), true)
	expectText(t, strings.Repeat("k", once.MaxText+1), false)
	expectText(t, "", false)
	expectText(t, "a b", false)
	expectText(t, "a\r\nOutcome: answered", false)
	expectText(t, "ü", false)
}

func FuzzKey(f *testing.F) {
	f.Add("kayseri.1")
	f.Add("00112233445566778899aabbccddeeff")
	f.Fuzz(func(t *testing.T, text string) {
		if once.CheckText(text) && strings.ContainsAny(text, "\r\n \x00") {
			t.Fatalf("%q would break a header", text)
		}
		if home := string(once.Home(text)); !strings.HasPrefix(text, home) {
			t.Fatalf("%q is not the start of %q", home, text)
		}
		var key once.Key
		if key.UnmarshalText([]byte(text)) != nil {
			return
		}
		back, err := key.MarshalText()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(back), qt.Equals, strings.ToLower(text))
	})
}

func TestOrderKeepsToTheHomeZone(t *testing.T) {
	w := newWorld(9, true)
	for i := range byte(50) {
		order := w.ring.Order(once.Key{i}, "z1")
		qt.Check(t, order, qt.HasLen, 9)
		for _, node := range order[:3] {
			qt.Check(t, string(w.zones[node]), qt.Equals, "z1")
		}
	}
}
