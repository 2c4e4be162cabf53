// Package cpfanout decides the course of one forwarded request over its shards: which target is asked when, which calls
// are sent again, and when the answer is closed. A request that one target answers alone has one shard.
//
// It is a pure state machine: results and the time in, actions out. It sends nothing and is not safe for concurrent
// use.
package cpfanout

import (
	"math"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
)

// Availability says why no target was chosen.
type Availability uint8

const (
	// Available means that a target was chosen.
	Available Availability = iota
	// Busy means that targets are usable but not at this moment.
	Busy
	// Unavailable means that no target is usable.
	Unavailable
)

// Purpose says what a call is for.
type Purpose uint8

const (
	// First is the first call of a shard.
	First Purpose = iota
	// Late is the first call of a shard for a request whose objective has passed.
	Late
	// Hedge is a call beside one that is slow.
	Hedge
	// Retry is a call after all earlier ones have failed.
	Retry
)

// Targets chooses targets.
type Targets interface {
	// Choose returns a target of a service that excluded does not report.
	Choose(now time.Time, service clementineport.ServiceID, purpose Purpose, excluded func(*cpbalancer.Target) bool) (*cpbalancer.Target, Availability)
	// SpendExtraCall takes one extra call to a service from the budget, or reports that there is none. The value of the
	// call is between 0 and 1.
	SpendExtraCall(service clementineport.ServiceID, value float64) bool
	// Latency returns how long the target of a service that would probably answer first takes. It is zero when one
	// has room, as far as is known, or none is usable.
	Latency(now time.Time, service clementineport.ServiceID) time.Duration
}

// Send asks for a call.
type Send struct {
	Shard   int
	Attempt int
	Target  *cpbalancer.Target
	// Extra is true for a call beyond the first one of its shard.
	Extra bool
}

// Result is what became of a call.
type Result struct {
	Shard   int
	Attempt int
	// Part is the response, also one that reports a failure; nil with Fault set otherwise.
	Part  *clementineport.OpaqueResponse
	Fault clementineport.Fault
}

// Plan is what a request needs.
type Plan struct {
	Shards     []clementineport.ServiceID
	Gathers    bool
	Idempotent bool
	// FinalAttempt is true when the caller probably won't come back.
	FinalAttempt bool
	// MaxAttempts bounds the targets of one shard.
	MaxAttempts int
	// MinShards is the number of shards from which on an answer is a success.
	MinShards int
	// Objective is when the answer is best closed, or zero; Deadline is when it must be.
	Objective time.Time
	Deadline  time.Time
	// HedgeAfter is how long a call may take before another target is asked.
	HedgeAfter time.Duration
}

// MinShards returns the number of shards that make up a share of all, at least one.
func MinShards(share float64, shards int) int {
	const rounding = 1e-9
	return max(1, int(math.Ceil(share*float64(shards)-rounding)))
}

// Fanout is the state of one request. Its zero value is not usable.
type Fanout struct {
	options Options
	plan    Plan
	targets Targets
	shards  []shard
	covered int
	failed  int
	stats   Stats
	began   time.Time
	ended   bool
	sends   []Send
}

// New returns the state of a request that has not begun.
func New(plan Plan, targets Targets, opts ...Option) *Fanout {
	f := &Fanout{options: NewOptions(opts...), plan: plan, targets: targets, shards: make([]shard, len(plan.Shards))}
	f.stats.Shards = len(plan.Shards)
	return f
}

// Start returns the first calls. Nothing is sent when too few shards have a usable target.
func (f *Fanout) Start(now time.Time) []Send {
	f.sends = f.sends[:0]
	f.began = now
	f.hold(now)
	for i := range f.shards {
		f.first(now, i)
	}
	late := !now.Before(f.plan.Deadline)
	if late || f.hopeless() {
		f.withdraw(late)
	}
	f.close(now)
	return f.sends
}

// withdraw takes back calls that are not sent yet.
func (f *Fanout) withdraw(late bool) {
	f.sends = f.sends[:0]
	for i := range f.shards {
		f.shards[i].attempts = nil
		if late {
			f.shards[i].fault = clementineport.FaultDeadline
		}
	}
	f.stats.Sends = 0
}

// Done takes the result of a call and returns further calls.
func (f *Fanout) Done(now time.Time, r *Result) []Send {
	f.sends = f.sends[:0]
	if f.ended {
		return nil
	}
	s := &f.shards[r.Shard]
	a := &s.attempts[r.Attempt]
	a.over = true
	if s.state == open {
		f.settle(now, r, s, a)
		f.release(now)
		f.due(now, r.Shard)
	}
	f.close(now)
	return f.sends
}

// Tick returns the calls that are due.
func (f *Fanout) Tick(now time.Time) []Send {
	f.sends = f.sends[:0]
	if f.ended {
		return nil
	}
	f.hold(now)
	for i := range f.shards {
		f.due(now, i)
	}
	f.close(now)
	return f.sends
}

// Wake returns when Tick is to be called next.
func (f *Fanout) Wake() time.Time {
	wake := f.plan.Deadline
	if o := f.plan.Objective; !o.IsZero() && f.covered >= f.plan.MinShards && o.Before(wake) {
		wake = o
	}
	for i := range f.shards {
		if at := f.shards[i].wake; f.shards[i].state == open && !at.IsZero() && at.Before(wake) {
			wake = at
		}
	}
	return wake
}

// Ended reports whether the answer is closed.
func (f *Fanout) Ended() bool { return f.ended }

// close ends the request when waiting longer brings nothing better.
func (f *Fanout) close(now time.Time) {
	switch {
	case f.covered+f.failed == len(f.shards):
	case f.covered >= f.plan.MinShards && f.covered+f.failed+f.held() == len(f.shards):
	case f.hopeless():
	case !now.Before(f.plan.Deadline):
	case f.plan.Gathers && f.covered >= f.plan.MinShards && !f.plan.Objective.IsZero() && !now.Before(f.plan.Objective):
	default:
		return
	}
	f.ended = true
	f.sends = f.sends[:0]
}

// hopeless reports that too few shards are left for a success.
func (f *Fanout) hopeless() bool { return len(f.shards)-f.failed < f.plan.MinShards }

// Outcome returns the answer of an ended request.
func (f *Fanout) Outcome(now time.Time) Outcome {
	o := Outcome{Stats: f.stats}
	o.Stats.Covered = f.covered
	o.Stats.LeftOut = f.leftOut()
	o.Stats.Queued = f.queued(now)
	if f.covered >= f.plan.MinShards {
		o.Parts = f.parts()
		o.Missing = len(f.shards) - f.covered
		return o
	}
	o.Fault, o.Verdict = f.failure()
	if !f.plan.Gathers {
		o.Failure = f.shards[0].failure
	}
	return o
}

// Outcome is the answer to a request.
type Outcome struct {
	// Parts are the parts of a success.
	Parts   []*clementineport.OpaqueResponse
	Missing int
	// Failure is the failed response of the target of a request with one shard, if there is one.
	Failure *clementineport.OpaqueResponse
	// Fault and Verdict are set without Parts.
	Fault   clementineport.Fault
	Verdict clementineport.Verdict
	Stats   Stats
}

// parts returns the parts that are in.
func (f *Fanout) parts() []*clementineport.OpaqueResponse {
	parts := make([]*clementineport.OpaqueResponse, 0, f.covered)
	for i := range f.shards {
		if f.shards[i].state == covered {
			parts = append(parts, f.shards[i].part)
		}
	}
	return parts
}

// queued returns how long the request waited for targets with room: the time after which as many shards as it needs
// had been asked. Shards beyond those may be busy without holding it up.
func (f *Fanout) queued(now time.Time) time.Duration {
	waits := make([]time.Duration, len(f.shards))
	for i := range f.shards {
		waits[i] = f.shards[i].waited
		if len(f.shards[i].attempts) == 0 && f.shards[i].state == open {
			waits[i] = now.Sub(f.began)
		}
	}
	slices.Sort(waits)
	return waits[f.plan.MinShards-1]
}

// leftOut returns the shards without a part, and why.
func (f *Fanout) leftOut() (all []LeftOut) {
	for i := range f.shards {
		s := &f.shards[i]
		if s.state == covered {
			continue
		}
		l := LeftOut{
			Service: f.plan.Shards[i], Sends: len(s.attempts), Waiting: s.outstanding(), Fault: s.fault,
			Deferred: s.held && len(s.attempts) == 0,
		}
		for j := range s.attempts {
			l.Targets = append(l.Targets, s.attempts[j].target.ID)
		}
		all = append(all, l)
	}
	return all
}

// failure returns why there is no success, and what that proves.
func (f *Fanout) failure() (clementineport.Fault, clementineport.Verdict) {
	fault, verdict := clementineport.FaultUnavailable, clementineport.NotRun
	for i := range f.shards {
		s := &f.shards[i]
		if s.mayHaveRun() {
			verdict = clementineport.MayHaveRun
		}
		if s.fault != clementineport.FaultUnknown {
			fault = s.fault
		}
	}
	if verdict == clementineport.MayHaveRun && fault.Verdict() == clementineport.NotRun {
		fault = clementineport.FaultTimeout
		if f.plan.Gathers {
			fault = clementineport.FaultCoverage
		}
	}
	return fault, verdict
}
