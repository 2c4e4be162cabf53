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

// startQueued drops what has expired and starts what may start.
func (t *TargetLimiter) startQueued(now time.Time) {
	t.lingering = slices.DeleteFunc(t.lingering, func(l lingeringCall) bool { return !l.until.After(now) })
	t.refuseExpired(now)
	for len(t.queue) > 0 && t.hasCapacity(now) {
		w := t.queue[0]
		t.queue = slices.Delete(t.queue, 0, 1)
		t.running = append(t.running, runningCall{w.Ticket, now, w.Deadline})
		t.decisions = append(t.decisions, Decision{Ticket: w.Ticket})
	}
}

func (t *TargetLimiter) refuseExpired(now time.Time) {
	var err error
	switch {
	case t.closed != clementineport.FaultUnknown:
		err = clementineport.Fail(t.closed, "target is no longer served here")
	case now.Before(t.drainingUntil):
		err = clementineport.Fail(clementineport.FaultDraining, "target is draining")
	}
	t.queue = slices.DeleteFunc(t.queue, func(w Request) bool {
		cause := err
		if cause == nil && !w.Deadline.After(now) {
			cause = clementineport.Fail(clementineport.FaultDeadline, "deadline passed in the queue")
		}
		if cause != nil {
			t.decisions = append(t.decisions, Decision{w.Ticket, cause})
		}
		return cause != nil
	})
}

// hasCapacity reports whether one more call may start. When canceled calls alone block a target, one call
// more is allowed after a while: its answer shows whether they have stopped.
func (t *TargetLimiter) hasCapacity(now time.Time) bool {
	if t.InUse() < t.Limit(now) {
		return true
	}
	return len(t.running) == 0 && !now.Before(t.probeTime())
}

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

// NextEvent returns when something is due without an event, if calls are queued.
func (t *TargetLimiter) NextEvent(now time.Time) (time.Time, bool) {
	if len(t.queue) == 0 {
		return time.Time{}, false
	}
	next := t.queue[0].Deadline
	for _, w := range t.queue {
		next = earlier(next, w.Deadline)
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

// mayStillRun reports whether the target may go on with a call that has ended here.
func mayStillRun(res *clementineport.CallResult) bool {
	switch clementineport.FaultOf(res.Err) {
	case clementineport.FaultCanceled, clementineport.FaultTimeout, clementineport.FaultReset:
		return res.Err != nil
	default:
		return false
	}
}

// releaseLingering drops the lingering calls that an answer shows to have stopped: it was sent after they were
// canceled, and the target reports no more calls than are known to be in progress.
func (t *TargetLimiter) releaseLingering(call runningCall, res *clementineport.CallResult) {
	if res.Signals.Start == "" || len(t.lingering) == 0 || res.Signals.InFlight > len(t.running) {
		return
	}
	t.lingering = slices.DeleteFunc(t.lingering, func(l lingeringCall) bool { return l.ended.Before(call.started) })
}

// observeOtherCalls lowers the limit while the target reports calls that this VM has not sent.
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
