package calls

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const outcomeRequests = 20_000

// outcomeRun is the single run that all measures of outcomes share.
type outcomeRun struct {
	once  sync.Once
	tally *callCounts
	err   error
}

// measureOf returns a measure that reads one count of the run. The seed of the first measure is
// used for all.
func (t *outcomeRun) measureOf(pick func(*callCounts) int) func(seed uint64) (float64, error) {
	return func(seed uint64) (float64, error) {
		t.once.Do(func() { t.tally, t.err = runOutcomes(seed) })
		if t.err != nil {
			return 0, t.err
		}
		return float64(pick(t.tally)), nil
	}
}

// killPeriod is the time between two kills of an entry host.
const killPeriod = 500 * time.Millisecond

// runOutcomes sends requests with keys to seven entry hosts, some of them to two at the same time,
// while endpoints show every fault and entry hosts are killed and restarted.
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
		return nil, errors.Errorf("too few kills or answers to judge the run: %d kills, outcomes %v", killer.kills, counts.outcomes)
	}
	return counts, nil
}

// killer kills and restarts the entry hosts in turn.
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
