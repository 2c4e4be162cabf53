// Package cprelay sends the calls of a query to their targets: directly for targets that this VM owns, and through
// the owning VM for all others. It chooses the VM to send a call through, never the target.
package cprelay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Route is the VM through which a target is reached. Self is true if it is this VM.
type Route struct {
	VM   clementineport.VMID
	Self bool
}

// Router returns the routes of one view of the fleet.
type Router interface {
	// Route returns the route through the owner of a target, or through its standby owner.
	Route(t clementineport.TargetID, standby bool) (Route, bool)
	// Peer returns the connection to a VM that Route has returned, or nil.
	Peer(vm clementineport.VMID) clementineport.Peer
	// Revision returns the revision in force.
	Revision() clementineport.Revision
}

// Relayer makes calls and delivers each result as it arrives.
type Relayer interface {
	Relay(ctx context.Context, r *clementineport.RelayRequest, deliver func(clementineport.CallResult)) error
}

// Sender sends the calls of the queries for which this VM is the root.
type Sender struct {
	opts   Options
	health *peerHealth
	paths  *targetPaths
}

// New returns a Sender.
func New(opts ...Option) *Sender {
	o := newOptions(opts)
	return &Sender{opts: o, health: newPeerHealth(o.RouteBackoff), paths: newTargetPaths(o.RouteBackoff)}
}

// Send makes the calls and delivers exactly one result for each call before it returns.
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

// sendGroup sends calls through one VM. Calls that provably did not run there are resent once, through another VM.
func (s *Sender) sendGroup(ctx context.Context, router Router, g *group, deliver func(clementineport.CallResult)) {
	var resends sync.WaitGroup
	defer resends.Wait()
	rest := s.attempt(ctx, router, g, func(r clementineport.CallResult) {
		lost := s.paths.observe(g.route.VM, &r, s.opts.Clock.Now())
		if g.standby || ctx.Err() != nil || !canUseOtherVM(r.Err, lost) {
			deliver(r)
			return
		}
		resends.Go(func() { s.resend(ctx, router, g.route.VM, g.find(r.Attempt), deliver) })
	})
	if !g.standby && len(rest.calls) > 0 && rest.err.Verdict() == clementineport.NotRun && ctx.Err() == nil {
		s.resend(ctx, router, g.route.VM, rest.calls, deliver)
		return
	}
	failAll(rest.calls, rest.err, deliver)
}

// canUseOtherVM reports whether another VM may still make a call: a VM refused it, or its path to the targets seems to be
// lost and the call has not run.
func canUseOtherVM(err error, lost bool) bool {
	fault := clementineport.FaultOf(err)
	refused := fault == clementineport.FaultNotOwner || fault == clementineport.FaultStale
	return refused || lost && clementineport.VerdictOf(err) == clementineport.NotRun
}

// resend sends calls that provably did not run at failedVM through other VMs.
func (s *Sender) resend(ctx context.Context, router Router, failedVM clementineport.VMID, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
	for _, other := range groupByOtherVM(router, failedVM, calls) {
		rest := s.attempt(ctx, router, other, deliver)
		failAll(rest.calls, rest.err, deliver)
	}
}

// find returns the call with the given attempt, as a slice of one.
func (g *group) find(a clementineport.AttemptID) []clementineport.Call {
	i := slices.IndexFunc(g.calls, func(c clementineport.Call) bool { return c.Attempt == a })
	return g.calls[i : i+1]
}

// remainder holds the calls that a relay left without a result, and the error that they fail with.
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
	start := s.opts.Clock.Now()
	err := relayer.Relay(ctx, &clementineport.RelayRequest{
		From:     s.opts.Self,
		Revision: router.Revision(),
		Calls:    g.calls,
	}, func(r clementineport.CallResult) {
		if pending.markDone(r.Attempt) {
			deliver(r)
		}
	})
	rest := remainder{calls: pending.remaining()}
	if err == nil && len(rest.calls) > 0 {
		err = clementineport.Fail(clementineport.FaultCut, "the VM ended the relay without a result")
	}
	if err != nil {
		rest.err = asError(err)
	}
	if !g.route.Self {
		s.observe(ctx, g.route.VM, start, err)
	}
	return rest
}

// relayer returns the Relayer of a route, or nil if there is no connection to its VM.
func (s *Sender) relayer(router Router, r Route) Relayer {
	if r.Self {
		return s.opts.Local
	}
	if peer := router.Peer(r.VM); peer != nil {
		return peer
	}
	return nil
}

// observe records whether a relay through a VM succeeded. A canceled relay is not counted as a failure.
func (s *Sender) observe(ctx context.Context, vm clementineport.VMID, start time.Time, err error) {
	switch {
	case err == nil:
		s.health.succeeded(vm)
		s.opts.OnSuccess(vm, start)
	case ctx.Err() != nil:
	default:
		s.opts.Metrics.RouteFailures.Inc()
		s.health.failed(vm, clementineport.FaultOf(err), start, s.opts.Clock.Now())
		s.opts.OnFailure(vm)
	}
}

func failAll(calls []clementineport.Call, err *clementineport.Error, deliver func(clementineport.CallResult)) {
	for i := range calls {
		r := failedResult(&calls[i], err)
		r.RelayFailed = true
		deliver(r)
	}
}

func failedResult(c *clementineport.Call, err *clementineport.Error) clementineport.CallResult {
	return clementineport.CallResult{Attempt: c.Attempt, Shard: c.Shard, Target: c.Target, Err: err}
}
