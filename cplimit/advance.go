package cplimit

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

func (t *TargetLimiter) advance(now time.Time) []Decision {
	t.grants = t.grants[:0]
	t.step(now)
	return t.grants
}

// step drops what has expired and starts what may start.
func (t *TargetLimiter) step(now time.Time) {
	t.lingering = slices.DeleteFunc(t.lingering, func(l linger) bool { return !l.until.After(now) })
	t.refuseQueued(now)
	for len(t.queue) > 0 && t.free(now) {
		w := t.queue[0]
		t.queue = slices.Delete(t.queue, 0, 1)
		t.running = append(t.running, running{w.Ticket, now, w.Deadline})
		t.grants = append(t.grants, Decision{Ticket: w.Ticket})
	}
}

func (t *TargetLimiter) refuseQueued(now time.Time) {
	var err error
	switch {
	case t.closed != clementineport.FaultUnknown:
		err = clementineport.Fail(t.closed, "target is no longer served here")
	case now.Before(t.drained):
		err = clementineport.Fail(clementineport.FaultDraining, "target is draining")
	}
	t.queue = slices.DeleteFunc(t.queue, func(w Request) bool {
		cause := err
		if cause == nil && !w.Deadline.After(now) {
			cause = clementineport.Fail(clementineport.FaultDeadline, "deadline passed in the queue")
		}
		if cause != nil {
			t.grants = append(t.grants, Decision{w.Ticket, cause})
		}
		return cause != nil
	})
}

// free reports whether one more call may start. When canceled calls alone block a target, one call
// more is allowed after a while: its answer shows whether they have stopped.
func (t *TargetLimiter) free(now time.Time) bool {
	if t.InUse() < t.Limit(now) {
		return true
	}
	return len(t.running) == 0 && !now.Before(t.probeAt())
}

func (t *TargetLimiter) probeAt() time.Time {
	grace := t.opts.CancelGrace
	if t.ramp.Limit() <= 1 && !t.ramp.RestartSuspected() {
		grace = t.opts.ColdCancelGrace
	}
	at := time.Time{}
	for _, l := range t.lingering {
		if since := l.since.Add(grace); since.After(at) {
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
	if len(t.lingering) > 0 && len(t.running) == 0 && t.probeAt().After(now) {
		next = earlier(next, t.probeAt())
	}
	for _, at := range [...]time.Time{t.handover, t.sharedUntil} {
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

// confirm drops the lingering calls that an answer shows to have stopped: it was sent after they were
// canceled, and the target reports no more calls than are known to be in progress.
func (t *TargetLimiter) confirm(call running, res *clementineport.CallResult) {
	if res.Signals.Start == "" || len(t.lingering) == 0 || res.Signals.InFlight > len(t.running) {
		return
	}
	t.lingering = slices.DeleteFunc(t.lingering, func(l linger) bool { return l.since.Before(call.started) })
}

// observeOthers lowers the limit while the target reports calls that this VM has not sent.
func (t *TargetLimiter) observeOthers(now time.Time, res *clementineport.CallResult) {
	others := res.Signals.InFlight - t.InUse()
	if res.Signals.Start == "" || others <= 0 {
		return
	}
	if now.Before(t.sharedUntil) {
		others = max(others, t.shared)
	}
	t.shared, t.sharedUntil = others, now.Add(t.opts.OtherCallsTTL)
}

func (t *TargetLimiter) observeDrain(now time.Time, res *clementineport.CallResult) {
	switch {
	case res.Signals.Draining, clementineport.FaultOf(res.Err) == clementineport.FaultDraining:
		t.drained = now.Add(t.opts.DrainRecheckInterval)
	case res.Signals.Start != "":
		t.drained = time.Time{}
	}
}

func (t *TargetLimiter) observeTime(res *clementineport.CallResult) {
	if res.Err != nil || res.Elapsed <= 0 {
		return
	}
	t.service.Observe(res.Elapsed)
	if t.ramp.Warm() && !res.Signals.Cold && !t.ramp.IsLatencyJump(res.Elapsed, t.warmTime.Value()) {
		t.warmTime.Observe(res.Elapsed)
	}
}
