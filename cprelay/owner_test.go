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

var held = clementineport.Snapshot{Version: 1, Layout: 1}

// drainer is a target that may drain and counts the calls for a snapshot that it holds, which are work.
type drainer struct {
	draining bool
	work     int
}

func (d *drainer) Target(clementineport.TargetID) (clementineport.Target, error) { return d, nil }

func (d *drainer) Search(_ context.Context, c *clementineport.Call) (*clementineport.Reply, error) {
	r := &clementineport.Reply{Request: c.Request, Shard: c.Shard, Snapshot: c.Snapshot}
	r.Signals = clementineport.Signals{Start: "s1", Draining: d.draining, Held: []clementineport.Snapshot{held}}
	if c.Snapshot == held {
		d.work++
	}
	switch {
	case d.draining:
		return r, clementineport.Fail(clementineport.FaultDraining, "test")
	case c.Snapshot != held:
		return r, clementineport.Fail(clementineport.FaultSnapshot, "test")
	}
	return r, nil
}

func (d *drainer) Status(context.Context) (s clementineport.Signals, err error) { return s, nil }
func (d *drainer) Close() error                                                 { return nil }

// withoutRecheck is a limiter that does not say which targets were draining.
type withoutRecheck struct{ clementineport.Limiter }

// TestDrainingTargetGetsNoWork checks that a target that drains for long is asked whether it still does, and gets
// work again only after it has said that it does not.
func TestDrainingTargetGetsNoWork(t *testing.T) {
	for _, c := range []struct {
		name string
		wrap func(*cplimit.Limiter) clementineport.Limiter
		work int
	}{
		{"asked first", func(l *cplimit.Limiter) clementineport.Limiter { return l }, 0},
		{"not asked", func(l *cplimit.Limiter) clementineport.Limiter { return withoutRecheck{l} }, 3},
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
			target := &drainer{draining: true}
			owner := cprelay.NewOwner(clock, target, c.wrap(limiter), func() error { return nil })
			send := func() (got clementineport.CallResult) {
				call := clementineport.Call{Attempt: 1, Target: "t", Snapshot: held, Deadline: clock.Now().Add(time.Second)}
				err := owner.Relay(t.Context(), &clementineport.RelayRequest{Calls: []clementineport.Call{call}},
					func(r clementineport.CallResult) { got = r })
				assert.NilError(t, err)
				return got
			}
			assert.Equal(t, clementineport.FaultOf(send().Err), clementineport.FaultDraining)
			target.work = 0
			for range 300 {
				clock.Advance(300 * time.Millisecond)
				assert.Equal(t, clementineport.FaultOf(send().Err), clementineport.FaultDraining)
			}
			assert.Equal(t, target.work, c.work)
			target.draining = false
			for range 2 {
				clock.Advance(31 * time.Second)
				send()
			}
			assert.NilError(t, send().Err)
		})
	}
}
