package cprelay

import (
	"context"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Targets looks up targets.
type Targets interface {
	// Target returns the target with an ID, or an *Error if this VM may not call it.
	Target(id clementineport.TargetID) (clementineport.Target, error)
}

// Owner makes calls to the targets that this VM owns, within their limits.
type Owner struct {
	clock   clementineport.Clock
	targets Targets
	limiter clementineport.Limiter
	maySend func() error
}

// NewOwner returns an Owner. maySend is called just before each call is sent; an error fails the call.
func NewOwner(clock clementineport.Clock, targets Targets, limiter clementineport.Limiter, maySend func() error) *Owner {
	return &Owner{clock: clock, targets: targets, limiter: limiter, maySend: maySend}
}

// Relay implements Relayer.
func (o *Owner) Relay(ctx context.Context, r *clementineport.RelayRequest, deliver func(clementineport.CallResult)) error {
	if len(r.Calls) == 0 {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, latestDeadline(r.Calls))
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

// latestDeadline returns the latest deadline of the calls. Calls of one query have the same deadline.
func latestDeadline(calls []clementineport.Call) time.Time {
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
		return failedResult(c, asError(err))
	}
	done, err := o.limiter.Acquire(ctx, c)
	if err != nil {
		r := failedResult(c, asError(err))
		r.Load = o.limiter.Load(c.Target)
		return r
	}
	r := o.search(ctx, t, c)
	done(&r)
	r.Load = o.limiter.Load(c.Target)
	return r
}

// rechecker is a Limiter that records which targets were draining.
type rechecker interface {
	WasDraining(t clementineport.TargetID) bool
}

// recheckRequest is the request ID of the calls that check whether a target is still draining.
const recheckRequest clementineport.RequestID = "recheck"

// callOrRecheck returns the call, or, if the target was draining, a call that checks whether it still is. That call
// names no snapshot, so the target runs nothing, and its refusal shows whether it is still draining.
func (o *Owner) callOrRecheck(c *clementineport.Call) *clementineport.Call {
	if l, ok := o.limiter.(rechecker); !ok || !l.WasDraining(c.Target) {
		return c
	}
	recheck := *c
	recheck.Request, recheck.Snapshot, recheck.Text = recheckRequest, clementineport.Snapshot{}, ""
	recheck.Limit, recheck.Idempotent = 1, true
	return &recheck
}

// search sends the call. It first checks that new work may still be sent, since the call may have waited in Acquire.
func (o *Owner) search(ctx context.Context, t clementineport.Target, c *clementineport.Call) clementineport.CallResult {
	if err := o.maySend(); err != nil {
		return failedResult(c, asError(err))
	}
	start := o.clock.Now()
	reply, err := t.Search(ctx, o.callOrRecheck(c))
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
