package cpforward_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpforward"
	"github.com/clementineport/clementineport/cpquota"
	"github.com/clementineport/clementineport/cpreach"
)

// losing returns a tracker that loses the path to the targets after a delay.
func losing(delay time.Duration) *cpreach.Tracker {
	reach := cpreach.New()
	lose(reach, delay)
	return reach
}

// lose makes a tracker lose the path to the targets after a delay.
func lose(reach *cpreach.Tracker, delay time.Duration) {
	time.AfterFunc(delay, func() {
		now := time.Now()
		for _, id := range []clementineport.TargetID{"x", "y", "z"} {
			target := clementineport.TargetInstance{ID: id}
			reach.Done(now, reach.Sent(now, &target, 0), clementineport.FaultRefused)
		}
		reach.Suspect(now.Add(time.Second), map[clementineport.ServiceID]int{"": 1})
		reach.Unreachable()
	})
}

// setServe sets what all targets do with a request.
func (f *fleet) setServe(serve func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error)) {
	for _, clients := range f.clients {
		for _, c := range clients {
			c.mu.Lock()
			c.serve = serve
			c.mu.Unlock()
		}
	}
}

// TestARequestThatHangsIsGivenToAnotherVM guards against callers that wait until their deadline at a VM that has lost its path.
func TestARequestThatHangsIsGivenToAnotherVM(t *testing.T) {
	f := newFleet("a", "b", "c")
	route := gatherRoute(time.Second, 1, "a", "b", "c")
	route.MaxAttempts = 3 // a hedge leaves one
	reach := cpreach.New()
	fw := f.forwarder(cpforward.WithReach(reach))
	for range 40 { // these fill the budget, for hedges too
		fw.Forward(context.Background(), route, request(time.Second, 0))
	}
	f.setServe(hang)
	lose(reach, 100*time.Millisecond)
	began := time.Now()
	answer := fw.Forward(context.Background(), route, request(30*time.Second, 0))
	assert.Assert(t, time.Since(began) < 10*time.Second)
	assert.Assert(t, answer.Unreached)
	assert.Assert(t, answer.Attempts == 1 || answer.Attempts == 2)
	assert.Equal(t, answer.Err.Verdict(), clementineport.MayHaveRun)
}

func TestARequestThatHangsIsRepeatedOnlyWithinTheBudget(t *testing.T) {
	f := newFleet("a")
	f.setServe(hang)
	answer := f.forwarder(cpforward.WithReach(losing(100*time.Millisecond)), cpforward.WithRetryBound(cpquota.RetryBound{})).Forward(
		context.Background(), gatherRoute(time.Second, 1, "a"), request(30*time.Second, 0),
	)
	assert.Assert(t, !answer.Unreached)
	assert.Equal(t, answer.Err.Verdict(), clementineport.MayHaveRun)
}

// TestARequestThatMayRunOnlyOnceStaysWhileACallForItMayHaveRun guards against requests that run at two VMs.
func TestARequestThatMayRunOnlyOnceStaysWhileACallForItMayHaveRun(t *testing.T) {
	f := newFleet("a")
	f.setServe(func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
		time.Sleep(400 * time.Millisecond)
		return part("a-0"), nil
	})
	answer := f.forwarder(cpforward.WithReach(losing(100*time.Millisecond))).Forward(context.Background(), singleRoute(false), request(30*time.Second, 0))
	assert.Assert(t, answer.Part != nil, "it is answered late")
	f.setServe(func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
		time.Sleep(200 * time.Millisecond)
		return nil, clementineport.Fail(clementineport.FaultReset, "reset")
	})
	answer = f.forwarder(cpforward.WithReach(losing(100*time.Millisecond))).Forward(context.Background(), singleRoute(false), request(30*time.Second, 0))
	assert.Assert(t, !answer.Unreached && answer.Err.Verdict() == clementineport.MayHaveRun)
}

// TestARequestUnderWayAtItsDeadlineMayHaveRun guards against a promise that a request has not run, from another VM that gets it
// too late, while a target still runs it.
func TestARequestUnderWayAtItsDeadlineMayHaveRun(t *testing.T) {
	f := newFleet("a")
	f.setServe(func(ctx context.Context, _ *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
		<-ctx.Done() // the deadline of the call is later than the end of the request
		time.Sleep(50 * time.Millisecond)
		return nil, clementineport.Fail(clementineport.FaultTimeout, "no answer")
	})
	answer := f.forwarder(cpforward.WithReach(losing(100*time.Millisecond))).Forward(context.Background(), singleRoute(false), request(400*time.Millisecond, 0))
	assert.Assert(t, !answer.Unreached)
	assert.Equal(t, answer.Attempts, 1)
	assert.Equal(t, answer.Err.Verdict(), clementineport.MayHaveRun)
}

func TestARequestThatReachedNoTargetIsGivenToAnotherVM(t *testing.T) {
	f := newFleet("a")
	f.setServe(func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
		time.Sleep(200 * time.Millisecond)
		return nil, clementineport.Fail(clementineport.FaultRefused, "refused")
	})
	answer := f.forwarder(cpforward.WithReach(losing(100*time.Millisecond))).Forward(context.Background(), singleRoute(false), request(30*time.Second, 0))
	assert.Assert(t, answer.Unreached)
	assert.Equal(t, answer.Attempts, 0)
	assert.Equal(t, answer.Err.Verdict(), clementineport.NotRun)
}

func TestAttemptsAtAnotherVMCountAgainstTheBoundOfTargets(t *testing.T) {
	f := newFleet("a")
	f.setServe(func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
		return nil, clementineport.Fail(clementineport.FaultReset, "reset")
	})
	r := request(time.Second, 0)
	r.EarlierAttempts = 1
	fw := f.forwarder()
	assert.Assert(t, fw.Forward(context.Background(), singleRoute(true), r).Err != nil)
	assert.Equal(t, f.calls(), 1, "one of two targets is left")
	assert.Equal(t, len(fw.Budgets()), 0, "the request was counted by the other VM")
}

// TestARequestStaysWhileItsCallsAreAnsweredOverOpenConnections guards against calls that are repeated although they would be
// answered.
func TestARequestStaysWhileItsCallsAreAnsweredOverOpenConnections(t *testing.T) {
	f := newFleet("a")
	reach := cpreach.New()
	f.setServe(func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
		time.Sleep(150 * time.Millisecond)
		return part("a-0"), nil
	})
	fw := f.forwarder(cpforward.WithReach(reach))
	lose(reach, 50*time.Millisecond)
	answer := fw.Forward(context.Background(), singleRoute(true), request(30*time.Second, 0))
	assert.Assert(t, answer.Part != nil)
}
