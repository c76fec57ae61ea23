package calls

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// outcomeRequests is the number of requests of the run that checks outcomes.
const outcomeRequests = 20_000

// outcomeRun is the one run behind the measures of outcomes.
type outcomeRun struct {
	once  sync.Once
	tally *callCounts
	err   error
}

// measureOf returns a count of the run, which is made once.
func (t *outcomeRun) measureOf(pick func(*callCounts) int) func(seed uint64) (float64, error) {
	return func(seed uint64) (float64, error) {
		t.once.Do(func() { t.tally, t.err = runOutcomes(seed) })
		if t.err != nil {
			return 0, t.err
		}
		return float64(pick(t.tally)), nil
	}
}

// killPeriod is the time between kills of an entry host.
const killPeriod = 500 * time.Millisecond

// runOutcomes sends keyed work to seven entry hosts, some of it to two at once,
// with every fault at the endpoints, while entry hosts die and start again.
func runOutcomes(seed uint64) (*callCounts, error) {
	s, err := newSite(siteConfig{
		entries: 7, endpoints: 24, work: 2 * time.Millisecond, seed: seed,
		faultRate: func(int) float64 { return 0.06 },
	})
	if err != nil {
		return nil, err
	}
	defer s.close()
	killer := &killer{site: s, stop: make(chan struct{})}
	killer.done.Add(1)
	go killer.run()
	counts := drive(s, loadConfig{requests: outcomeRequests, callers: 160, duplicateShare: 0.2, retries: 1, abandonShare: 0.05})
	close(killer.stop)
	killer.done.Wait()
	if counts.outcomes["answered"] < outcomeRequests/2 || killer.kills == 0 {
		return nil, errors.Errorf("the run shows too little: %d kills, outcomes %v", killer.kills, counts.outcomes)
	}
	return counts, nil
}

// killer kills one entry host after the other and starts it again.
type killer struct {
	site  *site
	stop  chan struct{}
	done  sync.WaitGroup
	kills int
}

func (k *killer) run() {
	defer k.done.Done()
	ticker := time.NewTicker(killPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-k.stop:
			return
		case <-ticker.C:
			e := k.site.entries[k.kills%len(k.site.entries)]
			k.kills++
			e.kill()
			e.start(time.Now())
		}
	}
}
