package cpplan_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpplan"
)

var start = time.Unix(1000, 0)

// plan plans a request on a route with an objective of 200 ms, for a caller that waits for a given time.
func plan(maxWait time.Duration, stats cpplan.RouteStats) (hedgeAfter time.Duration, last bool, objective time.Time) {
	route := &clementineport.Route{
		Name: "r", Idempotent: true, MaxAttempts: 2, Objective: 200 * time.Millisecond, LeastCoverage: 0.9,
		Shards: []clementineport.ServiceID{"a", "b"},
	}
	r := &clementineport.OpaqueRequest{Arrived: start, Deadline: start.Add(maxWait), MaxWait: maxWait}
	p := cpplan.New().Plan(route, route.Shards, r, stats)
	return p.HedgeAfter, p.FinalAttempt, p.Objective
}

func TestHedgesAreSentAfterMostCallsAreAnswered(t *testing.T) {
	after, _, _ := plan(time.Second, cpplan.RouteStats{HighLatency: 50 * time.Millisecond, TypicalLatency: 30 * time.Millisecond})
	assert.Assert(t, after > 50*time.Millisecond && after < 75*time.Millisecond, "%v", after)
}

func TestHedgesDoNotWaitAsLongAsSlowTargetsTake(t *testing.T) {
	after, _, _ := plan(time.Second, cpplan.RouteStats{HighLatency: 250 * time.Millisecond, TypicalLatency: 30 * time.Millisecond})
	assert.Assert(t, after < 100*time.Millisecond, "a hedge after %v has less than half of the objective left", after)
}

func TestACallerThatRetriesHasLessTimeAndDoesNotRetryAgain(t *testing.T) {
	_, last, first := plan(time.Second, cpplan.RouteStats{MaxWait: time.Second})
	assert.Assert(t, !last)
	_, last, second := plan(900*time.Millisecond, cpplan.RouteStats{MaxWait: time.Second})
	assert.Assert(t, last)
	assert.Equal(t, first.Sub(second), 100*time.Millisecond)
}

// Guards against a hedge that cannot be answered before the objective, which costs a call and leaves the shard out of the answer.
func TestAHedgeOfAGatherHasTimeToBeAnswered(t *testing.T) {
	const typical = 16 * time.Millisecond
	route := &clementineport.Route{Objective: 60 * time.Millisecond, Shards: []clementineport.ServiceID{"a"}}
	r := &clementineport.OpaqueRequest{Arrived: start, Deadline: start.Add(time.Second)}
	p := cpplan.New().Plan(route, route.Shards, r, cpplan.RouteStats{HighLatency: 10 * typical, TypicalLatency: typical})
	assert.Assert(t, start.Add(p.HedgeAfter+typical).Before(p.Objective))
	assert.Assert(t, p.HedgeAfter > typical, "ordinary calls would be hedged")
}

// Guards against answers of a VM with a small part of a core that leave at the objective and arrive after it.
func TestAVMWithASmallPartOfACoreAnswersEarlier(t *testing.T) {
	margin := func(cores float64) time.Duration { return cpplan.NewOptions(cpplan.WithCores(cores)).ObjectiveMargin }
	assert.Equal(t, margin(0), cpplan.DefaultObjectiveMargin)
	assert.Equal(t, margin(1), cpplan.DefaultObjectiveMargin)
	assert.Assert(t, margin(0.1) >= margin(0.2)+5*time.Millisecond, "%v, %v", margin(0.1), margin(0.2))
	assert.Assert(t, margin(0.2) >= 12*time.Millisecond, "%v", margin(0.2))
}
