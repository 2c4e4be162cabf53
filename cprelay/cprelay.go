// Package cprelay carries the calls of a query to the VMs that own the targets, and makes the calls to the
// targets that this VM owns. It decides which VM to go through, never which target to ask.
package cprelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Route is the way to a target: through this VM or through another.
type Route struct {
	VM   clementineport.VMID
	Self bool
}

// Router knows the routes of one view.
type Router interface {
	// Route returns the owner of a target, or its deputy.
	Route(t clementineport.TargetID, standby bool) (Route, bool)
	// Peer returns the connection to a VM that Route has named, or nil.
	Peer(vm clementineport.VMID) clementineport.Peer
	// Revision returns the revision in force.
	Revision() clementineport.Revision
}

// Relayer makes calls and delivers each result as it comes.
type Relayer interface {
	Relay(ctx context.Context, r *clementineport.RelayRequest, deliver func(clementineport.CallResult)) error
}

// Sender sends the calls of queries that this VM is the root of.
type Sender struct {
	opts   Options
	routes *health
}

// New returns a Sender.
func New(opts ...Option) *Sender {
	o := newOptions(opts)
	return &Sender{opts: o, routes: newHealth(o.RouteBackoff)}
}

// Send makes the calls and delivers one result for each before it returns.
func (s *Sender) Send(ctx context.Context, router Router, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
	groups := s.group(router, calls, deliver)
	if len(groups) == 0 {
		return
	}
	done := make(chan struct{}, len(groups))
	for _, g := range groups[1:] {
		go func() {
			s.sendGroup(ctx, router, g, deliver)
			done <- struct{}{}
		}()
	}
	s.sendGroup(ctx, router, groups[0], deliver)
	for range groups[1:] {
		<-done
	}
}

// sendGroup sends calls through one VM; calls that provably did not run there go through another one once.
func (s *Sender) sendGroup(ctx context.Context, router Router, g *group, deliver func(clementineport.CallResult)) {
	var moved sync.WaitGroup
	defer moved.Wait()
	left := s.attempt(ctx, router, g, func(r clementineport.CallResult) {
		if g.deputy || !refusedByVM(r.Err) {
			deliver(r)
			return
		}
		moved.Go(func() { s.resend(ctx, router, g.route.VM, g.find(r.Attempt), deliver) })
	})
	if !g.deputy && len(left.calls) > 0 && left.err.Verdict() == clementineport.NotRun && ctx.Err() == nil {
		s.resend(ctx, router, g.route.VM, left.calls, deliver)
		return
	}
	failAll(left.calls, left.err, deliver)
}

// refusedByVM reports whether a VM refused a call that another VM may make.
func refusedByVM(err error) bool {
	fault := clementineport.FaultOf(err)
	return fault == clementineport.FaultNotOwner || fault == clementineport.FaultStale
}

// resend sends calls that provably did not run at one VM through another.
func (s *Sender) resend(ctx context.Context, router Router, tried clementineport.VMID, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
	for _, second := range deputies(router, tried, calls) {
		left := s.attempt(ctx, router, second, deliver)
		failAll(left.calls, left.err, deliver)
	}
}

// find returns the call of an attempt.
func (g *group) find(a clementineport.AttemptID) []clementineport.Call {
	i := slices.IndexFunc(g.calls, func(c clementineport.Call) bool { return c.Attempt == a })
	return g.calls[i : i+1]
}

// remainder is what a Relay left without a result.
type remainder struct {
	calls []clementineport.Call
	err   *clementineport.Error
}

func (s *Sender) attempt(ctx context.Context, router Router, g *group, deliver func(clementineport.CallResult)) remainder {
	relayer := s.relayer(router, g.route)
	if relayer == nil {
		return remainder{g.calls, clementineport.Fail(clementineport.FaultUnavailable, "no other VM for the target")}
	}
	pending := newPending(g.calls)
	s.opts.Metrics.sent(len(g.calls), g.route.Self)
	began := s.opts.Clock.Now()
	err := relayer.Relay(ctx, &clementineport.RelayRequest{
		From:     s.opts.Self,
		Revision: router.Revision(),
		Calls:    g.calls,
	}, func(r clementineport.CallResult) {
		if pending.take(r.Attempt) {
			deliver(r)
		}
	})
	left := remainder{calls: pending.remaining()}
	if err == nil && len(left.calls) > 0 {
		err = clementineport.Fail(clementineport.FaultCut, "the VM ended the relay without a result")
	}
	if err != nil {
		left.err = asError(err)
	}
	if !g.route.Self {
		s.observe(ctx, g.route.VM, began, err)
	}
	return left
}

// relayer returns what makes the calls of a route, or nil.
func (s *Sender) relayer(router Router, r Route) Relayer {
	if r.Self {
		return s.opts.Local
	}
	if peer := router.Peer(r.VM); peer != nil {
		return peer
	}
	return nil
}

// observe records whether a VM answered; a relay that was cancelled says nothing about it.
func (s *Sender) observe(ctx context.Context, vm clementineport.VMID, began time.Time, err error) {
	switch {
	case err == nil:
		s.routes.answered(vm)
		s.opts.OnSuccess(vm, began)
	case ctx.Err() != nil:
	default:
		s.opts.Metrics.RouteFailures.Inc()
		s.routes.failed(vm, clementineport.FaultOf(err), began, s.opts.Clock.Now())
		s.opts.OnFailure(vm)
	}
}

func failAll(calls []clementineport.Call, err *clementineport.Error, deliver func(clementineport.CallResult)) {
	for i := range calls {
		r := failed(&calls[i], err)
		r.RelayFailed = true
		deliver(r)
	}
}

func failed(c *clementineport.Call, err *clementineport.Error) clementineport.CallResult {
	return clementineport.CallResult{Attempt: c.Attempt, Shard: c.Shard, Target: c.Target, Err: err}
}
