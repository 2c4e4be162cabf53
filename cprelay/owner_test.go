package cprelay_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplimit"
	"github.com/clementineport/clementineport/cprelay"
)

var servedSnapshot = clementineport.Snapshot{Version: 1, Layout: 1}

// fakeTarget is a fake target that may be draining. It counts the calls for the snapshot that it holds, which
// are the calls that do work.
type fakeTarget struct {
	draining  bool
	workCalls int
}

func (t *fakeTarget) Target(clementineport.TargetID) (clementineport.Target, error) { return t, nil }

func (t *fakeTarget) Search(_ context.Context, c *clementineport.Call) (*clementineport.Reply, error) {
	r := &clementineport.Reply{Request: c.Request, Shard: c.Shard, Snapshot: c.Snapshot}
	r.Signals = clementineport.Signals{Start: "s1", Draining: t.draining, Held: []clementineport.Snapshot{servedSnapshot}}
	if c.Snapshot == servedSnapshot {
		t.workCalls++
	}
	switch {
	case t.draining:
		return r, clementineport.Fail(clementineport.FaultDraining, "test")
	case c.Snapshot != servedSnapshot:
		return r, clementineport.Fail(clementineport.FaultSnapshot, "test")
	}
	return r, nil
}

func (t *fakeTarget) Status(context.Context) (s clementineport.Signals, err error) { return s, nil }

func (t *fakeTarget) Close() error { return nil }

// withoutRecheck hides the limiter's WasDraining method, so that the owner sends no rechecks.
type withoutRecheck struct{ clementineport.Limiter }

// TestDrainingTargetGetsNoWork checks that a target that drains for a long time receives only rechecks, and receives
// work again once a recheck shows that it is no longer draining.
func TestDrainingTargetGetsNoWork(t *testing.T) {
	for _, c := range []struct {
		name     string
		wrap     func(*cplimit.Limiter) clementineport.Limiter
		wantWork int
	}{
		{"with recheck", func(l *cplimit.Limiter) clementineport.Limiter { return l }, 0},
		{"without recheck", func(l *cplimit.Limiter) clementineport.Limiter { return withoutRecheck{l} }, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			limiter := cplimit.New(cplimit.Clock(clock))
			limiter.Update(&clementineport.Table{
				Targets: []clementineport.TargetRow{{
					TargetSpec: clementineport.TargetSpec{ID: "t"}, Group: clementineport.Group{Slots: 2, Queue: 2},
				}},
				ByID: map[clementineport.TargetID]clementineport.TargetIndex{"t": 0},
			}, func(clementineport.TargetID) bool { return true })
			target := &fakeTarget{draining: true}
			owner := cprelay.NewOwner(clock, target, c.wrap(limiter), func() error { return nil })
			send := func() (got clementineport.CallResult) {
				call := clementineport.Call{Attempt: 1, Target: "t", Snapshot: servedSnapshot, Deadline: clock.Now().Add(time.Second)}
				err := owner.Relay(t.Context(), &clementineport.RelayRequest{Calls: []clementineport.Call{call}},
					func(r clementineport.CallResult) { got = r })
				assert.NilError(t, err)
				return got
			}
			assert.Equal(t, clementineport.FaultOf(send().Err), clementineport.FaultDraining)
			target.workCalls = 0
			for range 300 {
				clock.Advance(300 * time.Millisecond)
				assert.Equal(t, clementineport.FaultOf(send().Err), clementineport.FaultDraining)
			}
			assert.Equal(t, target.workCalls, c.wantWork)
			target.draining = false
			for range 2 {
				clock.Advance(31 * time.Second)
				send()
			}
			assert.NilError(t, send().Err)
		})
	}
}
