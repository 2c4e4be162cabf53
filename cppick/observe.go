package cppick

import (
	"errors"
	"time"

	"github.com/clementineport/clementineport"
)

// maxShedTime bounds how long a refusal raises the cost of a target.
const maxShedTime = time.Second

// minShedTime is how long a refusal without RetryAfter raises the cost of a target.
const minShedTime = 20 * time.Millisecond

// observe updates the state with the result of one call.
func (t *targetState) observe(now time.Time, r *clementineport.CallResult, o *Options, rng *random) {
	t.observeSignals(now, &r.Signals, o)
	if r.Err == nil {
		t.observeAnswer(now, r.Elapsed, o, rng)
		return
	}
	switch clementineport.FaultOf(r.Err) {
	case clementineport.FaultRefused, clementineport.FaultUnsent, clementineport.FaultReset,
		clementineport.FaultCut, clementineport.FaultMalformed, clementineport.FaultMismatched,
		clementineport.FaultOversized, clementineport.FaultInternal:
		t.observeFailure(now, o, rng)
	case clementineport.FaultTimeout:
		t.observeCensored(now, r.Elapsed, o)
		t.observeFailure(now, o, rng)
	case clementineport.FaultCanceled:
		t.observeCensored(now, r.Elapsed, o)
	case clementineport.FaultShed, clementineport.FaultCold:
		t.observeRefusal(now, r.Err)
	case clementineport.FaultDraining:
		t.drainUntil.Store(now.Add(o.DrainRecheckInterval).UnixNano())
	}
}

func (t *targetState) observeAnswer(now time.Time, elapsed time.Duration, o *Options, rng *random) {
	t.failures.Store(0)
	if t.warmupCallsLeft.Load() > 0 {
		t.warmupCallsLeft.Add(-1)
	}
	if t.ejectedUntil.Load() != 0 {
		t.observeTrial(now, elapsed, o, rng)
		return
	}
	t.sample(now, elapsed, o)
	if !t.cold.Load() && int(t.samples.Load()) >= o.WarmupCalls && t.isOutlier(t.median.load(), o) {
		t.eject(now, true, o, rng)
	}
}

// observeTrial updates the state with an answer of an ejected target. A slow answer extends the ejection only if it
// answers the trial call.
func (t *targetState) observeTrial(now time.Time, elapsed time.Duration, o *Options, rng *random) {
	slow := t.isOutlier(elapsed, o)
	switch {
	case !slow && (t.trialInProgress.Load() || !t.slow.Load()):
		t.endEjection()
	case slow && t.trialInProgress.Swap(false):
		t.eject(now, true, o, rng)
	}
}

func (t *targetState) observeFailure(now time.Time, o *Options, rng *random) {
	n := int(t.failures.Add(1))
	if o.EjectAfter <= 0 {
		return
	}
	if t.trialInProgress.Swap(false) || (n >= o.EjectAfter && t.ejectedUntil.Load() == 0) {
		t.eject(now, false, o, rng)
	}
}

// observeCensored updates the state with a call that was canceled or timed out after elapsed, which is a lower bound of
// its latency.
func (t *targetState) observeCensored(now time.Time, elapsed time.Duration, o *Options) {
	if elapsed > t.typicalLatency() {
		t.sample(now, elapsed, o)
	}
}

func (t *targetState) observeRefusal(now time.Time, err error) {
	d := minShedTime
	if e, ok := errors.AsType[*clementineport.Error](err); ok && e.RetryAfter > 0 {
		d = min(e.RetryAfter, maxShedTime)
	}
	t.shedUntil.Store(now.Add(d).UnixNano())
}
