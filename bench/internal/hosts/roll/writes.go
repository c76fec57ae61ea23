package roll

import (
	"time"

	glade "indigoglade"
	"indigoglade/demand"
	"indigoglade/memory"
	"indigoglade/shape"
)

// Events of an ordinary day at the size of docs/CAPACITY.md.
const (
	largeHosts    = 26000
	largePools    = 196
	largeNodes    = 90
	restartsDaily = 7800
	failsDaily    = 190
	waveDays      = 35
	day           = 24 * time.Hour
)

// Writes returns the rows that the fleet writes a second on an ordinary day of
// the large fleet, from the rows that a small one writes for each event.
func Writes(uint64) (float64, error) {
	planned, err := plannedWrites()
	if err != nil {
		return 0, err
	}
	restarted, err := restartWrites()
	if err != nil {
		return 0, err
	}
	rows := planned*largeHosts/waveDays + restarted*(restartsDaily+failsDaily)
	rows += float64(largePools) * float64(day/shape.BinLength)
	rows += float64(largeNodes) * float64(day/demand.Period)
	return rows / day.Seconds(), nil
}

// plannedWrites returns the rows written for each host of a wave, borrowed
// hosts and contracts included.
func plannedWrites() (float64, error) {
	s, err := newSite()
	if err != nil {
		return 0, err
	}
	_, before := s.table.Counts()
	if _, err := s.wave(); err != nil {
		return 0, err
	}
	_, after := s.table.Counts()
	return float64(after-before) / hostCount, nil
}

// outage is how long the host of restartWrites is away.
const outage = 30 * time.Second

// restartWrites returns the rows written for a host that goes away and comes
// back.
func restartWrites() (float64, error) {
	s, err := newSite()
	if err != nil {
		return 0, err
	}
	_, before := s.table.Counts()
	host := glade.Host("h00")
	s.workers.SetFault(host, memory.Dead)
	away := s.clock.Now().Add(outage)
	if _, err := s.until(func() (bool, error) { return s.clock.Now().After(away), nil }); err != nil {
		return 0, err
	}
	s.workers.SetFault(host, memory.Healthy)
	if _, err := s.until(func() (bool, error) { return s.holds(poolHosts, customers...) }); err != nil {
		return 0, err
	}
	_, after := s.table.Counts()
	return float64(after - before), nil
}
