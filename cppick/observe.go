package cppick

import (
	"errors"
	"time"

	"github.com/clementineport/clementineport"
)

// maxShedTime bounds how long a refusal makes a target less attractive.
const maxShedTime = time.Second

// minShedTime is how long a refusal without a time does.
const minShedTime = 20 * time.Millisecond

// observe takes in the result of one call.
func (w *row) observe(now time.Time, r *clementineport.CallResult, o *Options, rng *random) {
	w.signal(now, &r.Signals, o)
	if r.Err == nil {
		w.answered(now, r.Elapsed, o, rng)
		return
	}
	switch clementineport.FaultOf(r.Err) {
	case clementineport.FaultRefused, clementineport.FaultUnsent, clementineport.FaultReset,
		clementineport.FaultCut, clementineport.FaultMalformed, clementineport.FaultMismatched,
		clementineport.FaultOversized, clementineport.FaultInternal:
		w.failed(now, o, rng)
	case clementineport.FaultTimeout:
		w.censored(now, r.Elapsed, o)
		w.failed(now, o, rng)
	case clementineport.FaultCanceled:
		w.censored(now, r.Elapsed, o)
	case clementineport.FaultShed, clementineport.FaultCold:
		w.refused(now, r.Err)
	case clementineport.FaultDraining:
		w.drain.Store(now.Add(o.DrainRecheckInterval).UnixNano())
	}
}

func (w *row) answered(now time.Time, elapsed time.Duration, o *Options, rng *random) {
	w.fails.Store(0)
	if w.coldCalls.Load() > 0 {
		w.coldCalls.Add(-1)
	}
	if w.until.Load() != 0 {
		w.tried(now, elapsed, o, rng)
		return
	}
	w.sample(now, elapsed, o)
	if !w.cold.Load() && int(w.samples.Load()) >= o.WarmupCalls && w.isSlow(w.median.load(), o) {
		w.eject(now, true, o, rng)
	}
}

// tried takes in an answer of an ejected target; a slow one counts only if it answers the trial call.
func (w *row) tried(now time.Time, elapsed time.Duration, o *Options, rng *random) {
	slow := w.isSlow(elapsed, o)
	switch {
	case !slow && (w.trial.Load() || !w.slow.Load()):
		w.readmit()
	case slow && w.trial.Swap(false):
		w.eject(now, true, o, rng)
	}
}

func (w *row) failed(now time.Time, o *Options, rng *random) {
	n := int(w.fails.Add(1))
	if o.EjectAfter <= 0 {
		return
	}
	if w.trial.Swap(false) || (n >= o.EjectAfter && w.until.Load() == 0) {
		w.eject(now, false, o, rng)
	}
}

// censored takes in a call that was given up after elapsed: it would have taken longer.
func (w *row) censored(now time.Time, elapsed time.Duration, o *Options) {
	if elapsed > w.typical() {
		w.sample(now, elapsed, o)
	}
}

func (w *row) refused(now time.Time, err error) {
	d := minShedTime
	if e, ok := errors.AsType[*clementineport.Error](err); ok && e.RetryAfter > 0 {
		d = min(e.RetryAfter, maxShedTime)
	}
	w.shed.Store(now.Add(d).UnixNano())
}
