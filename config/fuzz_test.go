package config_test

import (
	"strings"
	"testing"

	"indigoglade/config"
)

// FuzzReadContract checks that any bytes give either a valid contract or
// problems whose lines lie in the file, and never a panic.
func FuzzReadContract(f *testing.F) {
	f.Add(valid)
	f.Add("{")
	f.Add(`{"pools":[{},{}],"answer":[],"budget":3}`)
	f.Add("{\"customer\":\n\n\"a\" \"b\"}")
	f.Fuzz(func(t *testing.T, source string) {
		file := config.ReadContract("c.json", []byte(source))
		lines := strings.Count(source, "\n") + 1
		for _, p := range file.Problems() {
			if p.Line() < 1 || p.Line() > lines {
				t.Fatalf("line %d of %d: %s", p.Line(), lines, p)
			}
		}
	})
}
