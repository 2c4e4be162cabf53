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
	state, _ := tracker.Suspect(start.Add(cpreach.DefaultMinOverdue-1), 9, 3)
	assert.Equal(t, state, cpreach.Reached)
	state, failing := tracker.Suspect(start.Add(cpreach.DefaultMinOverdue), 9, 3)
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
	state, _ := tracker.Suspect(now, 9, 3)
	assert.Equal(t, state, cpreach.Suspected)
	tracker.Connected(now)
	state, _ = tracker.Suspect(now.Add(cpreach.DefaultMinOverdue-1), 9, 3)
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
	state, _ := tracker.Suspect(start, 9, 3)
	assert.Equal(t, state, cpreach.Reached, "only one since a connection was opened")
	refuse(3)
	refuse(4)
	answer()
	state, failing := tracker.Suspect(start, 9, 3)
	assert.Equal(t, state, cpreach.Suspected)
	assert.Equal(t, len(failing), 3)
	tracker.Unreachable()
	answer()
	assert.Equal(t, tracker.State(), cpreach.Lost, "answers on open connections are not enough")
	assert.Assert(t, !tracker.Silent(start.Add(time.Second)))
	tracker.Connected(start)
	assert.Equal(t, tracker.State(), cpreach.Reached)
}

func TestTheTargetsOfOneServiceThatFailAreNoLostPath(t *testing.T) {
	tracker, later := cpreach.New(), start.Add(cpreach.DefaultMinOverdue)
	for _, n := range []int{0, 3, 6} {
		tracker.Done(start, tracker.Sent(start, target(n), typical), clementineport.FaultRefused)
	}
	state, _ := tracker.Suspect(later, 9, 3)
	assert.Equal(t, state, cpreach.Reached)
	tracker.Done(start, tracker.Sent(start, target(1), typical), clementineport.FaultReset)
	state, _ = tracker.Suspect(start, 9, 3)
	assert.Equal(t, state, cpreach.Reached, "calls that were sent at the same time may still be answered")
	state, _ = tracker.Suspect(later, 9, 3)
	assert.Equal(t, state, cpreach.Suspected)
}

func TestAFleetWithFewTargetsCanLoseItsPath(t *testing.T) {
	tracker := cpreach.New()
	tracker.Done(start, tracker.Sent(start, target(0), typical), clementineport.FaultRefused)
	state, _ := tracker.Suspect(start.Add(cpreach.DefaultMinOverdue), 1, 1)
	assert.Equal(t, state, cpreach.Suspected)
}

func TestAVMWithoutCallsIsNotSilent(t *testing.T) {
	tracker := cpreach.New()
	tracker.Done(start, tracker.Sent(start, target(0), typical), clementineport.FaultDeadline)
	assert.Assert(t, !tracker.Silent(start.Add(time.Hour)))
	tracker.Sent(start, target(0), typical)
	assert.Assert(t, tracker.Silent(start.Add(time.Hour)))
}

func TestASlowServiceGetsMoreTime(t *testing.T) {
	tracker := cpreach.New()
	for n := range 4 {
		tracker.Sent(start, target(n), time.Second)
	}
	state, _ := tracker.Suspect(start.Add(2900*time.Millisecond), 9, 3)
	assert.Equal(t, state, cpreach.Reached)
	state, _ = tracker.Suspect(start.Add(3*time.Second), 9, 3)
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
				state, failing := tracker.Suspect(now, 9, 3)
				assert.Equal(t, state, cpreach.Reached)
				assert.Equal(t, len(failing), 0)
			}
		}
	})
}
