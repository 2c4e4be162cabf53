package cprelay

import (
	"context"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Targets finds the connection to a target.
type Targets interface {
	// Target returns the target, or an *Error when this VM may not call it.
	Target(id clementineport.TargetID) (clementineport.Target, error)
}

// Owner makes calls to the targets that this VM owns, within their limits.
type Owner struct {
	clock   clementineport.Clock
	targets Targets
	limiter clementineport.Limiter
	maySend func() error
}

// NewOwner returns an Owner; maySend is asked just before each call is sent.
func NewOwner(clock clementineport.Clock, targets Targets, limiter clementineport.Limiter, maySend func() error) *Owner {
	return &Owner{clock: clock, targets: targets, limiter: limiter, maySend: maySend}
}

// Relay implements Relayer.
func (o *Owner) Relay(ctx context.Context, r *clementineport.RelayRequest, deliver func(clementineport.CallResult)) error {
	if len(r.Calls) == 0 {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, latest(r.Calls))
	defer cancel()
	var wg sync.WaitGroup
	for i := range r.Calls[1:] {
		c := &r.Calls[i+1]
		wg.Go(func() { deliver(o.call(ctx, c)) })
	}
	deliver(o.call(ctx, &r.Calls[0]))
	wg.Wait()
	return nil
}

// latest returns the latest deadline of some calls; those of one query have the same.
func latest(calls []clementineport.Call) time.Time {
	deadline := calls[0].Deadline
	for i := range calls {
		if calls[i].Deadline.After(deadline) {
			deadline = calls[i].Deadline
		}
	}
	return deadline
}

func (o *Owner) call(ctx context.Context, c *clementineport.Call) clementineport.CallResult {
	t, err := o.targets.Target(c.Target)
	if err != nil {
		return failed(c, asError(err))
	}
	done, err := o.limiter.Acquire(ctx, c)
	if err != nil {
		r := failed(c, asError(err))
		r.Load = o.limiter.Load(c.Target)
		return r
	}
	r := o.search(ctx, t, c)
	done(&r)
	r.Load = o.limiter.Load(c.Target)
	return r
}

// rechecker is a Limiter that knows of targets that were draining.
type rechecker interface {
	WasDraining(t clementineport.TargetID) bool
}

// recheckRequest is the id of the questions whether a target is still draining.
const recheckRequest clementineport.RequestID = "recheck"

// toSend returns the call, or a question in its place when the target was draining: a call for no snapshot, which
// runs nothing and whose refusal says whether the target still drains.
func (o *Owner) toSend(c *clementineport.Call) *clementineport.Call {
	if l, ok := o.limiter.(rechecker); !ok || !l.WasDraining(c.Target) {
		return c
	}
	question := *c
	question.Request, question.Snapshot, question.Text = recheckRequest, clementineport.Snapshot{}, ""
	question.Limit, question.Idempotent = 1, true
	return &question
}

// search checks again that new work may be sent, since the call may have waited.
func (o *Owner) search(ctx context.Context, t clementineport.Target, c *clementineport.Call) clementineport.CallResult {
	if err := o.maySend(); err != nil {
		return failed(c, asError(err))
	}
	start := o.clock.Now()
	reply, err := t.Search(ctx, o.toSend(c))
	r := clementineport.CallResult{
		Attempt: c.Attempt,
		Shard:   c.Shard,
		Target:  c.Target,
		Elapsed: o.clock.Now().Sub(start),
	}
	if reply != nil {
		r.Signals = reply.Signals
	}
	if err != nil {
		r.Err = asError(err)
		return r
	}
	r.Reply = reply
	return r
}
