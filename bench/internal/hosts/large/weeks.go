package large

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/budget"
	"indigoglade/wave"
)

// Failures and restarts per day in the large fleet, and how long a host is down for each cause.
const (
	fleetHosts      = 26000
	poolCount       = 196
	failuresPerDay  = 190
	restartsPerDay  = 7800
	failureDowntime = time.Hour
	restartDowntime = 6 * time.Minute
	plannedDowntime = 15 * time.Minute
	timeStep        = 15 * time.Minute
	maxWaveTime     = 35 * 24 * time.Hour
)

// WaveDays returns the number of days that a wave takes to maintain every host of the large fleet
// within its budgets, while hosts fail and restart. Pools do not share budgets, so each pool takes
// its own time and the slowest one counts.
func WaveDays(seed uint64) (float64, error) {
	slowest := time.Duration(0)
	for p := range poolCount {
		took, err := runPoolWave(p, rand.New(rand.NewPCG(seed, uint64(p))))
		if err != nil {
			return 0, err
		}
		slowest = max(slowest, took)
	}
	return slowest.Hours() / 24, nil
}

// runPoolWave runs the wave of pool p and returns the time it took, at most maxWaveTime.
func runPoolWave(p int, random *rand.Rand) (time.Duration, error) {
	spec := poolContract(p)
	spec.Wave = glade.WaveSpec{Name: "w", State: "run", DrainTime: spec.Wave.DrainTime}
	account := glade.AccountRow{Members: make(map[glade.Host]glade.Member)}
	for i := range hostsPerPool {
		l := listedHost(p+i*poolCount, "")
		account.Members[l.Host] = glade.Member{Zone: l.Zone, Rack: l.Rack}
	}
	// Map order is random; sorting makes a seed reproduce the same failures.
	hosts := slices.Sorted(maps.Keys(account.Members))
	outageEnds := make(map[glade.Host]time.Time)
	start := time.Unix(1_000_000, 0)
	for now := start; now.Sub(start) < maxWaveTime; now = now.Add(timeStep) {
		endOutages(&account, outageEnds, now)
		injectOutages(account, hosts, outageEnds, now, random)
		if err := startPlannedSteps(spec, account, outageEnds, now); err != nil {
			return 0, err
		}
		if done, total := wave.Progress(account, "w"); done == total {
			return now.Sub(start), nil
		}
	}
	return maxWaveTime, nil
}

// endOutages brings back the hosts whose outage has ended, charges their down time to the account,
// and drops charges that ended more than 24 hours ago.
func endOutages(account *glade.AccountRow, outageEnds map[glade.Host]time.Time, now time.Time) {
	for host, member := range account.Members {
		if member.Cause == glade.CauseNone || now.Before(outageEnds[host]) {
			continue
		}
		account.DownTimes = append(account.DownTimes, glade.DownTime{Host: host, From: member.Since, To: now.UnixMilli(), Cause: member.Cause})
		member.Cause, member.Since = glade.CauseNone, 0
		account.Members[host] = member
	}
	oldest := now.Add(-24 * time.Hour).UnixMilli()
	for len(account.DownTimes) > 0 && account.DownTimes[0].To < oldest {
		account.DownTimes = account.DownTimes[1:]
	}
}

// injectOutages makes hosts fail and restart at random, at the daily rates.
func injectOutages(account glade.AccountRow, hosts []glade.Host, outageEnds map[glade.Host]time.Time, now time.Time, random *rand.Rand) {
	steps := float64(24 * time.Hour / timeStep)
	for _, host := range hosts {
		chance := random.Float64() * steps * fleetHosts
		switch {
		case chance < failuresPerDay:
			takeDown(account, outageEnds, host, now, failureDowntime)
		case chance < failuresPerDay+restartsPerDay:
			takeDown(account, outageEnds, host, now, restartDowntime)
		}
	}
}

func takeDown(account glade.AccountRow, outageEnds map[glade.Host]time.Time, host glade.Host, now time.Time, down time.Duration) {
	member := account.Members[host]
	if member.Cause == glade.CauseNone {
		member.Since = now.UnixMilli()
	}
	member.Cause = glade.CauseFail
	account.Members[host] = member
	outageEnds[host] = now.Add(down)
}

// startPlannedSteps takes hosts down for maintenance until the wave has to wait. It returns an
// error if more hosts are down than the budget allows.
func startPlannedSteps(spec glade.ContractSpec, account glade.AccountRow, outageEnds map[glade.Host]time.Time, now time.Time) error {
	for {
		host, ok := wave.Next(spec, spec.Pools[0], account, now).Host()
		if !ok {
			return nil
		}
		member := account.Members[host]
		member.Cause, member.Since, member.Wave = glade.CausePlan, now.UnixMilli(), spec.Wave.Name
		account.Members[host] = member
		outageEnds[host] = now.Add(plannedDowntime)
		if budget.Down(account) > spec.Budget.Down {
			return errors.Errorf("%d hosts down, more than the budget allows", budget.Down(account))
		}
	}
}
