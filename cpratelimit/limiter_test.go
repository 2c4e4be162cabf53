package cpratelimit_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cpratelimit"
)

// peers are limiters that call each other in the process.
type peers struct {
	limiters map[clementineport.VMID]*cpratelimit.Limiter
	calls    atomic.Int64
}

type quotaPeer struct {
	clementineport.Peer
	p *peers
	l *cpratelimit.Limiter
}

// Get implements cpratelimit.Peers.
func (p *peers) Get(vm clementineport.VM) clementineport.Peer {
	return &quotaPeer{p: p, l: p.limiters[vm.ID]}
}

// Retain implements cpratelimit.Peers.
func (*peers) Retain([]clementineport.Member) {}

// Quota implements clementineport.Peer.
func (q *quotaPeer) Quota(ctx context.Context, r *clementineport.QuotaRequest) (*clementineport.QuotaAnswer, error) {
	q.p.calls.Add(1)
	return q.l.Quota(ctx, r)
}

// TestRequestsPassOrAreRefused has three limiters call each other. It guards against requests without a quota that are delayed or
// cost a call, refusals that state no fault or no time to come back, tokens of unsent requests that are lost, and data races.
func TestRequestsPassOrAreRefused(t *testing.T) {
	p, all := &peers{limiters: map[clementineport.VMID]*cpratelimit.Limiter{}}, []clementineport.VMID{"a", "b", "c"}
	view := &cpfleetstate.View{VMs: len(all)}
	for _, id := range all {
		view.Members = append(view.Members, clementineport.Member{VM: clementineport.VM{ID: id}})
	}
	table := &clementineport.RouteTable{Version: 1, Workspaces: []clementineport.Workspace{{Name: "w", Rate: 20, Burst: 1}, {Name: "free"}}}
	var unsent atomic.Bool
	forward := func(context.Context, *clementineport.Route, *clementineport.OpaqueRequest) *cpforward.Result {
		if unsent.Load() {
			return cpforward.Failed(clementineport.Fail(clementineport.FaultShed, "too many requests"))
		}
		return &cpforward.Result{}
	}
	for _, m := range view.Members {
		l := cpratelimit.New(cpratelimit.WithSelf(m), cpratelimit.WithView(func() *cpfleetstate.View { return view }), cpratelimit.WithPeers(p),
			cpratelimit.WithForward(forward), cpratelimit.WithBounds(bounds))
		p.limiters[m.ID] = l
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	for _, l := range p.limiters {
		l.SetRoutes(table)
		wait.Go(func() { _ = l.Serve(ctx) })
	}
	defer wait.Wait()
	defer cancel()
	send := func(at clementineport.VMID, workspace clementineport.WorkspaceID) *cpforward.Result {
		now := time.Now()
		return p.limiters[at].Forward(ctx, &clementineport.Route{}, &clementineport.OpaqueRequest{Arrived: now, Deadline: now.Add(time.Second), Workspace: workspace})
	}
	assert.Assert(t, send("a", "free").Err == nil && send("a", "").Err == nil)
	time.Sleep(3 * time.Second) // the weight of a VM that has just started is not used
	assert.Equal(t, p.calls.Load(), int64(0), "calls of idle VMs")

	unsent.Store(true)
	for range 60 { // more than there are tokens
		assert.Equal(t, send("a", "w").Err.Fault, clementineport.FaultShed, "a token was lost")
	}
	unsent.Store(false)
	var passed atomic.Int64
	var senders sync.WaitGroup
	for _, id := range all {
		senders.Go(func() {
			for range 40 {
				switch err := send(id, "w").Err; {
				case err == nil:
					passed.Add(1)
				default:
					assert.Check(t, err.Fault == clementineport.FaultQuota && err.RetryAfter > 0, err)
				}
			}
		})
	}
	senders.Wait()
	assert.Assert(t, passed.Load() > 0 && passed.Load() <= 131, passed.Load()) // the bound of a window
}
