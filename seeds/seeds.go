// Package seeds fixes the random seed of property tests, so that test runs are
// reproducible. An environment variable selects another seed.
package seeds

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// EnvVar is the environment variable with the seed: SEED=3 make test.
const EnvVar = "SEED"

const defaultSeed = 1

// Seed returns the seed of this test run.
func Seed() uint64 {
	seed, err := strconv.ParseUint(os.Getenv(EnvVar), 10, 64)
	if err != nil || seed == 0 {
		return defaultSeed
	}
	return seed
}

// Check runs property count times with the seed of this test run. Flags of
// rapid on the command line take precedence, so that a failure can be replayed
// with the command that rapid prints.
func Check(t *testing.T, count int, property func(t *rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.seed", strconv.FormatUint(Seed(), 10))
	setFlag(t, "rapid.checks", strconv.Itoa(count))
	rapid.Check(t, property)
}

// setFlag sets a flag unless the command line sets it. flag.Visit can't tell:
// it also reports the flags that an earlier Check has set.
func setFlag(t *testing.T, name, value string) {
	t.Helper()
	for _, arg := range os.Args {
		if strings.HasPrefix(strings.TrimLeft(arg, "-"), name+"=") {
			return
		}
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
