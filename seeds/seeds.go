// Package seeds fixes the seed of property tests, so that a test run gives the
// same verdict every time, and lets the environment choose another.
package seeds

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Variable is the environment variable that chooses the seed: SEED=3 make test.
const Variable = "SEED"

const standard = 1

// Seed returns the seed of this run.
func Seed() uint64 {
	seed, err := strconv.ParseUint(os.Getenv(Variable), 10, 64)
	if err != nil || seed == 0 {
		return standard
	}
	return seed
}

// Check runs property count times on the seed of this run. The flags of rapid
// go before it, so that a failure can be replayed as rapid prints it.
func Check(t *testing.T, count int, property func(t *rapid.T)) {
	t.Helper()
	set(t, "rapid.seed", strconv.FormatUint(Seed(), 10))
	set(t, "rapid.checks", strconv.Itoa(count))
	rapid.Check(t, property)
}

// set gives a flag a value unless the command line gave it one. flag.Visit
// would not do: it also reports what an earlier Check has set.
func set(t *testing.T, name, value string) {
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
