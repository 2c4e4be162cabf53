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
	// allowance is the number of calls at a time; equal to slots when the target is warm.
	allowance int
	// saved is the allowance to return to when a suspected restart turns out not to be one.
	saved int
	start clementineport.StartID
	// used is the most calls at a time since the last step.
	used  int
	good  int
	bad   int
	jumps int
	seen  int
	// failures counts refusals or failed connections in a row.
	failures int
	// suspected is when a restart was last suspected; only calls started later can dispel it.
	suspected time.Time
	// cut is when the allowance was last lowered; calls started before it lower it no further.
	cut time.Time
}

// New returns the ramp of a target that may be cold.
func New(o Options, slots int) SlowStart {
	r := SlowStart{opts: o, slots: slots, allowance: 1}
	if o.Disabled {
		r.allowance = slots
	}
	return r
}

// Warm reports whether the target is allowed all its slots and no restart is suspected.
func (r *SlowStart) Warm() bool { return r.allowance >= r.slots && r.saved == 0 }

// Limit returns the number of calls at a time that are allowed.
func (r *SlowStart) Limit() int { return r.allowance }

// RestartSuspected reports whether a restart is suspected that no answer has dispelled.
func (r *SlowStart) RestartSuspected() bool { return r.saved > 0 }

// Start returns the start id of the last answer.
func (r *SlowStart) Start() clementineport.StartID { return r.start }

// Resize changes the number of slots.
func (r *SlowStart) Resize(slots int) {
	if r.Warm() && slots > r.slots && !r.opts.Disabled {
		r.used = 0
	}
	if r.opts.Disabled {
		r.allowance = slots
	}
	r.slots = slots
	r.allowance = min(r.allowance, slots)
	r.saved = min(r.saved, slots)
}

// SuspectRestart allows one call at a time until an answer shows whether the target has restarted.
func (r *SlowStart) SuspectRestart(now time.Time) {
	if r.opts.Disabled {
		return
	}
	r.suspected = now
	if r.saved == 0 {
		r.saved = r.allowance
	}
	r.allowance = 1
}

func (r *SlowStart) chill() {
	if r.opts.Disabled {
		return
	}
	r.allowance, r.saved = 1, 0
	r.reset()
}

func (r *SlowStart) reset() { r.used, r.good, r.bad, r.jumps, r.seen = 0, 0, 0, 0, 0 }

// Observe takes in the result of a call that started at started, while inUse calls were counted;
// warmTime is the time of a warm answer, or zero if it is not known.
func (r *SlowStart) Observe(now, started time.Time, res *clementineport.CallResult, inUse int, warmTime time.Duration) {
	if r.opts.Disabled {
		return
	}
	r.used = max(r.used, inUse)
	if s := res.Signals.Start; s != "" && s != r.start {
		if r.start != "" {
			r.chill()
		}
		r.start = s
	}
	if res.Err != nil {
		r.failed(now, started, clementineport.FaultOf(res.Err), res.Elapsed, warmTime)
		return
	}
	r.failures = 0
	if r.saved > 0 {
		if !started.After(r.suspected) {
			return
		}
		r.allowance, r.saved = r.saved, 0
	}
	r.answered(res, warmTime)
}

func (r *SlowStart) failed(now, started time.Time, f clementineport.Fault, elapsed, warmTime time.Duration) {
	switch f {
	case clementineport.FaultCold:
		r.chill()
	case clementineport.FaultShed:
		r.failures++
		r.lower(now, started)
	case clementineport.FaultRefused, clementineport.FaultUnsent, clementineport.FaultReset,
		clementineport.FaultCut:
		r.failures++
		r.SuspectRestart(now)
	case clementineport.FaultTimeout, clementineport.FaultCanceled:
		if r.IsLatencyJump(elapsed, warmTime) {
			r.judge(false, true)
		}
		return
	default:
		return
	}
	if r.failures >= r.opts.MaxFailures {
		r.chill()
	}
}

// lower halves the allowance once for all the calls that were in progress.
func (r *SlowStart) lower(now, started time.Time) {
	if started.Before(r.cut) {
		return
	}
	r.cut = now
	r.allowance = max(r.allowance/2, 1)
	r.reset()
}

// IsLatencyJump reports whether an answer took so much longer than a warm one that the target may be cold.
func (r *SlowStart) IsLatencyJump(elapsed, warmTime time.Duration) bool {
	return warmTime > 0 && float64(elapsed) > r.opts.JumpFactor*float64(warmTime)
}

func (r *SlowStart) answered(res *clementineport.CallResult, warmTime time.Duration) {
	good := !res.Signals.Cold &&
		(warmTime == 0 || float64(res.Elapsed) <= r.opts.GoodFactor*float64(warmTime))
	r.judge(good, r.IsLatencyJump(res.Elapsed, warmTime))
	if res.Signals.Cold && r.Warm() && r.slots > 1 {
		r.chill()
		return
	}
	step := r.opts.StepAnswers
	if warmTime == 0 {
		step *= r.opts.UnknownLatencyFactor
	}
	if !r.Warm() && r.good >= step && r.used >= r.allowance && r.bad*4 <= r.good {
		r.allowance++
		r.reset()
	}
}

// judge counts one answer and lowers the allowance when most of a window are latency jumps.
func (r *SlowStart) judge(good, jump bool) {
	if good {
		r.good++
	} else {
		r.bad++
	}
	if jump {
		r.jumps++
	}
	r.seen++
	if r.seen < r.opts.Window {
		return
	}
	if r.jumps*2 > r.seen {
		r.allowance = max(r.allowance/2, 1)
		r.reset()
		return
	}
	r.seen, r.jumps = 0, 0
	if r.bad*4 > r.good {
		r.good, r.bad = 0, 0
	}
}
