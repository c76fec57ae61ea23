package fleet

import (
	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/stand/internal/fault"
)

// ErrDraining refuses a task on a host that drains.
var ErrDraining = errors.Wrap(glade.ErrRefused, "host is draining")

// errBooting is the error of a call to a host that restarts.
var errBooting = errors.New("host is booting")

// StartTask starts a task under a lease.
func (r *Runner) StartTask(epoch uint64, spec glade.Task) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epoch {
		return ErrEpoch
	}
	if r.isBooting() || r.listed.Leaving {
		return ErrDraining
	}
	r.epoch = epoch
	r.tasks.SetFailing(r.Fault() == fault.Fail)
	begun, err := r.tasks.Start(spec, r.clock.Now())
	if begun {
		r.book.StartTask(spec.Job)
	}
	return err
}

// StopTask ends a task.
func (r *Runner) StopTask(id string, withCheckpoint bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() {
		return errBooting
	}
	r.tasks.Stop(id, withCheckpoint, r.clock.Now())
	return nil
}

// ThrottleTask limits a task to a number of cores.
func (r *Runner) ThrottleTask(id string, cores int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() {
		return errBooting
	}
	r.tasks.Throttle(id, cores, r.clock.Now())
	return nil
}

// Tasks reports every task and renews their leases.
func (r *Runner) Tasks() ([]glade.TaskState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() {
		return nil, errBooting
	}
	r.tasks.SetFailing(r.Fault() == fault.Fail)
	return r.tasks.Report(r.clock.Now()), nil
}
