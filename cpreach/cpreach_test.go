package cpreach_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpreach"
)

const typical = 20 * time.Millisecond

var start = time.Unix(1_000_000, 0)

// nineTargets holds the number of targets of each service.
var nineTargets = map[clementineport.ServiceID]int{"s-0": 3, "s-1": 3, "s-2": 3}

// target returns a target of one of three services.
func target(n int) *clementineport.TargetInstance {
	return &clementineport.TargetInstance{
		ID: clementineport.TargetID(fmt.Sprintf("t-%d", n)), Service: clementineport.ServiceID(fmt.Sprintf("s-%d", n%3)),
	}
}

func TestAPathIsLostWhenNoTargetOfSeveralServicesAnswersOrAcceptsConnections(t *testing.T) {
	tracker := cpreach.New()
	for n := range 4 {
		tracker.Sent(start, target(n), typical)
	}
	state, _ := tracker.Suspect(start.Add(cpreach.DefaultMinOverdue-1), nineTargets)
	assert.Equal(t, state, cpreach.Reached)
	state, failing := tracker.Suspect(start.Add(cpreach.DefaultMinOverdue), nineTargets)
	assert.Equal(t, state, cpreach.Suspected)
	assert.Equal(t, len(failing), 4)
	lost := tracker.LostSignal()
	select {
	case <-lost:
		t.Fatal("a suspicion is not a loss")
	default:
	}
	tracker.Unreachable()
	assert.Equal(t, tracker.State(), cpreach.Lost)
	<-lost
	tracker.Unreachable()
	tracker.Connected(start.Add(3 * time.Second))
	assert.Equal(t, tracker.State(), cpreach.Reached)
	select {
	case <-tracker.LostSignal():
		t.Fatal("the path is back")
	default:
	}
}

func TestTheLossOfAnotherVMIsDoubtUnlessATargetHasAnsweredSince(t *testing.T) {
	tracker := cpreach.New()
	tracker.Done(start, tracker.Sent(start, target(1), typical), clementineport.FaultUnknown)
	tracker.Doubt(start.Add(-time.Millisecond))
	assert.Equal(t, tracker.State(), cpreach.Reached)
	tracker.Doubt(start)
	assert.Equal(t, tracker.State(), cpreach.Suspected)
	tracker.Connected(start.Add(time.Second))
	assert.Equal(t, tracker.State(), cpreach.Reached)
	tracker.Doubt(start.Add(2 * time.Second))
	tracker.Unreachable()
	assert.Equal(t, tracker.State(), cpreach.Lost)
	tracker.Doubt(start.Add(3 * time.Second))
	assert.Equal(t, tracker.State(), cpreach.Lost)
}

func TestTargetsThatHangButAcceptConnectionsAreNoLostPath(t *testing.T) {
	tracker := cpreach.New()
	for n := range 4 {
		tracker.Sent(start, target(n), typical)
	}
	now := start.Add(time.Second)
	state, _ := tracker.Suspect(now, nineTargets)
	assert.Equal(t, state, cpreach.Suspected)
	tracker.Connected(now)
	state, _ = tracker.Suspect(now.Add(cpreach.DefaultMinOverdue-1), nineTargets)
	assert.Equal(t, state, cpreach.Reached, "the calls get as long again")
}

func TestAPathThatCarriesOnlyOpenConnectionsIsLost(t *testing.T) {
	tracker := cpreach.New()
	answer := func() { tracker.Done(start, tracker.Sent(start, target(8), typical), clementineport.FaultUnknown) }
	refuse := func(n int) {
		tracker.Done(start, tracker.Sent(start, target(n), typical), clementineport.FaultRefused)
	}
	refuse(0)
	refuse(1)
	tracker.Connected(start)
	refuse(2)
	answer()
	state, _ := tracker.Suspect(start, nineTargets)
	assert.Equal(t, state, cpreach.Reached, "only one since a connection was opened")
	refuse(3)
	refuse(4)
	answer()
	state, failing := tracker.Suspect(start, nineTargets)
	assert.Equal(t, state, cpreach.Suspected)
	assert.Equal(t, len(failing), 3)
	tracker.Unreachable()
	answer()
	assert.Equal(t, tracker.State(), cpreach.Lost, "answers on open connections are not enough")
	assert.Assert(t, !tracker.Silent(start.Add(time.Second)))
	tracker.Connected(start)
	assert.Equal(t, tracker.State(), cpreach.Reached)
}

// TestTheTargetsOfOneServiceThatFailAreNoLostPathWhileOthersAnswer guards against connection attempts by all VMs whenever a
// service has ended.
func TestTheTargetsOfOneServiceThatFailAreNoLostPathWhileOthersAnswer(t *testing.T) {
	tracker, later := cpreach.New(), start.Add(cpreach.DefaultMinOverdue)
	for _, n := range []int{0, 3, 6} {
		tracker.Done(start, tracker.Sent(start, target(n), typical), clementineport.FaultRefused)
	}
	tracker.Done(start, tracker.Sent(start, target(1), typical), clementineport.FaultUnknown)
	for _, at := range []time.Time{start, later} {
		state, _ := tracker.Suspect(at, nineTargets)
		assert.Equal(t, state, cpreach.Reached)
	}
	tracker.Done(later, tracker.Sent(later, target(1), typical), clementineport.FaultRefused)
	state, _ := tracker.Suspect(later, nineTargets)
	assert.Equal(t, state, cpreach.Suspected, "two services")
}

// TestCallsThatWereSentAtTheSameTimeMayStillBeAnswered guards against a suspicion at the first failure.
func TestCallsThatWereSentAtTheSameTimeMayStillBeAnswered(t *testing.T) {
	tracker := cpreach.New()
	for n := range 3 {
		tracker.Done(start, tracker.Sent(start, target(n), typical), clementineport.FaultReset)
	}
	state, _ := tracker.Suspect(start, nineTargets)
	assert.Equal(t, state, cpreach.Reached)
	state, _ = tracker.Suspect(start.Add(cpreach.DefaultMinOverdue), nineTargets)
	assert.Equal(t, state, cpreach.Suspected)
}

// TestAVMThatCallsOneServiceOnlyCanLoseItsPath guards against a VM that waits for failures of services which it does not call.
func TestAVMThatCallsOneServiceOnlyCanLoseItsPath(t *testing.T) {
	for _, fault := range []clementineport.Fault{clementineport.FaultRefused, clementineport.FaultReset} {
		tracker, later := cpreach.New(), start.Add(cpreach.DefaultMinOverdue)
		for _, n := range []int{0, 3, 6} {
			tracker.Done(start, tracker.Sent(start, target(n), typical), fault)
		}
		state, failing := tracker.Suspect(later, nineTargets)
		assert.Equal(t, state, cpreach.Suspected)
		assert.Equal(t, len(failing), 3)
		tracker.Connected(later)
		assert.Equal(t, tracker.State(), cpreach.Reached, "connection attempts decide")
	}
}

// TestAVMThatCallsAServiceWithFewTargetsCanLoseItsPath guards against a VM that waits for more failures than that service has
// targets.
func TestAVMThatCallsAServiceWithFewTargetsCanLoseItsPath(t *testing.T) {
	tracker := cpreach.New()
	tracker.Sent(start, target(0), typical)
	state, _ := tracker.Suspect(start.Add(time.Second), map[clementineport.ServiceID]int{"s-0": 1, "s-1": 30})
	assert.Equal(t, state, cpreach.Suspected)
}

func TestAFleetWithFewTargetsCanLoseItsPath(t *testing.T) {
	tracker := cpreach.New()
	tracker.Done(start, tracker.Sent(start, target(0), typical), clementineport.FaultRefused)
	state, _ := tracker.Suspect(start.Add(cpreach.DefaultMinOverdue), map[clementineport.ServiceID]int{"s-0": 1})
	assert.Equal(t, state, cpreach.Suspected)
}

func TestAVMWithoutCallsIsNotSilent(t *testing.T) {
	tracker := cpreach.New()
	tracker.Done(start, tracker.Sent(start, target(0), typical), clementineport.FaultDeadline)
	assert.Assert(t, !tracker.Silent(start.Add(time.Hour)))
	tracker.Sent(start, target(0), typical)
	assert.Assert(t, tracker.Silent(start.Add(time.Hour)))
}

// TestASlowServiceGetsMoreTimeWithinABound guards against callers that wait for several times the latency of slow services before
// a VM begins to check its path.
func TestASlowServiceGetsMoreTimeWithinABound(t *testing.T) {
	for _, c := range []struct{ typical, wait time.Duration }{
		{50 * time.Millisecond, cpreach.DefaultMinOverdue},
		{200 * time.Millisecond, 600 * time.Millisecond},
		{10 * time.Second, cpreach.DefaultMaxOverdue},
	} {
		tracker := cpreach.New()
		for n := range 4 {
			tracker.Sent(start, target(n), c.typical)
		}
		state, _ := tracker.Suspect(start.Add(c.wait-1), nineTargets)
		assert.Equal(t, state, cpreach.Reached)
		state, _ = tracker.Suspect(start.Add(c.wait), nineTargets)
		assert.Equal(t, state, cpreach.Suspected)
	}
}

// TestOneCallThatStaysUnansweredIsEnoughInTime guards against VMs with few requests that need several to suspect their path.
func TestOneCallThatStaysUnansweredIsEnoughInTime(t *testing.T) {
	tracker := cpreach.New()
	tracker.Sent(start, target(0), typical)
	state, _ := tracker.Suspect(start.Add(cpreach.DefaultMaxOverdue-1), nineTargets)
	assert.Equal(t, state, cpreach.Reached)
	state, _ = tracker.Suspect(start.Add(cpreach.DefaultMaxOverdue), nineTargets)
	assert.Equal(t, state, cpreach.Suspected)
}

// TestNothingIsSuspectedWhileTargetsAnswer makes random calls and checks the state at each answer.
func TestNothingIsSuspectedWhileTargetsAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := cpreach.New(), start
		var open []*cpreach.Call
		faults := []clementineport.Fault{
			clementineport.FaultUnknown, clementineport.FaultShed, clementineport.FaultTimeout, clementineport.FaultCanceled,
			clementineport.FaultReset, clementineport.FaultUnsent,
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "ms")) * time.Millisecond)
			if len(open) == 0 || rapid.Bool().Draw(t, "send") {
				open = append(open, tracker.Sent(now, target(rapid.IntRange(0, 8).Draw(t, "target")), typical))
				continue
			}
			fault := rapid.SampledFrom(faults).Draw(t, "fault")
			tracker.Done(now, open[0], fault)
			open = open[1:]
			if fault == clementineport.FaultUnknown || fault == clementineport.FaultShed {
				state, failing := tracker.Suspect(now, nineTargets)
				assert.Equal(t, state, cpreach.Reached)
				assert.Equal(t, len(failing), 0)
			}
		}
	})
}
