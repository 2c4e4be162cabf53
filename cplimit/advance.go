package cplimit

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

func (t *TargetLimiter) advance(now time.Time) []Decision {
	t.decisions = t.decisions[:0]
	t.startQueued(now)
	return t.decisions
}

// startQueued refuses expired calls and starts the queued calls that the limit allows.
func (t *TargetLimiter) startQueued(now time.Time) {
	t.lingering = slices.DeleteFunc(t.lingering, func(l lingeringCall) bool { return !l.until.After(now) })
	t.refuseQueued(now)
	for len(t.queued) > 0 && t.hasCapacity(now) {
		r := t.queued[0]
		t.queued = slices.Delete(t.queued, 0, 1)
		t.running = append(t.running, runningCall{r.Ticket, now, r.Deadline})
		t.decisions = append(t.decisions, Decision{Ticket: r.Ticket})
	}
}

// refuseQueued refuses expired calls, or all queued calls if the target is closed or draining.
func (t *TargetLimiter) refuseQueued(now time.Time) {
	var err error
	switch {
	case t.closed != clementineport.FaultUnknown:
		err = clementineport.Fail(t.closed, "target is no longer served here")
	case now.Before(t.drainingUntil):
		err = clementineport.Fail(clementineport.FaultDraining, "target is draining")
	}
	t.queued = slices.DeleteFunc(t.queued, func(r Request) bool {
		cause := err
		if cause == nil && !r.Deadline.After(now) {
			cause = clementineport.Fail(clementineport.FaultDeadline, "deadline passed in the queue")
		}
		if cause != nil {
			t.decisions = append(t.decisions, Decision{r.Ticket, cause})
		}
		return cause != nil
	})
}

// hasCapacity reports whether one more call may start. If only lingering calls use up the limit, one probe call may start
// after a grace period; its answer shows whether they have stopped.
func (t *TargetLimiter) hasCapacity(now time.Time) bool {
	if t.handoverWait(now) > 0 {
		return false
	}
	if t.InUse() < t.Limit(now) {
		return true
	}
	return len(t.running) == 0 && !now.Before(t.probeTime())
}

// probeTime returns when the grace period of the last lingering call ends.
func (t *TargetLimiter) probeTime() time.Time {
	grace := t.opts.CancelGrace
	if t.slowStart.Limit() <= 1 && !t.slowStart.RestartSuspected() {
		grace = t.opts.ColdCancelGrace
	}
	at := time.Time{}
	for _, l := range t.lingering {
		if since := l.ended.Add(grace); since.After(at) {
			at = since
		}
	}
	return at
}

// NextEvent returns when Tick is next due, or reports that no call is queued.
func (t *TargetLimiter) NextEvent(now time.Time) (time.Time, bool) {
	if len(t.queued) == 0 {
		return time.Time{}, false
	}
	next := t.queued[0].Deadline
	for _, r := range t.queued {
		next = earlier(next, r.Deadline)
	}
	for _, l := range t.lingering {
		next = earlier(next, l.until)
	}
	if len(t.lingering) > 0 && len(t.running) == 0 && t.probeTime().After(now) {
		next = earlier(next, t.probeTime())
	}
	for _, at := range [...]time.Time{t.handoverUntil, t.otherCallsUntil} {
		if at.After(now) {
			next = earlier(next, at)
		}
	}
	return next, true
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// mayStillRun reports whether the target may still run a call that has ended here.
func mayStillRun(res *clementineport.CallResult) bool {
	switch clementineport.FaultOf(res.Err) {
	case clementineport.FaultCanceled, clementineport.FaultTimeout, clementineport.FaultReset:
		return res.Err != nil
	default:
		return false
	}
}

// releaseLingering removes the lingering calls that have stopped according to an answer: its call was sent after they
// ended here, and the target reports no more calls in flight than are known here.
func (t *TargetLimiter) releaseLingering(call runningCall, res *clementineport.CallResult) {
	if res.Signals.Start == "" || len(t.lingering) == 0 || res.Signals.InFlight > len(t.running) {
		return
	}
	t.lingering = slices.DeleteFunc(t.lingering, func(l lingeringCall) bool { return l.ended.Before(call.started) })
}

// observeOtherCalls lowers the limit by the calls that the target reports beyond those of this VM.
func (t *TargetLimiter) observeOtherCalls(now time.Time, res *clementineport.CallResult) {
	others := res.Signals.InFlight - t.InUse()
	if res.Signals.Start == "" || others <= 0 {
		return
	}
	if now.Before(t.otherCallsUntil) {
		others = max(others, t.otherCalls)
	}
	t.otherCalls, t.otherCallsUntil = others, now.Add(t.opts.OtherCallsTTL)
}

func (t *TargetLimiter) observeDrain(now time.Time, res *clementineport.CallResult) {
	switch {
	case res.Signals.Draining, clementineport.FaultOf(res.Err) == clementineport.FaultDraining:
		t.drainingUntil = now.Add(t.opts.DrainRecheckInterval)
	case res.Signals.Start != "":
		t.drainingUntil = time.Time{}
	}
}

func (t *TargetLimiter) observeLatency(res *clementineport.CallResult) {
	if res.Err != nil || res.Elapsed <= 0 {
		return
	}
	t.latency.Observe(res.Elapsed)
	if t.slowStart.Warm() && !res.Signals.Cold && !t.slowStart.IsLatencyJump(res.Elapsed, t.warmLatency.Value()) {
		t.warmLatency.Observe(res.Elapsed)
	}
}
