package fleet

import (
	"github.com/pkg/errors"

	glade "indigoglade"
	"indigoglade/stand/internal/fault"
)

// ErrDraining is returned for the start of a task on a host that is draining or
// booting.
var ErrDraining = errors.Wrap(glade.ErrRefused, "host is draining")

// errBooting is returned for a task command to a host that is booting.
var errBooting = errors.New("host is booting")

// StartTask starts a task under a lease. The epoch is checked and recorded as in
// Drain.
func (r *Runner) StartTask(epoch uint64, spec glade.Task) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if epoch < r.epoch {
		return ErrStaleEpoch
	}
	if r.isBooting() || r.listed.Leaving {
		return ErrDraining
	}
	r.epoch = epoch
	r.tasks.SetFailing(r.Fault() == fault.Fail)
	begun, err := r.tasks.Start(spec, r.clock.Now())
	if begun {
		r.ledger.StartTask(spec.Job)
	}
	return err
}

// StopTask stops a task, after a checkpoint if withCheckpoint is set.
func (r *Runner) StopTask(id string, withCheckpoint bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() {
		return errBooting
	}
	r.tasks.Stop(id, withCheckpoint, r.clock.Now())
	return nil
}

// ThrottleTask limits the number of cores that a task uses.
func (r *Runner) ThrottleTask(id string, cores int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() {
		return errBooting
	}
	r.tasks.Throttle(id, cores, r.clock.Now())
	return nil
}

// Tasks returns the state of all tasks and renews their leases.
func (r *Runner) Tasks() ([]glade.TaskState, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isBooting() {
		return nil, errBooting
	}
	r.tasks.SetFailing(r.Fault() == fault.Fail)
	return r.tasks.Report(r.clock.Now()), nil
}
