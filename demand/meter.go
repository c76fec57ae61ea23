// Package demand measures how many slots the requests of each service ask for,
// and brings it to the keepers through one row for each entry host.
package demand

import (
	"sync"
	"time"

	glade "indigoglade"
)

// Meter adds up the time of requests on an entry host.
type Meter struct {
	mu       sync.Mutex
	since    time.Time
	services map[glade.Service]*sum
}

// sum is what was recorded of a service since the last period.
type sum struct {
	took    time.Duration
	ran     int
	refused int
}

// NewMeter returns a meter that starts at now.
func NewMeter(now time.Time) *Meter {
	return &Meter{since: now, services: make(map[glade.Service]*sum)}
}

// Record counts one request. A refused request asked for a slot too; it counts
// as long as those that ran. A nil meter records nothing.
func (m *Meter) Record(service glade.Service, outcome glade.Outcome, took time.Duration) {
	if m == nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.services[service]
	if !ok {
		s = &sum{}
		m.services[service] = s
	}
	if outcome == glade.Refused {
		s.refused++
		return
	}
	s.ran++
	s.took += took
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
		busy[service] = s.busy(period)
		*s = sum{}
	}
	return busy
}

func (s *sum) busy(period time.Duration) float64 {
	if s.ran == 0 || period <= 0 {
		return 0
	}
	asked := float64(s.ran+s.refused) / float64(s.ran)
	return asked * s.took.Seconds() / period.Seconds()
}
