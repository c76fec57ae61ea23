package roll

import (
	"time"

	glade "indigoglade"
	"indigoglade/daily"
	"indigoglade/demand"
	"indigoglade/memory"
)

// Dimensions and daily events of the large fleet in docs/CAPACITY.md.
const (
	largeHosts     = 26000
	largePools     = 196
	largeNodes     = 90
	restartsPerDay = 7800
	failuresPerDay = 190
	waveDays       = 35
	day            = 24 * time.Hour
)

// WritesPerSecond returns the rows per second that the large fleet writes on an ordinary day. It scales up
// the rows that the small deployment writes for each kind of event.
func WritesPerSecond(uint64) (float64, error) {
	planned, err := writesPerPlannedHost()
	if err != nil {
		return 0, err
	}
	restarted, err := writesPerRestart()
	if err != nil {
		return 0, err
	}
	rows := planned*largeHosts/waveDays + restarted*(restartsPerDay+failuresPerDay)
	rows += float64(largePools) * float64(day/daily.BinLength)
	rows += float64(largeNodes) * float64(day/demand.Period)
	return rows / day.Seconds(), nil
}

// writesPerPlannedHost returns the rows written for each host of a wave, including those for
// borrowed hosts and for the contract changes that start the wave.
func writesPerPlannedHost() (float64, error) {
	s, err := newDeployment()
	if err != nil {
		return 0, err
	}
	_, before := s.table.Counts()
	if _, err := s.runWave(); err != nil {
		return 0, err
	}
	_, after := s.table.Counts()
	return float64(after-before) / hostCount, nil
}

// outageTime is how long writesPerRestart keeps its host down.
const outageTime = 30 * time.Second

// writesPerRestart returns the rows written for one host that fails and comes back.
func writesPerRestart() (float64, error) {
	s, err := newDeployment()
	if err != nil {
		return 0, err
	}
	_, before := s.table.Counts()
	host := glade.Host("h00")
	s.workers.SetFault(host, memory.Dead)
	outageEnd := s.clock.Now().Add(outageTime)
	if _, err := s.runUntil(func() (bool, error) { return s.clock.Now().After(outageEnd), nil }); err != nil {
		return 0, err
	}
	s.workers.SetFault(host, memory.Healthy)
	if _, err := s.runUntil(func() (bool, error) { return s.poolsServe(hostsPerPool, customers...) }); err != nil {
		return 0, err
	}
	_, after := s.table.Counts()
	return float64(after - before), nil
}
