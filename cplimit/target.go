package cplimit

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpslowstart"
)

// Ticket numbers one call at one target.
type Ticket uint64

// Request is a call that asks to start.
type Request struct {
	Ticket   Ticket
	Class    clementineport.Class
	Deadline time.Time
}

// Decision says that a call may start, or why it will not.
type Decision struct {
	Ticket Ticket
	Err    error
}

type running struct {
	ticket   Ticket
	started  time.Time
	deadline time.Time
}

// linger is a call that ended here but may still run at the target.
type linger struct {
	since time.Time
	until time.Time
}

// TargetLimiter is the state machine of the limits of one target. It is not safe for concurrent use.
// The slices that its methods return are valid until the next call.
type TargetLimiter struct {
	opts *Options
	rng  *rand.Rand
	ramp cpslowstart.SlowStart
	// warmTime is the time of a warm answer, shared by the targets of a group.
	warmTime *cpslowstart.Average

	slots, queueSize int
	closed           clementineport.Fault
	drained          time.Time
	handover         time.Time
	shared           int
	sharedUntil      time.Time
	service          cpslowstart.Average
	// answered is when the target last answered.
	answered time.Time

	running   []running
	lingering []linger
	queue     []Request
	grants    []Decision
}

// NewTargetLimiter returns the state of a target that this VM has just begun to own.
func NewTargetLimiter(o *Options, seed uint64, g *clementineport.Group, warmTime *cpslowstart.Average, now time.Time) *TargetLimiter {
	return &TargetLimiter{
		opts:      o,
		rng:       rand.New(rand.NewPCG(o.Seed, seed)),
		ramp:      cpslowstart.New(o.SlowStart, g.Slots),
		warmTime:  warmTime,
		slots:     g.Slots,
		queueSize: g.Queue,
		handover:  now.Add(o.HandoverTime),
	}
}

// Resize changes the settings of the target.
func (t *TargetLimiter) Resize(now time.Time, slots, queue int) []Decision {
	t.slots, t.queueSize = slots, queue
	t.ramp.Resize(slots)
	return t.advance(now)
}

// Close refuses the queued and all further calls with a fault.
func (t *TargetLimiter) Close(now time.Time, f clementineport.Fault) []Decision {
	t.closed = f
	return t.advance(now)
}

// Open accepts calls again, as a new owner.
func (t *TargetLimiter) Open(now time.Time) {
	if t.closed == clementineport.FaultUnknown {
		return
	}
	t.closed = clementineport.FaultUnknown
	t.handover = now.Add(t.opts.HandoverTime)
	t.ramp.SuspectRestart(now)
}

// SuspectRestart allows one call at a time until an answer shows whether the target has restarted.
func (t *TargetLimiter) SuspectRestart(now time.Time) { t.ramp.SuspectRestart(now) }

// Offer asks to start a call; without a grant for it in the result the call is queued.
func (t *TargetLimiter) Offer(now time.Time, w Request) []Decision {
	t.grants = t.grants[:0]
	if err := t.refusal(now, w); err != nil {
		t.grants = append(t.grants, Decision{w.Ticket, err})
		return t.grants
	}
	i, _ := slices.BinarySearchFunc(t.queue, w, compareWaiters)
	t.queue = slices.Insert(t.queue, i, w)
	t.step(now)
	if len(t.queue) > t.queueSize {
		last := len(t.queue) - 1
		t.grants = append(t.grants, Decision{t.queue[last].Ticket, t.shed("queue is full", last)})
		t.queue = t.queue[:last]
	}
	return t.grants
}

func compareWaiters(a, b Request) int {
	if a.Class != b.Class {
		return cmp.Compare(a.Class, b.Class)
	}
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	return cmp.Compare(a.Ticket, b.Ticket)
}

// refusal says why a call is refused at once, if it is.
func (t *TargetLimiter) refusal(now time.Time, w Request) error {
	switch {
	case t.closed != clementineport.FaultUnknown:
		return clementineport.Fail(t.closed, "target is not served here")
	case now.Before(t.drained):
		return clementineport.Fail(clementineport.FaultDraining, "target is draining")
	case !w.Deadline.After(now):
		return clementineport.Fail(clementineport.FaultDeadline, "no time left")
	}
	ahead, _ := slices.BinarySearchFunc(t.queue, w, compareWaiters)
	if wait := t.predict(now, ahead); now.Add(wait).After(w.Deadline) {
		return t.shed("would not start before its deadline", ahead)
	}
	return nil
}

// predict returns how long a call with so many calls ahead of it is likely to wait.
func (t *TargetLimiter) predict(now time.Time, ahead int) time.Duration {
	limit := t.Limit(now)
	if t.InUse()+ahead < limit {
		return 0
	}
	return t.serviceTime() * time.Duration(ahead+1) / time.Duration(limit)
}

func (t *TargetLimiter) serviceTime() time.Duration {
	if d := t.service.Value(); d > 0 {
		return d
	}
	if d := t.warmTime.Value(); d > 0 {
		return d
	}
	return t.opts.InitialServiceTime
}

// shed refuses a call and spreads the times at which callers return.
func (t *TargetLimiter) shed(reason string, ahead int) error {
	drain := t.serviceTime() * time.Duration(ahead+1) / time.Duration(max(t.ramp.Limit(), 1))
	drain = max(drain, t.opts.MinRetryAfter)
	return &clementineport.Error{
		Fault:      clementineport.FaultShed,
		Reason:     reason,
		RetryAfter: drain/2 + time.Duration(t.rng.Int64N(int64(drain)+1)),
	}
}

// Done records the result of a call that was started.
func (t *TargetLimiter) Done(now time.Time, id Ticket, res *clementineport.CallResult) []Decision {
	i := slices.IndexFunc(t.running, func(r running) bool { return r.ticket == id })
	if i < 0 {
		return t.advance(now)
	}
	call, inUse := t.running[i], t.InUse()
	t.running = slices.Delete(t.running, i, i+1)
	if res.Signals.Start != "" {
		t.answered = now
	}
	t.observeTime(res)
	t.confirm(call, res)
	start := t.ramp.Start()
	t.ramp.Observe(now, call.started, res, inUse, t.warmTime.Value())
	if start != "" && t.ramp.Start() != start {
		t.lingering = t.lingering[:0]
	}
	if mayStillRun(res) && call.deadline.After(now) {
		t.lingering = append(t.lingering, linger{now, call.deadline})
	}
	t.observeOthers(now, res)
	t.observeDrain(now, res)
	return t.advance(now)
}

// Cancel removes a queued call whose caller has given up.
func (t *TargetLimiter) Cancel(now time.Time, id Ticket) []Decision {
	t.queue = slices.DeleteFunc(t.queue, func(w Request) bool { return w.Ticket == id })
	return t.advance(now)
}

// Tick carries out what is due at a time.
func (t *TargetLimiter) Tick(now time.Time) []Decision { return t.advance(now) }

// Limit returns the number of calls at a time that are allowed now.
func (t *TargetLimiter) Limit(now time.Time) int {
	n := t.ramp.Limit()
	if !t.opts.SlowStart.Disabled && now.Sub(t.answered) > t.opts.MaxResponseAge {
		return 1
	}
	if now.Before(t.handover) {
		n = min(n, t.handoverPart())
	}
	if now.Before(t.sharedUntil) {
		n = min(n, t.slots-t.shared)
	}
	return max(n, 1)
}

// handoverPart is what a new owner may add to the calls of the old one: a part of the slots, and no
// more than the queue of the target.
func (t *TargetLimiter) handoverPart() int {
	return min(int(t.opts.HandoverShare*float64(t.slots)), t.queueSize)
}

// InUse returns the number of calls that count against the limit.
func (t *TargetLimiter) InUse() int { return len(t.running) + len(t.lingering) }

// Queued returns the number of calls that wait.
func (t *TargetLimiter) Queued() int { return len(t.queue) }

// Cold reports whether the target gets fewer calls at a time than it has slots.
func (t *TargetLimiter) Cold() bool { return !t.ramp.Warm() }
