package cpreroute_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdrain"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cpreach"
	"github.com/clementineport/clementineport/cpreroute"
	"github.com/clementineport/clementineport/cproute"
)

// fakePeer is another VM. Methods that are not implemented panic.
type fakePeer struct {
	clementineport.Peer
	reroute func(context.Context, *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error)
}

// Reroute implements clementineport.Peer.
func (p *fakePeer) Reroute(ctx context.Context, r *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
	return p.reroute(ctx, r)
}

// fleet is a VM named self that has lost its path to the targets, and others.
type fleet struct {
	view  *cpfleetstate.View
	reach *cpreach.Tracker
	// local counts the requests that the VM runs itself, and localResult is their result.
	local       int
	localResult *cpforward.Result
	// stayed counts the requests that the VM runs over its open connections.
	stayed int
	// answer is what the other VMs return.
	answer func(clementineport.VMID, *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error)

	mu sync.Mutex
	// called are the VMs that have got a request, in order.
	called []clementineport.VMID
	// budget is the number of retries left.
	budget int
	// newer are the VMs that were found to have newer routes.
	newer []clementineport.VMID
}

func table(version clementineport.Revision) *cproute.Router {
	return cproute.New(&clementineport.RouteTable{
		Version: version, Routes: []clementineport.Route{*route(true)},
	}, nil)
}

func route(idempotent bool) *clementineport.Route {
	return &clementineport.Route{
		Name: "r", Host: "h", Prefix: "/", Idempotent: idempotent, MaxAttempts: 2, Timeout: time.Second,
		Services: []clementineport.WeightedService{{Service: "s", Weight: 1}},
	}
}

// lostTracker returns the tracker of a VM that lost its path an hour ago.
func lostTracker() *cpreach.Tracker {
	reach, now := cpreach.New(), time.Now().Add(-time.Hour)
	target := clementineport.TargetInstance{ID: "t"}
	reach.Done(now, reach.Sent(now, &target, 0), clementineport.FaultRefused)
	reach.Suspect(now.Add(time.Second), map[clementineport.ServiceID]int{"": 1})
	reach.Unreachable()
	return reach
}

func newFleet(others ...clementineport.VMID) *fleet {
	f := &fleet{reach: lostTracker(), view: &cpfleetstate.View{Self: "self", Router: table(5), Lost: map[clementineport.VMID]bool{}}}
	for _, id := range append(others, "self") {
		f.view.Members = append(f.view.Members, clementineport.Member{VM: clementineport.VM{ID: id, Peer: string(id)}})
	}
	f.answer = func(clementineport.VMID, *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
		return served(5), nil
	}
	return f
}

func served(version clementineport.Revision) *clementineport.ReroutedResult {
	return &clementineport.ReroutedResult{
		OpaqueResult: clementineport.OpaqueResult{Part: &clementineport.OpaqueResponse{Status: 200}}, Version: version,
	}
}

func refused(fault clementineport.Fault) *clementineport.ReroutedResult {
	return &clementineport.ReroutedResult{OpaqueResult: clementineport.OpaqueResult{Err: clementineport.Fail(fault, "refused")}}
}

// Get implements cpreroute.Peers.
func (f *fleet) Get(vm clementineport.VM) clementineport.Peer {
	return &fakePeer{reroute: func(_ context.Context, r *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
		f.mu.Lock()
		f.called = append(f.called, vm.ID)
		f.mu.Unlock()
		return f.answer(vm.ID, r)
	}}
}

// Retain implements cpreroute.Peers.
func (f *fleet) Retain([]clementineport.Member) {}

func (f *fleet) sender() *cpreroute.Sender {
	forward := func(context.Context, *clementineport.Route, *clementineport.OpaqueRequest) *cpforward.Result {
		f.local++
		return f.localResult
	}
	spend := func([]clementineport.ServiceID) bool {
		f.budget--
		return f.budget >= 0
	}
	stay := func(context.Context, *clementineport.Route, *clementineport.OpaqueRequest) *cpforward.Result {
		f.stayed++
		return &cpforward.Result{OpaqueResult: served(5).OpaqueResult}
	}
	return cpreroute.NewSender(cpreroute.WithView(func() *cpfleetstate.View { return f.view }), cpreroute.WithReach(f.reach),
		cpreroute.WithForward(forward, stay, spend), cpreroute.WithPeers(f),
		cpreroute.WithOnNewerRoutes(func(vm clementineport.VM, _ clementineport.Revision) { f.newer = append(f.newer, vm.ID) }))
}

func (f *fleet) member(id clementineport.VMID) *clementineport.Member {
	for i := range f.view.Members {
		if f.view.Members[i].ID == id {
			return &f.view.Members[i]
		}
	}
	return nil
}

func request() *clementineport.OpaqueRequest {
	now := time.Now()
	return &clementineport.OpaqueRequest{ID: "q", Host: "h", URI: "/x?y", Arrived: now, Deadline: now.Add(time.Minute)}
}

// TestRequestsGoOnlyToVMsThatMayServe guards against requests that are passed between VMs that reach no target.
func TestRequestsGoOnlyToVMsThatMayServe(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet("a", "b", "c", "d", "e")
		may, staying := map[clementineport.VMID]bool{}, false
		for i := range f.view.Members {
			m := &f.view.Members[i]
			m.State = rapid.SampledFrom([]clementineport.MemberState{
				clementineport.MemberAlive, clementineport.MemberAlive, clementineport.MemberSuspect, clementineport.MemberDead,
			}).Draw(t, "state")
			m.Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			f.view.Lost[m.ID] = rapid.IntRange(0, 2).Draw(t, "lost") == 0
			may[m.ID] = m.State == clementineport.MemberAlive && !f.view.Lost[m.ID] && m.ID != "self"
			staying = staying || may[m.ID] && !m.Leaving
		}
		result := f.sender().Forward(t.Context(), route(true), request())
		for _, id := range f.called {
			assert.Assert(t, may[id], id)
			assert.Assert(t, !staying || !f.member(id).Leaving, id)
		}
		if len(f.called) == 0 {
			assert.Equal(t, result.Err.Fault, clementineport.FaultUnreached)
			assert.Assert(t, result.Err.RetryAfter > 0)
			return
		}
		assert.Equal(t, len(f.called), 1)
		assert.Equal(t, result.Via, f.called[0])
	})
}

func TestAVMThatReachesTargetsRunsItsRequests(t *testing.T) {
	f := newFleet("a")
	f.reach = cpreach.New()
	f.localResult = &cpforward.Result{}
	assert.Equal(t, f.sender().Forward(t.Context(), route(true), request()), f.localResult)
	assert.Equal(t, len(f.called), 0)
}

func TestARequestThatLosesItsTargetsOnTheWayIsRunByAnotherVM(t *testing.T) {
	f := newFleet("a")
	f.reach = cpreach.New()
	f.localResult = &cpforward.Result{Unreached: true, Attempts: 1}
	f.answer = func(_ clementineport.VMID, r *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
		assert.Equal(t, r.EarlierAttempts, 1)
		assert.Equal(t, r.Workspace, clementineport.WorkspaceID("a"))
		return served(5), nil
	}
	r := request()
	r.Workspace = "a"
	assert.Assert(t, f.sender().Forward(t.Context(), route(true), r).Part != nil)
}

// TestNoFailureIsCalledNotRunAfterAnEarlierAttempt guards against a false promise that a request has not run.
func TestNoFailureIsCalledNotRunAfterAnEarlierAttempt(t *testing.T) {
	f := newFleet()
	f.reach = cpreach.New()
	f.reach.Sent(time.Now().Add(-time.Hour), &clementineport.TargetInstance{ID: "t"}, 0) // nothing has answered since
	f.localResult = &cpforward.Result{Unreached: true, Attempts: 1}
	result := f.sender().Forward(t.Context(), route(true), request())
	assert.Equal(t, result.Err.Verdict(), clementineport.MayHaveRun)
}

func TestAVMThatCannotRunARequestIsReplacedByAnother(t *testing.T) {
	for _, fault := range []clementineport.Fault{
		clementineport.FaultUnreached, clementineport.FaultStale, clementineport.FaultDraining, clementineport.FaultNotOwner,
	} {
		f := newFleet("a", "b", "c")
		f.answer = func(clementineport.VMID, *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
			if len(f.called) < 3 {
				return refused(fault), nil
			}
			return served(5), nil
		}
		result := f.sender().Forward(t.Context(), route(false), request())
		assert.Assert(t, result.Part != nil, fault)
		assert.Assert(t, f.called[0] != f.called[1] && f.called[1] != f.called[2] && f.called[0] != f.called[2])
	}
}

func TestOverloadIsNotPassedOnToFurtherVMs(t *testing.T) {
	f := newFleet("a", "b")
	f.answer = func(clementineport.VMID, *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
		return refused(clementineport.FaultShed), nil
	}
	result := f.sender().Forward(t.Context(), route(true), request())
	assert.Equal(t, result.Err.Fault, clementineport.FaultShed)
	assert.Equal(t, len(f.called), 1)
}

// TestARequestThatMayRunOnlyOnceIsSentAgainOnlyIfItHasNotRun guards against requests that run at two VMs.
func TestARequestThatMayRunOnlyOnceIsSentAgainOnlyIfItHasNotRun(t *testing.T) {
	for _, fault := range clementineport.Faults() {
		f := newFleet("a", "b", "c")
		f.budget = 10
		f.answer = func(clementineport.VMID, *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
			return nil, clementineport.Fail(fault, "failed")
		}
		result := f.sender().Forward(t.Context(), route(false), request())
		if fault.Verdict() != clementineport.NotRun {
			assert.Equal(t, len(f.called), 1, fault)
			assert.Equal(t, result.Err.Verdict(), fault.Verdict(), fault)
		}
	}
}

func TestARepeatedRequestIsChargedToTheBudgetAndBounded(t *testing.T) {
	for _, row := range []struct{ budget, earlier, calls int }{{10, 0, 2}, {0, 0, 1}, {10, 1, 1}} {
		f := newFleet("a", "b", "c")
		f.budget = row.budget
		f.answer = func(clementineport.VMID, *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
			return nil, clementineport.Fail(clementineport.FaultReset, "reset")
		}
		r := request()
		r.EarlierAttempts = row.earlier
		result := f.sender().Forward(t.Context(), route(true), r)
		assert.Equal(t, len(f.called), row.calls)
		assert.Equal(t, result.Err.Verdict(), clementineport.MayHaveRun)
	}
}

// TestRoutesDoNotGoBack guards against requests handled by older routes than earlier ones from the same VM.
func TestRoutesDoNotGoBack(t *testing.T) {
	f := newFleet("a")
	f.answer = func(clementineport.VMID, *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
		return served(9), nil
	}
	s := f.sender()
	s.Forward(t.Context(), route(true), request())
	f.reach.Connected(time.Now())
	f.localResult = &cpforward.Result{}
	f.answer = func(_ clementineport.VMID, r *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
		assert.Equal(t, r.Version, clementineport.Revision(9))
		return served(9), nil
	}
	assert.Assert(t, s.Forward(t.Context(), route(true), request()).Part != nil)
	assert.Equal(t, f.local, 0, "the VM has version 5 only")
	f.view = &cpfleetstate.View{Self: "self", Router: table(9)}
	s.Forward(t.Context(), route(true), request())
	assert.Equal(t, f.local, 1)
}

// TestAVMServesOverItsOpenConnectionsIfNoOtherCan guards against VMs that all refuse what they could serve.
func TestAVMServesOverItsOpenConnectionsIfNoOtherCan(t *testing.T) {
	f := newFleet("a")
	f.view.Lost["a"] = true
	assert.Assert(t, f.sender().Forward(t.Context(), route(true), request()).Err != nil, "its connections are silent")
	now := time.Now()
	f.reach.Done(now, f.reach.Sent(now, &clementineport.TargetInstance{ID: "t"}, 0), clementineport.FaultUnknown)
	assert.Equal(t, f.reach.State(), cpreach.Lost)
	assert.Assert(t, f.sender().Forward(t.Context(), route(true), request()).Part != nil)
	assert.Equal(t, f.stayed, 1)
}

// TestAVMWhoseRequestsAreHandledByNewerRoutesIsBehind guards against callers that see the effect of a version and then that of
// an earlier one.
func TestAVMWhoseRequestsAreHandledByNewerRoutesIsBehind(t *testing.T) {
	f := newFleet("a")
	sender := f.sender()
	assert.Assert(t, !sender.Behind())
	f.answer = func(clementineport.VMID, *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
		return served(6), nil
	}
	for range 2 {
		assert.Assert(t, sender.Forward(t.Context(), route(true), request()).Part != nil)
		assert.Assert(t, sender.Behind())
	}
	assert.DeepEqual(t, f.newer, []clementineport.VMID{"a"})
	f.view = &cpfleetstate.View{Self: f.view.Self, Members: f.view.Members, Router: table(6)}
	assert.Assert(t, !sender.Behind())
}

// TestARefusalForAChangedRouteMakesTheVMCatchUp guards against a VM that keeps its routes after it was told of newer ones, and
// against one that waits for them although no caller has seen their effect.
func TestARefusalForAChangedRouteMakesTheVMCatchUp(t *testing.T) {
	f := newFleet("a")
	f.answer = func(_ clementineport.VMID, r *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
		assert.Equal(t, r.Route, route(true).Fingerprint())
		answer := refused(clementineport.FaultStale)
		answer.Version = 6
		return answer, nil
	}
	sender := f.sender()
	sender.Forward(t.Context(), route(true), request())
	assert.DeepEqual(t, f.newer, []clementineport.VMID{"a"})
	assert.Assert(t, !sender.Behind())
}

// TestARequestAtAnotherVMMayHaveRunWhenThisOneShutsDown guards against a planned stop that cuts the requests that other VMs run for
// this one, and against a promise that they have not run.
func TestARequestAtAnotherVMMayHaveRunWhenThisOneShutsDown(t *testing.T) {
	f, requests := newFleet("a"), cpdrain.NewRequests()
	ctx, done := requests.Begin(t.Context())
	defer done()
	f.answer = func(clementineport.VMID, *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
		requests.End()
		<-ctx.Done()
		return nil, clementineport.Fail(clementineport.FaultCanceled, "canceled")
	}
	result := f.sender().Forward(ctx, route(false), request())
	assert.Equal(t, result.Err.Fault, clementineport.FaultTimeout)
	assert.Equal(t, f.stayed, 0)
}
