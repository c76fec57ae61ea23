// Package effect tells whether an operation on another system has taken effect, from the results
// of all of its attempts.
//
// An attempt without an answer may have taken effect, and may still do so seconds later, after
// newer calls. The certain result of another call ends that doubt only if it is about the
// operation itself: that a repetition was rejected says nothing about the first attempt.
package effect

import "time"

// Result is the result of one attempt.
type Result int

// Results of an attempt.
const (
	// Rejected means that the attempt certainly had no effect and will have none.
	Rejected Result = iota
	// Lost means that there was no answer.
	Lost
	// Applied means that the operation has taken effect, by this attempt or an earlier one.
	Applied
)

// State is what is known about an operation.
type State int

// States of an operation.
const (
	// None means that no attempt has taken effect or still can.
	None State = iota
	// Unknown means that an attempt may have taken effect, or still may.
	Unknown
	// Done means that the operation has taken effect.
	Done
)

// Effect is an operation with the results of its attempts so far. The zero value is one without
// attempts.
type Effect struct {
	state  State
	doneAt time.Time
}

// Record records the result of an attempt, or of a later look at the other system that shows the
// effect (Applied), at the time at which it arrived. The first time of an effect counts.
func (e *Effect) Record(result Result, at time.Time) {
	switch {
	case e.state == Done || result == Rejected:
	case result == Lost:
		e.state = Unknown
	case result == Applied:
		e.state, e.doneAt = Done, at
	}
}

// Exclude records that no attempt has taken effect or still can, for a reason that covers all of
// them: an expired lease, a newer fencing token, a changed version.
func (e *Effect) Exclude() {
	if e.state == Unknown {
		e.state = None
	}
}

// State returns what is known.
func (e Effect) State() State { return e.state }

// IsDoneBefore reports whether the operation was known to have taken effect before a time. What
// is asked for from then on shows the effect.
func (e Effect) IsDoneBefore(at time.Time) bool { return e.state == Done && e.doneAt.Before(at) }

// DoneAt returns when the effect was first known, and false if it is not known.
func (e Effect) DoneAt() (time.Time, bool) { return e.doneAt, e.state == Done }
