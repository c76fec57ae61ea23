package calls

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// truthRequests is the number of requests of the run that checks outcomes.
const truthRequests = 20_000

// truthRun is the one run behind the measures of outcomes.
type truthRun struct {
	once  sync.Once
	tally *tally
	err   error
}

// value returns a count of the run, which is made once.
func (t *truthRun) value(pick func(*tally) int) func(seed uint64) (float64, error) {
	return func(seed uint64) (float64, error) {
		t.once.Do(func() { t.tally, t.err = runTruth(seed) })
		if t.err != nil {
			return 0, t.err
		}
		return float64(pick(t.tally)), nil
	}
}

// killPeriod is the time between kills of an entry host.
const killPeriod = 500 * time.Millisecond

// runTruth sends keyed work to seven entry hosts, some of it to two at once,
// with every fault at the endpoints, while entry hosts die and start again.
func runTruth(seed uint64) (*tally, error) {
	s, err := newSite(siteConfig{
		entries: 7, endpoints: 24, work: 2 * time.Millisecond, seed: seed,
		bad: func(int) float64 { return 0.06 },
	})
	if err != nil {
		return nil, err
	}
	defer s.close()
	killer := &killer{site: s, stop: make(chan struct{})}
	killer.done.Add(1)
	go killer.run()
	seen := drive(s, driveConfig{requests: truthRequests, callers: 160, resend: 0.2, again: 1, leave: 0.05})
	close(killer.stop)
	killer.done.Wait()
	if seen.outcomes["answered"] < truthRequests/2 || killer.kills == 0 {
		return nil, errors.Errorf("the run shows too little: %d kills, outcomes %v", killer.kills, seen.outcomes)
	}
	return seen, nil
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
