// Package cpreroute has other VMs run the requests of callers while this VM reaches no target, and runs those of other VMs.
//
// A request is sent on only once: the VM that receives it runs it or refuses it. All that bounds a request holds at that VM as
// for requests of its own callers: admission, budgets, limits and closures of targets, and what is out of service.
package cpreroute

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cpowner"
	"github.com/clementineport/clementineport/cpreach"
)

// Sender forwards requests to targets, or to other VMs while this VM reaches no target. It is safe for concurrent use.
type Sender struct {
	options Options

	mu sync.Mutex
	// inFlight counts the requests that each other VM runs for this one.
	inFlight map[clementineport.VMID]int
	// version is the highest version of the routes by which another VM has handled a request for this one.
	version clementineport.Revision
}

// NewSender returns a sender.
func NewSender(opts ...Option) *Sender {
	return &Sender{options: NewOptions(opts...), inFlight: map[clementineport.VMID]int{}}
}

// Forward executes a request on a route and returns its result.
func (s *Sender) Forward(ctx context.Context, route *clementineport.Route, r *clementineport.OpaqueRequest) *cpforward.Result {
	view := s.options.View()
	version, behind := s.lowestVersion(view)
	if !behind && s.options.Reach.State() != cpreach.Lost {
		result := s.options.Forward(ctx, route, r)
		if !result.Unreached {
			return result
		}
		again := *r
		again.EarlierAttempts = result.Attempts
		r = &again
	}
	return s.reroute(ctx, route, &clementineport.ReroutedRequest{
		OpaqueRequest: *r, From: view.Self, Version: version, Route: route.Fingerprint(),
	})
}

// lowestVersion returns the lowest version of the routes by which requests may be handled, and whether this VM has only an
// earlier one. Once callers have seen the effect of a version they must not see that of an earlier one.
func (s *Sender) lowestVersion(view *cpfleetstate.View) (_ clementineport.Revision, behind bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := view.Router.Table().Version
	return max(own, s.version), own < s.version
}

// Behind reports whether another VM has handled a request for this one by newer routes than this VM's.
func (s *Sender) Behind() bool {
	view := s.options.View()
	if view.Router == nil {
		return false
	}
	_, behind := s.lowestVersion(view)
	return behind
}

// reroute has another VM run a request, or a further one if the first has not run it. If there is none, this VM runs it itself
// while its open connections still work.
func (s *Sender) reroute(ctx context.Context, route *clementineport.Route, r *clementineport.ReroutedRequest) *cpforward.Result {
	result, again := s.sendWithin(ctx, route, r)
	if again && !s.options.Reach.Silent(s.options.Clock.Now()) && r.Version <= s.options.View().Router.Table().Version {
		result = s.options.Stay(ctx, route, &r.OpaqueRequest)
	}
	if result.Err != nil && result.Err.Fault == clementineport.FaultCanceled && ctx.Err() != nil {
		result.Err = cpforward.Unanswered(ctx, route)
	}
	if result.Err != nil && r.EarlierAttempts > 0 && result.Err.Verdict() == clementineport.NotRun {
		result.Err = &clementineport.Error{Fault: route.UnansweredFault(), Reason: "an earlier attempt may have run", Err: result.Err}
	}
	return result
}

// sendWithin sends a request to other VMs if there is room for the copies that this takes.
func (s *Sender) sendWithin(ctx context.Context, route *clementineport.Route, r *clementineport.ReroutedRequest) (result *cpforward.Result, again bool) {
	if err := clementineport.GrowLarge(r.Memory, messageCopies*r.MemoryBytes()); err != nil {
		return cpforward.Failed(err), false
	}
	return s.sendToAny(ctx, route, r)
}

// sendToAny sends a request to other VMs until one has run it, and returns the last result. again reports whether a further VM
// could run it, if there were one.
func (s *Sender) sendToAny(ctx context.Context, route *clementineport.Route, r *clementineport.ReroutedRequest) (result *cpforward.Result, again bool) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	result = s.noVM(r)
	tried := map[clementineport.VMID]bool{}
	for range maxVMs {
		vm, ok := s.choose(tried)
		if !ok {
			return result, true
		}
		tried[vm.ID] = true
		result = s.send(ctx, vm, r)
		if !s.mayTryAnother(route, r, result) {
			return result, false
		}
	}
	return result, true
}

// noVM returns the refusal of a request that no VM can run.
func (s *Sender) noVM(r *clementineport.ReroutedRequest) *cpforward.Result {
	err := clementineport.Fail(clementineport.FaultUnreached, "this VM reaches no target, and no other VM that does")
	if own := s.options.View().Router.Table().Version; own < r.Version {
		err = clementineport.Fail(clementineport.FaultStale, "routes are of version %d, needed is %d, and no other VM can run the request", own, r.Version)
	}
	err.RetryAfter = s.options.RetryAfter
	return cpforward.Failed(err)
}

// choose returns another VM that reaches targets, the less used one of two. Each VM uses a few of the others, so that it needs
// few connections. VMs that are shutting down still run requests for a while, and are chosen if there are no others.
func (s *Sender) choose(tried map[clementineport.VMID]bool) (clementineport.VM, bool) {
	view := s.options.View()
	rank := func(leaving bool) []int32 {
		return cpowner.Rank(string(view.Self), view.Members, usedVMs, func(m *clementineport.Member) bool {
			usable := m.State == clementineport.MemberAlive || m.State == clementineport.MemberLeaving
			isLeaving := m.Leaving || m.State == clementineport.MemberLeaving
			return m.ID != view.Self && usable && isLeaving == leaving && m.Peer != "" && !view.Lost[m.ID] && !tried[m.ID]
		})
	}
	ranked := rank(false)
	if len(ranked) == 0 {
		ranked = rank(true)
	}
	if len(ranked) == 0 {
		return clementineport.VM{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a, b := view.Members[ranked[rand.IntN(len(ranked))]].VM, view.Members[ranked[rand.IntN(len(ranked))]].VM
	if s.inFlight[b.ID] < s.inFlight[a.ID] {
		return b, true
	}
	return a, true
}

// send has a VM run a request.
func (s *Sender) send(ctx context.Context, vm clementineport.VM, r *clementineport.ReroutedRequest) *cpforward.Result {
	s.count(vm.ID, 1)
	defer s.count(vm.ID, -1)
	began := s.options.Clock.Now()
	s.options.Peers.Retain(s.options.View().Members)
	result := &cpforward.Result{Via: vm.ID}
	answer, err := s.options.Peers.Get(vm).Reroute(ctx, r)
	if err != nil {
		result.Err = &clementineport.Error{Fault: clementineport.FaultOf(err), Reason: "rerouted to " + string(vm.ID), Err: err}
	} else {
		result.OpaqueResult, result.Stats = answer.OpaqueResult, stats(&answer.OpaqueResult)
		result.ViaVersion = answer.Version
		s.observeVersion(vm, answer)
	}
	s.options.OnSent(r, vm.ID, result.Err, s.options.Clock.Now().Sub(began))
	return result
}

// stats returns the shards of a result.
func stats(r *clementineport.OpaqueResult) cpfanout.Stats {
	switch {
	case r.Gathered != nil:
		covered := len(r.Gathered.Signatures)
		return cpfanout.Stats{Shards: covered + r.Gathered.Missing, Covered: covered}
	case r.Part != nil:
		return cpfanout.Stats{Shards: 1, Covered: 1}
	default:
		return cpfanout.Stats{}
	}
}

func (s *Sender) count(vm clementineport.VMID, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight[vm] += n; s.inFlight[vm] == 0 {
		delete(s.inFlight, vm)
	}
}

// observeVersion records the version of the routes by which a VM has handled a request, or refused it since its route has changed.
func (s *Sender) observeVersion(vm clementineport.VM, answer *clementineport.ReroutedResult) {
	own := s.options.View().Router.Table().Version
	s.mu.Lock()
	newer := answer.Version > max(own, s.version)
	if answer.Err == nil || answer.Err.Fault != clementineport.FaultStale {
		s.version = max(s.version, answer.Version)
	}
	s.mu.Unlock()
	if newer {
		s.options.OnNewerRoutes(vm, answer.Version)
	}
}

// mayTryAnother reports whether another VM may run the request after a failure at one: that VM is not able to run any, or the
// call to it failed and the request may run twice. The latter is charged to the budget as a retry.
func (s *Sender) mayTryAnother(route *clementineport.Route, r *clementineport.ReroutedRequest, result *cpforward.Result) bool {
	if result.Err == nil {
		return false
	}
	switch result.Err.Fault {
	case clementineport.FaultUnreached, clementineport.FaultStale, clementineport.FaultDraining, clementineport.FaultNotOwner,
		clementineport.FaultRefused, clementineport.FaultUnsent:
		return true
	case clementineport.FaultReset, clementineport.FaultCut, clementineport.FaultInternal:
		if !route.Idempotent || r.EarlierAttempts+1 >= route.MaxAttempts || !s.options.SpendRetry(services(route)) {
			return false
		}
		r.EarlierAttempts++
		return true
	default:
		return false
	}
}

// services returns the services that may have got a request on a route.
func services(route *clementineport.Route) []clementineport.ServiceID {
	if route.Gathers() {
		return route.Shards
	}
	all := make([]clementineport.ServiceID, len(route.Services))
	for i := range route.Services {
		all[i] = route.Services[i].Service
	}
	return all
}
