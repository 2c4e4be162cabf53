package cpforward_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpforward"
)

// startOrder returns the order in which requests start that wait for the end of another one.
func startOrder(t *testing.T, table *clementineport.RouteTable, waiting ...*clementineport.OpaqueRequest) (order []clementineport.RequestID) {
	t.Helper()
	f := newFleet("a")
	var mu sync.Mutex
	release := make(chan struct{})
	for _, c := range f.clients["a"] {
		c.serve = func(_ context.Context, r *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
			if r.ID == "r" {
				<-release
				return part("a"), nil
			}
			mu.Lock()
			defer mu.Unlock()
			order = append(order, r.ID)
			return part("a"), nil
		}
	}
	fw := f.forwarder(cpforward.WithAdmission(cpadmit.WithLimits(1, 1, 1), cpadmit.WithMaxWaitShare(1)))
	fw.SetRoutes(table)
	var wg sync.WaitGroup
	for i, r := range append([]*clementineport.OpaqueRequest{request(time.Minute, time.Minute)}, waiting...) {
		wg.Go(func() { fw.Forward(context.Background(), &table.Routes[0], r) })
		for s := fw.Admission(); s.InProgress < 1 || s.Waiting[0]+s.Waiting[1]+s.Waiting[2] < i; s = fw.Admission() {
			time.Sleep(time.Millisecond)
		}
	}
	close(release)
	wg.Wait()
	return order
}

// ofWorkspace returns a request of a workspace.
func ofWorkspace(w clementineport.WorkspaceID, maxWait time.Duration) *clementineport.OpaqueRequest {
	r := request(time.Minute, maxWait)
	r.ID, r.Workspace = clementineport.RequestID(w), w
	return r
}

// Guards against an order by the priority of the route where the workspace has one, and against a workspace that waits behind all
// requests that another one has sent before it.
func TestWaitingRequestsStartByWorkspace(t *testing.T) {
	route := singleRoute(true)
	route.Objective, route.Priority = time.Minute, 1
	table := &clementineport.RouteTable{Routes: []clementineport.Route{*route}, Workspaces: []clementineport.Workspace{
		{Name: "flood"}, {Name: "small"}, {Name: "first", HasPriority: true}, {Name: "last", HasPriority: true, Priority: 2},
	}}
	order := startOrder(t, table, ofWorkspace("last", time.Minute), ofWorkspace("flood", time.Minute), ofWorkspace("flood", time.Minute),
		ofWorkspace("small", time.Minute), ofWorkspace("first", time.Minute))
	assert.DeepEqual(t, order, []clementineport.RequestID{"first", "flood", "small", "flood", "last"})
}

// Guards against callers that get ahead of others by retrying. Without workspaces their retries go first, as before.
func TestARetryGetsNoPlaceAheadOfOtherWorkspaces(t *testing.T) {
	route := singleRoute(true)
	route.Objective, route.Priority = time.Minute, 1
	urgent := *route
	urgent.Name, urgent.Priority = "urgent", 0
	table := &clementineport.RouteTable{Routes: []clementineport.Route{*route, urgent}}
	waiting := []*clementineport.OpaqueRequest{ofWorkspace("a", time.Minute), ofWorkspace("retry", 59*time.Second)}
	want := []clementineport.RequestID{"retry", "a"}
	assert.DeepEqual(t, startOrder(t, table, waiting...), want)
	table.Workspaces = []clementineport.Workspace{{Name: "a"}, {Name: "retry"}}
	slices.Reverse(want)
	assert.DeepEqual(t, startOrder(t, table, waiting...), want)
}
