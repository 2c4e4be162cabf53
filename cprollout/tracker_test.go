package cprollout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cprollout"
)

// completing returns a tracker of a VM that sends all requests to the new version, and a function that sets its time.
func completing() (*cprollout.Tracker, *cprollout.Rollout, func(d time.Duration)) {
	order := &clementineport.RolloutOrder{Service: service, Version: "v2", Duration: minute, Revision: 5}
	state := &clementineport.RolloutStatus{Service: service, Version: "v2", Order: 5, Revision: 6, Phase: clementineport.RolloutCompleting, Share: 1}
	r, tracker := cprollout.New(order, state), cprollout.NewTracker(cprollout.WithBounds(bounds))
	set := func(d time.Duration) {
		tracker.Set(time.Unix(1000, 0).Add(d), map[clementineport.ServiceID]*cprollout.Rollout{service: r}, 1)
	}
	set(0)
	return tracker, r, set
}

// TestAVMThatStopsAfterItsPromiseLeavesOldTargetsAlone guards against requests to old targets that are stopped at that moment.
func TestAVMThatStopsAfterItsPromiseLeavesOldTargetsAlone(t *testing.T) {
	tracker, r, set := completing()
	assert.Assert(t, !tracker.Promise(service, 5))
	assert.Assert(t, tracker.Promise(service, 5))
	assert.Equal(t, tracker.Plan(service, "a", r, true, 0), cprollout.UseNew)
	assert.Equal(t, tracker.Plan(service, "a", r, true, bounds.Contact+1), cprollout.UseNone, "with an old view")
	assert.Assert(t, tracker.Stop(service, 5))
	assert.Equal(t, tracker.Plan(service, "a", r, true, 0), cprollout.UseNone)
	set(time.Second)
	set(4 * time.Second)
	assert.Equal(t, tracker.Plan(service, "a", r, true, 0), cprollout.UseOld)
}

// TestFiftyBadAnswersStopAVM covers a bad version, and one that fails as the old one does at the same time.
func TestFiftyBadAnswersStopAVM(t *testing.T) {
	for _, c := range []struct {
		oldFails bool
		use      cprollout.Use
	}{{false, cprollout.UseOld}, {true, cprollout.UseNew}} {
		tracker, r, _ := completing()
		now := time.Unix(1010, 0)
		for range 50 {
			assert.Equal(t, tracker.Plan(service, "a", r, true, 0), cprollout.UseNew)
			outcome := cprollout.Answered
			if c.oldFails {
				outcome = cprollout.Failed
			}
			tracker.Sent(service, "a", cprollout.OldVersion, false).Done(now, outcome, time.Millisecond, time.Millisecond)
			tracker.Sent(service, "a", cprollout.NewVersion, false).Done(now, cprollout.Failed, time.Millisecond, time.Millisecond)
		}
		assert.Equal(t, tracker.Plan(service, "a", r, true, 0), c.use)
	}
}
