// Package cpdrain implements the state machine of a graceful shutdown and of taking a VM out of service.
//
// The machine is pure: its inputs are signals, the number of requests in flight and the time, its output is a state.
// The process that uses it serves, refuses and ends requests accordingly.
package cpdrain

import (
	"time"

	"github.com/clementineport/clementineport"
)

// State is a state of the drain.
type State uint8

const (
	// StateServing means that the VM accepts new work and appears in entry lists.
	StateServing State = iota
	// StateLeaving means that the VM no longer appears in new entry lists and still accepts new work.
	StateLeaving
	// StateRefusing means that the VM refuses new work and finishes what is in flight.
	StateRefusing
	// StateAnswering means that the VM has ended the requests in flight and writes their answers.
	StateAnswering
	// StateEnded means that the process may exit.
	StateEnded
)

var stateNames = [...]string{"serving", "leaving", "refusing", "answering", "ended"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Drain is the state machine of one process. It is not safe for concurrent use.
type Drain struct {
	options      Options
	state        State
	signals      int
	leftAt       time.Time
	signaledAt   time.Time
	answeringAt  time.Time
	outOfService bool
	forced       bool
	aborted      int
}

// New returns a Drain in StateServing.
func New(opts ...Option) *Drain {
	return &Drain{options: NewOptions(opts...)}
}

// State returns the current state.
func (d *Drain) State() State { return d.state }

// Leaving reports whether the VM should announce to its peers that it is leaving.
func (d *Drain) Leaving() bool { return d.signals > 0 }

// Listed reports whether the VM may appear in entry lists.
func (d *Drain) Listed() bool { return d.state == StateServing }

// Aborted returns the number of requests whose answers were not written when the drain ended.
func (d *Drain) Aborted() int { return d.aborted }

// Admit returns nil if new work is accepted, or the error to refuse it with.
func (d *Drain) Admit() error {
	switch {
	case d.state < StateRefusing:
		return nil
	case d.outOfService && d.signals == 0:
		return clementineport.Fail(clementineport.FaultTakenOut, "this VM is out of service")
	default:
		return clementineport.Fail(clementineport.FaultDraining, "this VM is shutting down")
	}
}

// usualDuration is the number of objectives, or of high latencies, within which nearly every request of a route is answered.
const usualDuration = 3

// AdmitRequest returns nil if a request on a route is accepted, or the error to refuse it with. During a shutdown it is accepted only
// if it will probably have ended before the VM ends what is in flight. latency is the time within which most calls of the route have
// been answered lately, or zero if it is not known. A request that is not idempotent is then expected to take until its deadline.
func (d *Drain) AdmitRequest(now time.Time, route *clementineport.Route, deadline time.Time, latency time.Duration) error {
	if d.signals == 0 {
		return nil
	}
	end := deadline
	if route.Idempotent || latency > 0 {
		usual := now.Add(usualDuration * max(route.Objective, latency))
		end = earlier(deadline, usual)
	}
	if end.After(d.answersFrom()) {
		return clementineport.Fail(clementineport.FaultDraining, "this VM shuts down before the request would end")
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// answersFrom returns when the VM ends the requests that are in flight.
func (d *Drain) answersFrom() time.Time {
	return d.signaledAt.Add(d.options.MaxDuration - d.options.AnswerTime)
}

// Signal records a request to shut down. The second one skips the wait for entry lists to expire,
// the third ends the requests in flight.
func (d *Drain) Signal(now time.Time) {
	d.signals++
	switch d.signals {
	case 1:
		d.signaledAt = now
		if !d.outOfService {
			d.leave(now)
		}
	case 2:
		d.state = max(d.state, StateRefusing)
	default:
		d.forced = true
	}
}

// SetOutOfService records whether operators have taken the VM out of service. This has no effect on the state during a
// shutdown.
func (d *Drain) SetOutOfService(now time.Time, out bool) {
	if out == d.outOfService {
		return
	}
	d.outOfService = out
	if d.signals > 0 {
		return
	}
	if out {
		d.leave(now)
		return
	}
	d.state = StateServing
}

func (d *Drain) leave(now time.Time) {
	d.state = max(d.state, StateLeaving)
	d.leftAt = now
}

// Tick advances the machine and returns its state; inFlight is the number of requests that this VM has not answered.
func (d *Drain) Tick(now time.Time, inFlight int) State {
	if d.state == StateLeaving && now.Sub(d.leftAt) >= d.refuseAfter() {
		d.state = StateRefusing
	}
	if d.state == StateRefusing && d.signals > 0 && (inFlight == 0 || d.forced || !now.Before(d.answersFrom())) {
		d.state, d.answeringAt = StateAnswering, now
	}
	if d.state == StateAnswering && (inFlight == 0 || now.Sub(d.answeringAt) >= d.options.AnswerTime) {
		d.state, d.aborted = StateEnded, inFlight
	}
	return d.state
}

// refuseAfter returns how long the VM accepts new work after it left the entry lists, which is the time
// for which callers may still use a list that contains it.
func (d *Drain) refuseAfter() time.Duration {
	return min(d.options.PropagationTime+d.options.EntryListTTL, d.options.MaxDuration)
}
