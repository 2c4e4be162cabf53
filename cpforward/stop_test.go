package cpforward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdrain"
	"github.com/clementineport/clementineport/cpforward"
)

// stopped runs a request that a shutdown ends after a time, and returns its result and how long it took.
func (f *fleet) stopped(t *testing.T, after time.Duration, route *clementineport.Route) (*cpforward.Result, time.Duration) {
	t.Helper()
	requests := cpdrain.NewRequests()
	ctx, done := requests.Begin(t.Context())
	defer done()
	time.AfterFunc(after, requests.End)
	began := time.Now()
	result := f.forwarder().Forward(ctx, route, request(30*time.Second, 0))
	return result, time.Since(began)
}

// TestAShutdownEndsARequestUnderWayWithATruthfulAnswer guards against a planned stop that closes the connection of a request under
// way without an answer, and against a promise that such a request has not run.
func TestAShutdownEndsARequestUnderWayWithATruthfulAnswer(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet("a")
			f.setServe(hang)
			result, took := f.stopped(t, time.Second, singleRoute(idempotent))
			assert.Equal(t, result.Err.Fault, clementineport.FaultTimeout)
			assert.Equal(t, took, time.Second)
			calls := f.calls()
			time.Sleep(time.Minute)
			assert.Equal(t, f.calls(), calls, "no call follows")
		})
	}
}

// TestAShutdownEndsAGatherWithTheShardsThatHaveAnswered guards against a planned stop that throws away an answer that is good enough.
func TestAShutdownEndsAGatherWithTheShardsThatHaveAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.clients["c"][0].serve, f.clients["c"][1].serve = hang, hang
		result, took := f.stopped(t, time.Second, gatherRoute(10*time.Second, 0.6, "a", "b", "c"))
		assert.Assert(t, result.Gathered != nil, "%v", result.Err)
		assert.Equal(t, len(result.Gathered.Signatures), 2)
		assert.Equal(t, result.Gathered.Missing, 1)
		assert.Equal(t, took, time.Second)
		result, _ = f.stopped(t, time.Second, gatherRoute(10*time.Second, 1, "a", "b", "c"))
		assert.Equal(t, result.Err.Fault, clementineport.FaultCoverage)
	})
}

// TestAShutdownSendsNoRequestThatHasNotStarted guards against requests that are sent to targets after the VM has ended them, and
// against callers that are told that such a request may have run.
func TestAShutdownSendsNoRequestThatHasNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet("a")
		f.setServe(func(context.Context, *clementineport.OpaqueRequest) (*clementineport.OpaqueResponse, error) {
			return nil, clementineport.Fail(clementineport.FaultRefused, "refused")
		})
		result, _ := f.stopped(t, 20*time.Millisecond, singleRoute(false))
		assert.Equal(t, result.Err.Verdict(), clementineport.NotRun)
		requests := cpdrain.NewRequests()
		requests.End()
		ctx, done := requests.Begin(t.Context())
		defer done()
		<-ctx.Done()
		calls := f.calls()
		result = f.forwarder().Forward(ctx, singleRoute(false), request(30*time.Second, 0))
		assert.Equal(t, result.Err.Fault, clementineport.FaultDraining)
		assert.Equal(t, f.calls(), calls)
	})
}
