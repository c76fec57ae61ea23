package quorum_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"indigoglade/quorum"
)

func expectValid(t *testing.T, text string, ok bool) {
	t.Helper()
	qt.Check(t, quorum.IsValidCallerKey(text), qt.Equals, ok, qt.Commentf("%q", text))
}

func TestCheckText(t *testing.T) {
	expectValid(t, "a", true)
	expectValid(t, strings.Repeat("k", quorum.MaxCallerKeyBytes), true)
	expectValid(t, strings.Repeat("k", quorum.MaxCallerKeyBytes+1), false)
	expectValid(t, "", false)
	expectValid(t, "a b", false)
	expectValid(t, "a\r\nOutcome: answered", false)
	expectValid(t, "ü", false)
}

func FuzzKey(f *testing.F) {
	f.Add("kayseri.1")
	f.Add("00112233445566778899aabbccddeeff")
	f.Fuzz(func(t *testing.T, text string) {
		if quorum.IsValidCallerKey(text) && strings.ContainsAny(text, "\r\n \x00") {
			t.Fatalf("key %q with white space or a NUL was accepted; it could break a header", text)
		}
		if home := string(quorum.HomeZone(text)); !strings.HasPrefix(text, home) {
			t.Fatalf("home zone %q is not a prefix of key %q", home, text)
		}
		var key quorum.Key
		if key.UnmarshalText([]byte(text)) != nil {
			return
		}
		back, err := key.MarshalText()
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(back), qt.Equals, strings.ToLower(text))
	})
}

func TestOrderPutsTheHomeZoneFirst(t *testing.T) {
	c := newCluster(9, true)
	for i := range byte(50) {
		order := c.rendezvous.Order(quorum.Key{i}, "z1")
		qt.Check(t, order, qt.HasLen, 9)
		for _, node := range order[:3] {
			qt.Check(t, string(c.zones[node]), qt.Equals, "z1")
		}
	}
}
