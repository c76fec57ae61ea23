package calls

import (
	"time"

	"github.com/pkg/errors"
)

// runSlots fills the slots of every endpoint from a number of entry hosts,
// while some answers are late and some callers leave, and returns the greatest
// number in flight on one endpoint.
func runSlots(entries int) func(seed uint64) (float64, error) {
	return func(seed uint64) (float64, error) {
		s, err := newSite(siteConfig{
			entries: entries, endpoints: 12, work: 4 * time.Millisecond, repeatable: true, seed: seed,
			bad: func(int) float64 { return 0.01 }, kinds: []fault{late},
		})
		if err != nil {
			return 0, err
		}
		defer s.close()
		seen := drive(s, driveConfig{requests: 6000, callers: 300, leave: 0.1})
		if seen.outcomes["answered"] < 2000 {
			return 0, errors.Errorf("the run shows too little: outcomes %v", seen.outcomes)
		}
		return float64(s.peak()), nil
	}
}

// runAmplify lets half of the endpoints fail at once, and returns the load on
// endpoints over the fresh load.
func runAmplify(seed uint64) (float64, error) {
	const requests = 6000
	s, err := newSite(siteConfig{
		entries: 7, endpoints: 12, work: 4 * time.Millisecond, repeatable: true, seed: seed,
		bad: func(i int) float64 { return float64(i / 6) }, kinds: []fault{failing, cutting},
	})
	if err != nil {
		return 0, err
	}
	defer s.close()
	seen := drive(s, driveConfig{requests: requests, callers: 64})
	if seen.outcomes["answered"] < requests/2 {
		return 0, errors.Errorf("the run shows too little: outcomes %v", seen.outcomes)
	}
	return float64(s.ledger.total()) / requests, nil
}
