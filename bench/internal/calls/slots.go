package calls

import (
	"time"

	"github.com/pkg/errors"
)

// runSlots returns a measure that fills the slots of every endpoint from a number of entry hosts,
// while some answers are late and some callers disconnect. Its value is the largest number of
// concurrent requests on one endpoint.
func runSlots(entries int) func(seed uint64) (float64, error) {
	return func(seed uint64) (float64, error) {
		s, err := newSite(siteConfig{
			entries: entries, endpoints: 12, work: 4 * time.Millisecond, repeatable: true, seed: seed,
			faultRate: func(int) float64 { return 0.01 }, faults: []fault{answeringLate},
		})
		if err != nil {
			return 0, err
		}
		defer s.close()
		counts := drive(s, loadConfig{requests: 6000, callers: 300, abandonShare: 0.1})
		if counts.outcomes["answered"] < 2000 {
			return 0, errors.Errorf("too few answers to judge the run: outcomes %v", counts.outcomes)
		}
		return float64(s.maxInFlight()), nil
	}
}

// runAmplify makes half of the endpoints fail every request and returns the number of executions
// per request.
func runAmplify(seed uint64) (float64, error) {
	const requests = 6000
	s, err := newSite(siteConfig{
		entries: 7, endpoints: 12, work: 4 * time.Millisecond, repeatable: true, seed: seed,
		faultRate: func(i int) float64 { return float64(i / 6) }, faults: []fault{failStatus, truncating},
	})
	if err != nil {
		return 0, err
	}
	defer s.close()
	counts := drive(s, loadConfig{requests: requests, callers: 64})
	if counts.outcomes["answered"] < requests/2 {
		return 0, errors.Errorf("too few answers to judge the run: outcomes %v", counts.outcomes)
	}
	return float64(s.ledger.total()) / requests, nil
}
