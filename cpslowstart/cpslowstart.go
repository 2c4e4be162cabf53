// Package cpslowstart decides how many calls at a time a target is allowed after a cold start.
//
// It goes by the answers of the target alone, reads no clock, queues no call and knows one target.
package cpslowstart

import (
	"time"

	"github.com/clementineport/clementineport"
)

// SlowStart decides how many calls at a time a target is allowed, from the answers alone.
// A target starts with one call at a time and gets more only on evidence.
type SlowStart struct {
	opts  Options
	slots int
	// limit is the number of calls at a time; equal to slots when the target is warm.
	limit int
	// savedLimit is the allowance to return to when a suspected restart turns out not to be one.
	savedLimit int
	start      clementineport.StartID
	// peakInUse is the most calls at a time since the last step.
	peakInUse int
	good      int
	bad       int
	jumps     int
	answers   int
	// failures counts refusals or failed connections in a row.
	failures int
	// suspectedAt is when a restart was last suspectedAt; only calls started later can dispel it.
	suspectedAt time.Time
	// loweredAt is when the allowance was last lowered; calls started before it lower it no further.
	loweredAt time.Time
}

// New returns the ramp of a target that may be cold.
func New(o Options, slots int) SlowStart {
	r := SlowStart{opts: o, slots: slots, limit: 1}
	if o.Disabled {
		r.limit = slots
	}
	return r
}

// Warm reports whether the target is allowed all its slots and no restart is suspected.
func (r *SlowStart) Warm() bool { return r.limit >= r.slots && r.savedLimit == 0 }

// Limit returns the number of calls at a time that are allowed.
func (r *SlowStart) Limit() int { return r.limit }

// RestartSuspected reports whether a restart is suspected that no answer has dispelled.
func (r *SlowStart) RestartSuspected() bool { return r.savedLimit > 0 }

// Start returns the start id of the last answer.
func (r *SlowStart) Start() clementineport.StartID { return r.start }

// Resize changes the number of slots.
func (r *SlowStart) Resize(slots int) {
	if r.Warm() && slots > r.slots && !r.opts.Disabled {
		r.peakInUse = 0
	}
	if r.opts.Disabled {
		r.limit = slots
	}
	r.slots = slots
	r.limit = min(r.limit, slots)
	r.savedLimit = min(r.savedLimit, slots)
}

// SuspectRestart allows one call at a time until an answer shows whether the target has restarted.
func (r *SlowStart) SuspectRestart(now time.Time) {
	if r.opts.Disabled {
		return
	}
	r.suspectedAt = now
	if r.savedLimit == 0 {
		r.savedLimit = r.limit
	}
	r.limit = 1
}

func (r *SlowStart) restartCold() {
	if r.opts.Disabled {
		return
	}
	r.limit, r.savedLimit = 1, 0
	r.resetCounts()
}

func (r *SlowStart) resetCounts() { r.peakInUse, r.good, r.bad, r.jumps, r.answers = 0, 0, 0, 0, 0 }

// Observe takes in the result of a call that started at started, while inUse calls were counted;
// warmTime is the time of a warm answer, or zero if it is not known.
func (r *SlowStart) Observe(now, started time.Time, res *clementineport.CallResult, inUse int, warmTime time.Duration) {
	if r.opts.Disabled {
		return
	}
	r.peakInUse = max(r.peakInUse, inUse)
	if s := res.Signals.Start; s != "" && s != r.start {
		if r.start != "" {
			r.restartCold()
		}
		r.start = s
	}
	if res.Err != nil {
		r.observeFailure(now, started, clementineport.FaultOf(res.Err), res.Elapsed, warmTime)
		return
	}
	r.failures = 0
	if r.savedLimit > 0 {
		if !started.After(r.suspectedAt) {
			return
		}
		r.limit, r.savedLimit = r.savedLimit, 0
	}
	r.observeAnswer(res, warmTime)
}

func (r *SlowStart) observeFailure(now, started time.Time, f clementineport.Fault, elapsed, warmTime time.Duration) {
	switch f {
	case clementineport.FaultCold:
		r.restartCold()
	case clementineport.FaultShed:
		r.failures++
		r.halveLimit(now, started)
	case clementineport.FaultRefused, clementineport.FaultUnsent, clementineport.FaultReset,
		clementineport.FaultCut:
		r.failures++
		r.SuspectRestart(now)
	case clementineport.FaultTimeout, clementineport.FaultCanceled:
		if r.IsLatencyJump(elapsed, warmTime) {
			r.countAnswer(false, true)
		}
		return
	default:
		return
	}
	if r.failures >= r.opts.MaxFailures {
		r.restartCold()
	}
}

// halveLimit halves the allowance once for all the calls that were in progress.
func (r *SlowStart) halveLimit(now, started time.Time) {
	if started.Before(r.loweredAt) {
		return
	}
	r.loweredAt = now
	r.limit = max(r.limit/2, 1)
	r.resetCounts()
}

// IsLatencyJump reports whether an answer took so much longer than a warm one that the target may be cold.
func (r *SlowStart) IsLatencyJump(elapsed, warmTime time.Duration) bool {
	return warmTime > 0 && float64(elapsed) > r.opts.JumpFactor*float64(warmTime)
}

func (r *SlowStart) observeAnswer(res *clementineport.CallResult, warmTime time.Duration) {
	good := !res.Signals.Cold &&
		(warmTime == 0 || float64(res.Elapsed) <= r.opts.GoodFactor*float64(warmTime))
	r.countAnswer(good, r.IsLatencyJump(res.Elapsed, warmTime))
	if res.Signals.Cold && r.Warm() && r.slots > 1 {
		r.restartCold()
		return
	}
	step := r.opts.StepAnswers
	if warmTime == 0 {
		step *= r.opts.UnknownLatencyFactor
	}
	if !r.Warm() && r.good >= step && r.peakInUse >= r.limit && r.bad*4 <= r.good {
		r.limit++
		r.resetCounts()
	}
}

// countAnswer counts one answer and lowers the allowance when most of a window are latency jumps.
func (r *SlowStart) countAnswer(good, jump bool) {
	if good {
		r.good++
	} else {
		r.bad++
	}
	if jump {
		r.jumps++
	}
	r.answers++
	if r.answers < r.opts.Window {
		return
	}
	if r.jumps*2 > r.answers {
		r.limit = max(r.limit/2, 1)
		r.resetCounts()
		return
	}
	r.answers, r.jumps = 0, 0
	if r.bad*4 > r.good {
		r.good, r.bad = 0, 0
	}
}
