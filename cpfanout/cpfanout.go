// Package cpfanout schedules the calls of one forwarded request to its shards: which target is called and when, which
// calls are hedged or retried, and when the request ends. A request that a single target answers has one shard.
//
// The package is a pure state machine: call results and the current time go in, calls to send come out. It performs no
// I/O and is not safe for concurrent use.
package cpfanout

import (
	"math"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
)

// Availability is the outcome of choosing a target.
type Availability uint8

const (
	// Available means that a target was chosen.
	Available Availability = iota
	// Busy means that targets are eligible, but none of them can take a call now.
	Busy
	// Unavailable means that no target is eligible.
	Unavailable
)

// Purpose is the reason for a call.
type Purpose uint8

const (
	// First is the first call to a shard.
	First Purpose = iota
	// Late is the first call to a shard after the objective of the request has passed.
	Late
	// Hedge is a call sent while another call to the shard is slow.
	Hedge
	// Retry is a call sent after all earlier calls to the shard have failed.
	Retry
)

// Targets chooses targets and holds the budget of extra calls.
type Targets interface {
	// Choose returns a target of a service for which excluded returns false.
	Choose(now time.Time, service clementineport.ServiceID, purpose Purpose, excluded func(*cpbalancer.Target) bool) (*cpbalancer.Target, Availability)
	// SpendExtraCall takes one extra call to a service from the budget and reports whether the budget allowed it. The
	// value of the call is between 0 and 1.
	SpendExtraCall(service clementineport.ServiceID, value float64) bool
	// Latency returns the expected latency of the target of a service that would probably answer first. It is zero if a
	// target is known to have a free slot or if none is eligible.
	Latency(now time.Time, service clementineport.ServiceID) time.Duration
}

// Send is a call to be sent.
type Send struct {
	Shard   int
	Attempt int
	Target  *cpbalancer.Target
	// Extra is true for a hedge, and for a retry after a call that may have reached a target. Both are charged to the
	// budget.
	Extra bool
}

// Result is the result of a call.
type Result struct {
	Shard   int
	Attempt int
	// Part is the target's response, which may report a failure. It is nil if Fault is set.
	Part  *clementineport.OpaqueResponse
	Fault clementineport.Fault
}

// Plan holds the requirements of a request.
type Plan struct {
	Shards     []clementineport.ServiceID
	Gathers    bool
	Idempotent bool
	// FinalAttempt is true if the caller is not expected to retry.
	FinalAttempt bool
	// MaxAttempts bounds the number of targets called for one shard.
	MaxAttempts int
	// MinShards is the number of shards that an answer must cover to be a success.
	MinShards int
	// Objective is the time at which a sufficient answer is returned without waiting for further shards, or zero.
	// Deadline is the time at which the request must end.
	Objective time.Time
	Deadline  time.Time
	// HedgeAfter is the delay after which a call is hedged.
	HedgeAfter time.Duration
}

// MinShards returns the number of shards needed to cover a share of all of them, at least one.
func MinShards(share float64, shards int) int {
	const rounding = 1e-9
	return max(1, int(math.Ceil(share*float64(shards)-rounding)))
}

// Fanout is the state of one request. Its zero value is not usable.
type Fanout struct {
	options   Options
	plan      Plan
	targets   Targets
	shards    []shard
	covered   int
	failed    int
	stats     Stats
	startedAt time.Time
	ended     bool
	sends     []Send
}

// New returns the state of a request that has not been started.
func New(plan Plan, targets Targets, opts ...Option) *Fanout {
	f := &Fanout{options: NewOptions(opts...), plan: plan, targets: targets, shards: make([]shard, len(plan.Shards))}
	f.stats.Shards = len(plan.Shards)
	return f
}

// Start returns the first calls. It returns none if too few shards have an eligible target.
func (f *Fanout) Start(now time.Time) []Send {
	f.sends = f.sends[:0]
	f.startedAt = now
	f.deferShards(now)
	for i := range f.shards {
		f.sendFirst(now, i)
	}
	late := !now.Before(f.plan.Deadline)
	if late || f.cannotSucceed() {
		f.discardSends(late)
	}
	f.closeIfDone(now)
	return f.sends
}

// discardSends drops the calls that have not been handed out yet.
func (f *Fanout) discardSends(late bool) {
	f.sends = f.sends[:0]
	for i := range f.shards {
		f.shards[i].attempts = nil
		if late {
			f.shards[i].fault = clementineport.FaultDeadline
		}
	}
	f.stats.Sends = 0
}

// Done records the result of a call and returns further calls.
func (f *Fanout) Done(now time.Time, r *Result) []Send {
	f.sends = f.sends[:0]
	if f.ended {
		return nil
	}
	s := &f.shards[r.Shard]
	a := &s.attempts[r.Attempt]
	a.done = true
	if s.state == open {
		f.recordResult(now, r, s, a)
		f.resumeDeferred(now)
		f.sendIfDue(now, r.Shard)
	}
	f.closeIfDone(now)
	return f.sends
}

// Tick returns the calls that are due.
func (f *Fanout) Tick(now time.Time) []Send {
	f.sends = f.sends[:0]
	if f.ended {
		return nil
	}
	f.deferShards(now)
	for i := range f.shards {
		f.sendIfDue(now, i)
	}
	f.closeIfDone(now)
	return f.sends
}

// Wake returns the time of the next call to Tick.
func (f *Fanout) Wake() time.Time {
	wake := f.plan.Deadline
	if o := f.plan.Objective; !o.IsZero() && f.covered >= f.plan.MinShards && o.Before(wake) {
		wake = o
	}
	for i := range f.shards {
		if at := f.shards[i].wakeAt; f.shards[i].state == open && !at.IsZero() && at.Before(wake) {
			wake = at
		}
	}
	return wake
}

// Sufficient reports whether the responses so far are enough for a success.
func (f *Fanout) Sufficient() bool { return f.covered >= f.plan.MinShards }

// Ended reports whether the request has ended.
func (f *Fanout) Ended() bool { return f.ended }

// closeIfDone ends the request once waiting longer cannot improve the answer, or is no longer allowed.
func (f *Fanout) closeIfDone(now time.Time) {
	switch {
	case f.covered+f.failed == len(f.shards):
	case f.covered >= f.plan.MinShards && f.covered+f.failed+f.deferredCount() == len(f.shards):
	case f.cannotSucceed():
	case !now.Before(f.plan.Deadline):
	case f.plan.Gathers && f.covered >= f.plan.MinShards && !f.plan.Objective.IsZero() && !now.Before(f.plan.Objective):
	default:
		return
	}
	f.ended = true
	f.sends = f.sends[:0]
}

// cannotSucceed reports whether too many shards have failed for the answer to reach its minimum.
func (f *Fanout) cannotSucceed() bool { return len(f.shards)-f.failed < f.plan.MinShards }

// Outcome returns the outcome of an ended request.
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

// Outcome is the outcome of a request.
type Outcome struct {
	// Parts are the responses that make up a successful answer.
	Parts   []*clementineport.OpaqueResponse
	Missing int
	// Failure is the target's failed response to a request with one shard, if there is one.
	Failure *clementineport.OpaqueResponse
	// Fault and Verdict are set if Parts is empty.
	Fault   clementineport.Fault
	Verdict clementineport.Verdict
	Stats   Stats
}

// parts returns the responses of the covered shards.
func (f *Fanout) parts() []*clementineport.OpaqueResponse {
	parts := make([]*clementineport.OpaqueResponse, 0, f.covered)
	for i := range f.shards {
		if f.shards[i].state == covered {
			parts = append(parts, f.shards[i].part)
		}
	}
	return parts
}

// queued returns the time until MinShards shards had been called, which is how long the request waited for free
// targets. Shards beyond that number may wait for a free target without delaying the request.
func (f *Fanout) queued(now time.Time) time.Duration {
	waits := make([]time.Duration, len(f.shards))
	for i := range f.shards {
		waits[i] = f.shards[i].queuedFor
		if len(f.shards[i].attempts) == 0 && f.shards[i].state == open {
			waits[i] = now.Sub(f.startedAt)
		}
	}
	slices.Sort(waits)
	return waits[f.plan.MinShards-1]
}

// leftOut returns the shards without a response and the reason of each.
func (f *Fanout) leftOut() (all []LeftOut) {
	for i := range f.shards {
		s := &f.shards[i]
		if s.state == covered {
			continue
		}
		l := LeftOut{
			Service: f.plan.Shards[i], Sends: len(s.attempts), Waiting: s.outstanding(), Fault: s.fault,
			Deferred: s.deferred && len(s.attempts) == 0,
		}
		for j := range s.attempts {
			l.Targets = append(l.Targets, s.attempts[j].target.ID)
		}
		all = append(all, l)
	}
	return all
}

// failure returns the fault of a failed request and whether the request may have run.
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
