// Package clock provides the system clock and a fake clock for tests.
package clock

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// System is the clock of the machine.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// Uptime returns the time since the machine's start, including suspension.
func (System) Uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(errors.Wrap(err, "read the boot clock")) // every Linux since 2.6.39 has it
	}
	return time.Duration(now.Nano())
}

// Sleep waits for d or until ctx ends.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Fake is a clock that only moves when Advance is called.
type Fake struct {
	mu    sync.Mutex
	start time.Time
	now   time.Time
	moved chan struct{}
}

// NewFake returns a fake clock set to start.
func NewFake(start time.Time) *Fake {
	return &Fake{start: start, now: start, moved: make(chan struct{})}
}

// Now returns the time of the fake clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Uptime returns the time by which the clock was advanced.
func (f *Fake) Uptime() time.Duration { return f.Now().Sub(f.start) }

// Advance moves the clock by d and wakes the sleepers whose time has come.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	close(f.moved)
	f.moved = make(chan struct{})
}

// Sleep waits until the clock has advanced by d or ctx ends.
func (f *Fake) Sleep(ctx context.Context, d time.Duration) error {
	until := f.Now().Add(d)
	for {
		f.mu.Lock()
		now, moved := f.now, f.moved
		f.mu.Unlock()
		if !now.Before(until) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-moved:
		}
	}
}
