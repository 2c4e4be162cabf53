package cpforward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cprollout"
)

// rollout changes a fleet so that service a has an old and a new target and a rollout in a phase. It returns a forwarder.
func (f *fleet) rollout(p clementineport.RolloutPhase, share float64, viewAge time.Duration) *cpforward.Forwarder {
	for i, v := range []clementineport.TargetVersion{"v1", "v2"} {
		t := &f.view.Services["a"][i]
		instance := t.State.TargetInstance
		instance.Version = v
		t.State = cpbalancer.NewTarget(instance)
	}
	r := cprollout.New(&clementineport.RolloutOrder{Service: "a", Version: "v2", Duration: time.Minute, Revision: 5},
		&clementineport.RolloutStatus{Service: "a", Version: "v2", Order: 5, Revision: 6, Phase: p, Share: share})
	f.view.Rollouts = map[clementineport.ServiceID]*cprollout.Rollout{"a": r}
	tracker := cprollout.NewTracker(cprollout.WithBounds(cprollout.Bounds{Share: 0.1, Contact: 5 * time.Second}))
	tracker.Set(time.Now(), f.view.Rollouts, 1)
	return f.forwarder(cpforward.WithRollouts(tracker, func() time.Duration { return viewAge }))
}

func fails(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
	return nil, clementineport.Fail(clementineport.FaultReset, "reset")
}

// TestRequestsKeepToTheVersionsOfARollout guards against calls, hedges and retries that go past the share of the new version.
func TestRequestsKeepToTheVersionsOfARollout(t *testing.T) {
	const requests = 300
	for _, c := range []struct {
		name    string
		phase   clementineport.RolloutPhase
		share   float64
		viewAge time.Duration
		change  func(f *fleet)
		// fresh is the range of the calls to the new target, and old that of the calls to the old one.
		fresh, old [2]int
	}{
		{"waiting", clementineport.RolloutWaiting, 0, 0, nil, [2]int{0, 0}, [2]int{requests, requests}},
		{"canary", clementineport.RolloutCanary, 0.03, 0, nil, [2]int{7, 10}, [2]int{requests - 10, requests}},
		{"canary at all that is allowed", clementineport.RolloutWidening, 1, 0, nil, [2]int{8, 17}, [2]int{requests - 17, requests}},
		{"completing", clementineport.RolloutCompleting, 1, 0, nil, [2]int{requests, requests}, [2]int{0, 0}},
		{"completing with an old view", clementineport.RolloutCompleting, 1, 6 * time.Second, nil, [2]int{0, 0}, [2]int{requests, requests}},
		{"canary with an old view", clementineport.RolloutCanary, 0.03, 6 * time.Second, nil, [2]int{0, 0}, [2]int{requests, requests}},
		{
			"canary and the old target has gone", clementineport.RolloutCanary, 0.03, 0,
			func(f *fleet) { f.view.Services["a"] = f.view.Services["a"][1:] },
			[2]int{10, 17},
			[2]int{0, 0},
		},
		{
			"canary and the old target fails, so that all requests are retried", clementineport.RolloutCanary, 0.03, 0,
			func(f *fleet) { f.clients["a"][0].serve = fails },
			[2]int{7, 17},
			[2]int{requests - 17, 2 * requests},
		},
		{
			"canary and the new target has gone", clementineport.RolloutCanary, 0.03, 0,
			func(f *fleet) { f.view.Services["a"] = f.view.Services["a"][:1] },
			[2]int{0, 0},
			[2]int{requests, requests},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet("a")
				forwarder := f.rollout(c.phase, c.share, c.viewAge)
				if c.change != nil {
					c.change(f)
				}
				left := 5 * time.Second
				if len(f.view.Services["a"]) == 1 && f.view.Services["a"][0].State.Version == "v2" {
					left = 20 * time.Millisecond // most requests find no target and wait for one until their deadline
				}
				for range requests {
					forwarder.Forward(t.Context(), singleRoute(true), request(left, time.Second))
				}
				fresh, old := f.clients["a"][1].count(), f.clients["a"][0].count()
				assert.Assert(t, fresh >= c.fresh[0] && fresh <= c.fresh[1], "%d calls to the new target", fresh)
				assert.Assert(t, old >= c.old[0] && old <= c.old[1], "%d calls to the old target", old)
			})
		})
	}
}

func TestWithoutARolloutAllVersionsAreUsed(t *testing.T) {
	f := newFleet("a")
	forwarder := f.rollout(clementineport.RolloutCanary, 0, 0)
	f.view.Rollouts = nil
	for range 50 {
		forwarder.Forward(t.Context(), singleRoute(true), request(time.Second, time.Second))
	}
	for _, client := range f.clients["a"] {
		assert.Assert(t, client.count() > 5, "%s: %d", client.id, client.count())
	}
}
