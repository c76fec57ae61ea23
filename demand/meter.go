// Package demand measures how many slots the requests of each service ask for,
// and reports this to the keepers in one row per entry host.
package demand

import (
	"sync"
	"time"

	glade "indigoglade"
)

// Meter adds up the durations of requests on an entry host. It is safe for
// concurrent use.
type Meter struct {
	mu       sync.Mutex
	since    time.Time
	services map[glade.Service]*serviceTotals
}

// serviceTotals holds what was recorded for a service in the current period.
type serviceTotals struct {
	duration  time.Duration
	completed int
	refused   int
	// meanDuration is that of the last period in which a request ran.
	meanDuration time.Duration
}

// NewMeter returns a meter whose first period starts at now.
func NewMeter(now time.Time) *Meter {
	return &Meter{since: now, services: make(map[glade.Service]*serviceTotals)}
}

// Record counts one request. A refused request asked for a slot too; it counts
// with the mean duration of the requests that ran in the same period, or else in the
// last period in which any ran. A nil meter records nothing.
func (m *Meter) Record(service glade.Service, outcome glade.Outcome, took time.Duration) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.services[service]
	if !ok {
		s = &serviceTotals{}
		m.services[service] = s
	}
	if outcome == glade.Refused {
		s.refused++
		return
	}
	s.completed++
	s.duration += took
}

// Take returns the mean number of slots that each service asked for since the
// last call, and starts a new period.
func (m *Meter) Take(now time.Time) map[glade.Service]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	period := now.Sub(m.since)
	m.since = now
	busy := make(map[glade.Service]float64, len(m.services))
	for service, s := range m.services {
		busy[service] = s.busySlots(period)
		*s = serviceTotals{meanDuration: s.mean()}
	}
	return busy
}

// mean returns the mean duration of the requests of this period, or of the last one in
// which any ran.
func (s *serviceTotals) mean() time.Duration {
	if s.completed == 0 {
		return s.meanDuration
	}
	return s.duration / time.Duration(s.completed)
}

func (s *serviceTotals) busySlots(period time.Duration) float64 {
	if period <= 0 {
		return 0
	}
	return float64(s.completed+s.refused) * s.mean().Seconds() / period.Seconds()
}
