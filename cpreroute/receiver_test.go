package cpreroute_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdrain"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cpreach"
	"github.com/clementineport/clementineport/cpreroute"
	"github.com/clementineport/clementineport/cproute"
)

// receive has a receiver with routes of version 5 run a request, and returns its result and the request that it forwarded.
func receive(t *testing.T, r *clementineport.ReroutedRequest, opts ...cpreroute.Option) (*clementineport.ReroutedResult, *clementineport.OpaqueRequest) {
	t.Helper()
	var forwarded *clementineport.OpaqueRequest
	view, requests := &cpfleetstate.View{Router: table(5)}, cpdrain.NewRequests()
	c := cpreroute.NewReceiver(append([]cpreroute.Option{
		cpreroute.WithRequests(requests),
		cpreroute.WithView(func() *cpfleetstate.View { return view }), cpreroute.WithReach(cpreach.New()),
		cpreroute.WithForward(func(_ context.Context, _ *clementineport.Route, r *clementineport.OpaqueRequest) *cpforward.Result {
			forwarded = r
			assert.Equal(t, requests.InFlight(), 1)
			return &cpforward.Result{OpaqueResult: served(0).OpaqueResult}
		}, nil, nil),
	}, opts...)...)
	result, err := c.Reroute(t.Context(), r)
	assert.NilError(t, err)
	assert.Equal(t, requests.InFlight(), 0)
	return result, forwarded
}

// TestAReceiverTakesTheWorkspaceOfTheSender guards against requests that are authenticated twice, and against requests that run
// without a workspace because the VM that sent them has older routes.
func TestAReceiverTakesTheWorkspaceOfTheSender(t *testing.T) {
	for _, row := range []struct {
		workspace clementineport.WorkspaceID
		public    bool
		runs      bool
	}{{"gone", false, true}, {"gone", true, true}, {"", true, true}, {"", false, false}} {
		routes := &clementineport.RouteTable{Version: 5, Routes: []clementineport.Route{*route(true)}, Workspaces: []clementineport.Workspace{{Name: "a"}}}
		routes.Routes[0].Public = row.public
		view := &cpfleetstate.View{Router: cproute.New(routes, nil)}
		r := rerouted(4)
		r.Workspace, r.Header = row.workspace, http.Header{"X": {"y"}}
		result, forwarded := receive(t, r, cpreroute.WithView(func() *cpfleetstate.View { return view }))
		if !row.runs {
			assert.Equal(t, result.Err.Fault, clementineport.FaultStale)
			assert.Assert(t, forwarded == nil)
			continue
		}
		assert.Equal(t, forwarded.Workspace, row.workspace)
		assert.DeepEqual(t, forwarded.Header, r.Header)
	}
}

func rerouted(version clementineport.Revision) *clementineport.ReroutedRequest {
	return &clementineport.ReroutedRequest{OpaqueRequest: *request(), From: "a", Version: version}
}

func TestAReceiverRunsARequestByItsOwnRoutes(t *testing.T) {
	result, forwarded := receive(t, rerouted(4))
	assert.Assert(t, result.Part != nil)
	assert.Equal(t, result.Version, clementineport.Revision(5))
	assert.Assert(t, !forwarded.Deadline.After(forwarded.Arrived.Add(time.Second)), "the timeout of the route")
	r := rerouted(5)
	r.Deadline = r.Arrived.Add(500 * time.Millisecond)
	_, forwarded = receive(t, r)
	assert.Assert(t, forwarded.Deadline.Before(r.Deadline), "the answer needs time to return")
	r.URI = "x"
	result, forwarded = receive(t, r)
	assert.Equal(t, result.Err.Fault, clementineport.FaultNotFound)
	assert.Assert(t, forwarded == nil)
}

// TestAReceiverRunsNothingThatItCannotServe guards against requests that go round between VMs, and against older routes and VMs
// that are shutting down.
func TestAReceiverRunsNothingThatItCannotServe(t *testing.T) {
	draining := cpreroute.WithAdmit(func() *clementineport.Error { return clementineport.Fail(clementineport.FaultDraining, "leaving") })
	noTime := cpreroute.WithAdmitRequest(func(*clementineport.Route, time.Time) *clementineport.Error {
		return clementineport.Fail(clementineport.FaultDraining, "leaving")
	})
	noRoutes := cpreroute.WithView(func() *cpfleetstate.View { return &cpfleetstate.View{} })
	for _, row := range []struct {
		version clementineport.Revision
		opts    []cpreroute.Option
		fault   clementineport.Fault
	}{
		{6, nil, clementineport.FaultStale},
		{5, []cpreroute.Option{noRoutes}, clementineport.FaultStale},
		{5, []cpreroute.Option{draining}, clementineport.FaultDraining},
		{5, []cpreroute.Option{noTime}, clementineport.FaultDraining},
		{5, []cpreroute.Option{cpreroute.WithReach(lostTracker())}, clementineport.FaultUnreached},
	} {
		result, forwarded := receive(t, rerouted(row.version), row.opts...)
		assert.Equal(t, result.Err.Fault, row.fault)
		assert.Equal(t, result.Err.Verdict(), clementineport.NotRun)
		assert.Assert(t, forwarded == nil)
	}
}

// TestAReceiverRunsNoRequestWhoseRouteHasChanged guards against callers that see the effect of a version at a VM and then that of
// an earlier one, since the VM has its requests run by others of which only some have the version.
func TestAReceiverRunsNoRequestWhoseRouteHasChanged(t *testing.T) {
	unchanged := rerouted(4)
	unchanged.Route = route(true).Fingerprint()
	result, forwarded := receive(t, unchanged)
	assert.Assert(t, result.Err == nil && forwarded != nil)

	changed := rerouted(4)
	earlier := route(true)
	earlier.Services[0].Service = "other"
	changed.Route = earlier.Fingerprint()
	result, forwarded = receive(t, changed)
	assert.Assert(t, forwarded == nil)
	assert.Equal(t, result.Err.Fault, clementineport.FaultStale)
	assert.Equal(t, result.Version, clementineport.Revision(5))

	dropped := rerouted(4)
	dropped.Host, dropped.Route = "dropped", earlier.Fingerprint()
	result, _ = receive(t, dropped)
	assert.Equal(t, result.Err.Fault, clementineport.FaultStale)
}

// TestARequestOfAnotherVMIsAnsweredWhenThisOneShutsDown guards against a planned stop that cuts the requests that a VM runs for others.
func TestARequestOfAnotherVMIsAnsweredWhenThisOneShutsDown(t *testing.T) {
	requests := cpdrain.NewRequests()
	forward := func(ctx context.Context, route *clementineport.Route, _ *clementineport.OpaqueRequest) *cpforward.Result {
		requests.End()
		<-ctx.Done()
		return cpforward.Failed(cpforward.Unanswered(ctx, route))
	}
	result, _ := receive(t, rerouted(5), cpreroute.WithRequests(requests), cpreroute.WithForward(forward, nil, nil))
	assert.Equal(t, result.Err.Fault, clementineport.FaultTimeout)
}
