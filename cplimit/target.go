package cplimit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpslowstart"
)

// Ticket identifies a call within one target.
type Ticket uint64

// Request is a call that requests to start.
type Request struct {
	Ticket   Ticket
	Class    clementineport.Class
	Deadline time.Time
}

// Decision admits a call, or refuses it with an error.
type Decision struct {
	Ticket Ticket
	Err    error
}

type runningCall struct {
	ticket   Ticket
	started  time.Time
	deadline time.Time
}

// lingeringCall is a call that ended here but may still run at the target.
type lingeringCall struct {
	ended time.Time
	until time.Time
}

// TargetLimiter is the state machine that limits the calls to one target. It is not safe for concurrent use.
// The slices that its methods return are valid until the next method call.
type TargetLimiter struct {
	opts      *Options
	rand      *rand.Rand
	slowStart cpslowstart.SlowStart
	// warmLatency is the average latency of warm targets, shared by the targets of a group.
	warmLatency *cpslowstart.Average

	slots, queueSize int
	closed           clementineport.Fault
	drainingUntil    time.Time
	handoverUntil    time.Time
	// cold is true if the latest answer stated that the target is cold.
	cold            bool
	otherCalls      int
	otherCallsUntil time.Time
	latency         cpslowstart.Average
	// lastResponse is when the target last responded, also with a refusal.
	lastResponse time.Time

	running   []runningCall
	lingering []lingeringCall
	queued    []Request
	decisions []Decision
}

// NewTargetLimiter returns the limiter of a target that this VM has just begun to own.
func NewTargetLimiter(o *Options, seed uint64, g *clementineport.Group, warmLatency *cpslowstart.Average, now time.Time) *TargetLimiter {
	return &TargetLimiter{
		opts:          o,
		rand:          rand.New(rand.NewPCG(o.Seed, seed)),
		slowStart:     cpslowstart.New(o.SlowStart, g.Slots),
		warmLatency:   warmLatency,
		slots:         g.Slots,
		queueSize:     g.Queue,
		handoverUntil: now.Add(o.HandoverTime),
	}
}

// Resize sets the number of slots and the maximum number of queued calls.
func (t *TargetLimiter) Resize(now time.Time, slots, queue int) []Decision {
	t.slots, t.queueSize = slots, queue
	t.slowStart.Resize(slots)
	return t.advance(now)
}

// Close refuses the queued calls and all further ones with a fault.
func (t *TargetLimiter) Close(now time.Time, f clementineport.Fault) []Decision {
	t.closed = f
	return t.advance(now)
}

// Open accepts calls again after Close. The handover starts again, as for a new owner.
func (t *TargetLimiter) Open(now time.Time) {
	if t.closed == clementineport.FaultUnknown {
		return
	}
	t.closed = clementineport.FaultUnknown
	t.handoverUntil = now.Add(t.opts.HandoverTime)
	t.slowStart.SuspectRestart(now)
}

// SuspectRestart limits the target to one call at a time until an answer shows whether it has restarted.
func (t *TargetLimiter) SuspectRestart(now time.Time) { t.slowStart.SuspectRestart(now) }

// Offer requests to start a call. The call is queued if the result holds no decision on it.
func (t *TargetLimiter) Offer(now time.Time, r Request) []Decision {
	t.decisions = t.decisions[:0]
	if err := t.refusal(now, r); err != nil {
		t.decisions = append(t.decisions, Decision{r.Ticket, err})
		return t.decisions
	}
	i, _ := slices.BinarySearchFunc(t.queued, r, compareRequests)
	t.queued = slices.Insert(t.queued, i, r)
	t.startQueued(now)
	if len(t.queued) > t.queueSize {
		last := len(t.queued) - 1
		t.decisions = append(t.decisions, Decision{t.queued[last].Ticket, t.shed(now, "queue is full", last)})
		t.queued = t.queued[:last]
	}
	return t.decisions
}

func compareRequests(a, b Request) int {
	if a.Class != b.Class {
		return cmp.Compare(a.Class, b.Class)
	}
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.Ticket, b.Ticket)
}

// refusal returns the error of a call that is refused immediately, or nil.
func (t *TargetLimiter) refusal(now time.Time, r Request) error {
	switch {
	case t.closed != clementineport.FaultUnknown:
		return clementineport.Fail(t.closed, "target is not served here")
	case now.Before(t.drainingUntil):
		return clementineport.Fail(clementineport.FaultDraining, "target is draining")
	case !r.Deadline.After(now):
		return clementineport.Fail(clementineport.FaultDeadline, "no time left")
	}
	if now.Add(t.handoverWait(now)).After(r.Deadline) {
		return t.shed(now, "target is cold, and its old owner may still call it", 0)
	}
	ahead, _ := slices.BinarySearchFunc(t.queued, r, compareRequests)
	if wait := t.estimateWait(now, ahead); now.Add(wait).After(r.Deadline) {
		return t.shed(now, "would not start before its deadline", ahead)
	}
	return nil
}

// estimateWait estimates how long a call waits that has ahead queued calls before it.
func (t *TargetLimiter) estimateWait(now time.Time, ahead int) time.Duration {
	limit := t.Limit(now)
	if t.InUse()+ahead < limit {
		return t.handoverWait(now)
	}
	return t.handoverWait(now) + t.serviceTime()*time.Duration(ahead+1)/time.Duration(limit)
}

// handoverWait returns how long a new owner sends nothing to a target that it has found cold. The old owner may still call the target,
// which serves one call at a time.
func (t *TargetLimiter) handoverWait(now time.Time) time.Duration {
	if !t.cold || t.opts.SlowStart.Disabled {
		return 0
	}
	return max(0, t.handoverUntil.Sub(now))
}

func (t *TargetLimiter) serviceTime() time.Duration {
	if d := t.latency.Value(); d > 0 {
		return d
	}
	if d := t.warmLatency.Value(); d > 0 {
		return d
	}
	return t.opts.InitialServiceTime
}

// shed returns the error of a refused call, with jitter in RetryAfter so that callers do not retry at the same time.
func (t *TargetLimiter) shed(now time.Time, reason string, ahead int) error {
	drain := t.serviceTime() * time.Duration(ahead+1) / time.Duration(max(t.slowStart.Limit(), 1))
	drain = max(drain, t.opts.MinRetryAfter)
	drain = max(drain, t.handoverWait(now))
	return &clementineport.Error{
		Fault:      clementineport.FaultShed,
		Reason:     reason,
		RetryAfter: drain/2 + time.Duration(t.rand.Int64N(int64(drain)+1)),
	}
}

// Done records the result of a call that was started.
func (t *TargetLimiter) Done(now time.Time, id Ticket, res *clementineport.CallResult) []Decision {
	i := slices.IndexFunc(t.running, func(r runningCall) bool { return r.ticket == id })
	if i < 0 {
		return t.advance(now)
	}
	call, inUse := t.running[i], t.InUse()
	t.running = slices.Delete(t.running, i, i+1)
	if res.Signals.Start != "" {
		t.lastResponse, t.cold = now, res.Signals.Cold
	}
	t.observeLatency(res)
	t.releaseLingering(call, res)
	start := t.slowStart.Start()
	t.slowStart.Observe(now, call.started, res, inUse, t.warmLatency.Value())
	if start != "" && t.slowStart.Start() != start {
		t.lingering = t.lingering[:0]
	}
	if mayStillRun(res) && call.deadline.After(now) {
		t.lingering = append(t.lingering, lingeringCall{now, call.deadline})
	}
	t.observeOtherCalls(now, res)
	t.observeDrain(now, res)
	return t.advance(now)
}

// Cancel removes a queued call whose caller has canceled it.
func (t *TargetLimiter) Cancel(now time.Time, id Ticket) []Decision {
	t.queued = slices.DeleteFunc(t.queued, func(r Request) bool { return r.Ticket == id })
	return t.advance(now)
}

// Tick refuses expired calls and starts queued calls that the limit now allows.
func (t *TargetLimiter) Tick(now time.Time) []Decision { return t.advance(now) }

// Limit returns the current limit on concurrent calls.
func (t *TargetLimiter) Limit(now time.Time) int {
	n := t.slowStart.Limit()
	if !t.opts.SlowStart.Disabled && now.Sub(t.lastResponse) > t.opts.MaxResponseAge {
		return 1
	}
	if now.Before(t.handoverUntil) {
		n = min(n, t.handoverLimit())
	}
	if now.Before(t.otherCallsUntil) {
		n = min(n, t.slots-t.otherCalls)
	}
	return max(n, 1)
}

// handoverLimit returns the limit during a handover, while the old owner may still send calls: a share of the slots, but
// no more calls than the target queues.
func (t *TargetLimiter) handoverLimit() int {
	return min(int(t.opts.HandoverShare*float64(t.slots)), t.queueSize)
}

// InUse returns the number of calls that count against the limit.
func (t *TargetLimiter) InUse() int { return len(t.running) + len(t.lingering) }

// Queued returns the number of queued calls.
func (t *TargetLimiter) Queued() int { return len(t.queued) }

// Cold reports whether the target is in slow start or may have restarted.
func (t *TargetLimiter) Cold() bool { return !t.slowStart.Warm() }
