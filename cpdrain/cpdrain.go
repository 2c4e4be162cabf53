// Package cpdrain decides the steps of a graceful shutdown and of a VM that is taken out of service.
//
// The machine is pure: signals, the number of requests in flight and the time in, a state out.
// It neither serves, refuses nor ends anything itself.
package cpdrain

import (
	"time"

	"github.com/clementineport/clementineport"
)

// State is a step of the drain.
type State uint8

const (
	// StateServing means that the VM takes new work and is advised to callers.
	StateServing State = iota
	// StateLeaving means that the VM is out of advice and still takes new work.
	StateLeaving
	// StateRefusing means that the VM refuses new work and finishes what is in flight.
	StateRefusing
	// StateEnded means that the process may exit.
	StateEnded
)

var stateNames = [...]string{"serving", "leaving", "refusing", "ended"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

// Drain is the state machine of one process. It is not safe for concurrent use.
type Drain struct {
	options  Options
	state    State
	signals  int
	left     time.Time
	signaled time.Time
	takenOut bool
	abort    bool
	cut      int
}

// New returns a machine that serves.
func New(opts ...Option) *Drain {
	return &Drain{options: NewOptions(opts...)}
}

// State returns the current step.
func (d *Drain) State() State { return d.state }

// Leaving reports whether the VM announces to peers that it is leaving.
func (d *Drain) Leaving() bool { return d.signals > 0 }

// Listed reports whether the VM may appear in advice.
func (d *Drain) Listed() bool { return d.state == StateServing }

// Aborted returns the number of requests that were in flight when the bound on the whole drain ended it.
func (d *Drain) Aborted() int { return d.cut }

// Admit returns nil when new work is taken, or the refusal.
func (d *Drain) Admit() error {
	switch {
	case d.state < StateRefusing:
		return nil
	case d.takenOut && d.signals == 0:
		return clementineport.Fail(clementineport.FaultTakenOut, "this VM is out of service")
	default:
		return clementineport.Fail(clementineport.FaultDraining, "this VM is shutting down")
	}
}

// Signal records a request to shut down. The second one skips the wait for advice to run out,
// the third ends the process without waiting for requests in flight.
func (d *Drain) Signal(now time.Time) {
	d.signals++
	switch d.signals {
	case 1:
		d.signaled = now
		if !d.takenOut {
			d.leave(now)
		}
	case 2:
		d.state = max(d.state, StateRefusing)
	default:
		d.abort = true
	}
}

// SetOutOfService records whether operators have taken the VM out of service.
func (d *Drain) SetOutOfService(now time.Time, out bool) {
	if out == d.takenOut {
		return
	}
	d.takenOut = out
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
	d.left = now
}

// Tick moves the machine on; inFlight is the number of requests that this VM has not answered.
func (d *Drain) Tick(now time.Time, inFlight int) State {
	if d.state == StateLeaving && now.Sub(d.left) >= d.refuseAfter() {
		d.state = StateRefusing
	}
	if d.state != StateRefusing || d.signals == 0 {
		return d.state
	}
	if inFlight == 0 || d.abort || now.Sub(d.signaled) >= d.options.MaxDuration {
		d.state = StateEnded
		d.cut = inFlight
	}
	return d.state
}

// refuseAfter returns how long every advice that names this VM may still be in use.
func (d *Drain) refuseAfter() time.Duration {
	return min(d.options.PropagationTime+d.options.EntryListTTL, d.options.MaxDuration)
}
