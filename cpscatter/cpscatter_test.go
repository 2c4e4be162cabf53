package cpscatter_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbudget"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cpgather/cpgathertest"
	"github.com/clementineport/clementineport/cpscatter"
)

type deliverFunc = func(clementineport.CallResult)

// newPlan returns a plan with two replicas for each shard.
func newPlan(shards int, now time.Time) (cpgather.Plan, *cpgathertest.View) {
	plan, v := cpgathertest.NewPlan(shards, 2*shards, cpgathertest.Old)
	plan.Service.Service.LeastCoverage = 0.5
	plan.Query.Deadline = now.Add(time.Second)
	return plan, v
}

// lateSender answers the first call twice after two seconds, and every other call immediately.
type lateSender struct {
	cancelled []clementineport.AttemptID
}

func (s *lateSender) Cancel(a clementineport.AttemptID) { s.cancelled = append(s.cancelled, a) }

func (s *lateSender) Send(_ context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
	for i := range calls {
		if calls[i].Attempt != 1 {
			deliver(cpgathertest.ReplyTo(&calls[i]))
		}
	}
	if calls[0].Attempt == 1 {
		time.Sleep(2 * time.Second)
		deliver(cpgathertest.ReplyTo(&calls[0]))
		deliver(cpgathertest.ReplyTo(&calls[0]))
	}
}

func TestLateResultsAreObservedOnceAndDoNotBlock(t *testing.T) {
	for _, hedged := range []bool{true, false} {
		t.Run(fmt.Sprintf("Hedged=%v", hedged), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testLateResults(t, hedged) })
		})
	}
}

func testLateResults(t *testing.T, hedged bool) {
	clock := clockwork.NewRealClock()
	plan, v := newPlan(3, clock.Now())
	budget, took := cpbudget.None, 980*time.Millisecond
	if hedged {
		budget, took = cpbudget.Unlimited, 12500*time.Microsecond
	}
	s := &lateSender{}
	answer, err := cpscatter.Run(t.Context(), clock, cpgather.New(plan, cpgather.Budgets(budget, nil)), s)
	assert.NilError(t, err)
	assert.Equal(t, clock.Now().Add(time.Second).Sub(plan.Query.Deadline), took)
	assert.Equal(t, answer.Complete, hedged)
	assert.Equal(t, answer.Stats.Hedges == 1, hedged)
	assert.Equal(t, len(s.cancelled) == 1, hedged)
	if !hedged {
		assert.DeepEqual(t, answer.Missing, []clementineport.MissingShard{
			{Shard: 0, State: clementineport.ShardLate, Fault: clementineport.FaultTimeout},
		})
	}
	time.Sleep(3 * time.Second)
	synctest.Wait()
	sent, observed := v.Calls()
	assert.Equal(t, sent, answer.Stats.Calls)
	assert.Equal(t, len(observed), sent)
}

func TestResultsNeverReachAnotherRequest(t *testing.T) {
	const queries, shards = 8, 20
	clock := clockwork.NewRealClock()
	var mu sync.Mutex
	var delivers []deliverFunc
	sender := cpscatter.SendFunc(func(_ context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
		mu.Lock()
		delivers = append(delivers, deliver)
		all := append([]deliverFunc(nil), delivers...)
		mu.Unlock()
		for i := len(calls) - 1; i >= 0; i-- {
			for _, d := range all {
				d(cpgathertest.ReplyTo(&calls[i]))
			}
		}
	})
	var wg sync.WaitGroup
	for q := range queries {
		wg.Go(func() {
			plan, _ := newPlan(shards, clock.Now())
			plan.Query.Request = clementineport.RequestID(fmt.Sprintf("r%d", q))
			plan.Query.Limit = shards
			answer, err := cpscatter.Run(t.Context(), clock, cpgather.New(plan), sender)
			assert.Check(t, err)
			assert.Check(t, answer.Complete && len(answer.Hits) == 19)
			for _, h := range answer.Hits {
				assert.Check(t, h.Record[:2] == string(plan.Query.Request), "%s has %s", plan.Query.Request, h.Record)
			}
		})
	}
	wg.Wait()
}

func TestRelayFailuresAreNotAttributedToTargets(t *testing.T) {
	clock := clockwork.NewRealClock()
	plan, v := newPlan(3, clock.Now())
	answer, err := cpscatter.Run(t.Context(), clock, cpgather.New(plan), cpscatter.SendFunc(
		func(_ context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
			for i := range calls {
				r := cpgathertest.ReplyTo(&calls[i])
				if calls[i].Attempt <= 3 {
					r = cpgathertest.FailureOf(&calls[i], clementineport.FaultRefused)
					r.RelayFailed = true
				}
				deliver(r)
			}
		},
	))
	assert.Assert(t, err == nil && answer.Complete)
	assert.Equal(t, answer.Stats.Resends, 3)
	_, observed := v.Calls()
	failures := 0
	for _, r := range observed {
		if r.Attempt <= 3 {
			failures++
			assert.Equal(t, clementineport.FaultOf(r.Err), clementineport.FaultCanceled)
			assert.Equal(t, r.Elapsed, time.Duration(0))
		}
	}
	assert.Equal(t, failures, 3)
}

func TestEndWithoutResults(t *testing.T) {
	for fault, send := range map[clementineport.Fault]func(context.Context, context.CancelFunc){
		clementineport.FaultCoverage: func(context.Context, context.CancelFunc) {},
		clementineport.FaultCanceled: func(ctx context.Context, stop context.CancelFunc) {
			stop()
			<-ctx.Done()
		},
	} {
		t.Run(fault.String(), func(t *testing.T) {
			clock := clockwork.NewRealClock()
			plan, _ := newPlan(3, clock.Now())
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			answer, err := cpscatter.Run(ctx, clock, cpgather.New(plan), cpscatter.SendFunc(
				func(ctx context.Context, _ []clementineport.Call, _ func(clementineport.CallResult)) { send(ctx, stop) },
			))
			assert.Equal(t, clementineport.FaultOf(err), fault)
			assert.Equal(t, answer.Verdict, clementineport.MayHaveRun)
			assert.Equal(t, len(answer.Covered), 0)
		})
	}
}

func ExampleRun() {
	clock := clockwork.NewRealClock()
	plan, _ := newPlan(4, clock.Now())
	sender := cpscatter.SendFunc(func(_ context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
		for i := range calls {
			if calls[i].Shard == 2 {
				deliver(clementineport.CallResult{
					Attempt: calls[i].Attempt, Shard: calls[i].Shard, Target: calls[i].Target,
					Err: clementineport.Fail(clementineport.FaultCut, "the body ended early"),
				})
				continue
			}
			deliver(cpgathertest.ReplyTo(&calls[i]))
		}
	})
	answer, err := cpscatter.Run(context.Background(), clock, cpgather.New(plan), sender)
	fmt.Println(answer.Snapshot, "complete:", answer.Complete, "verdict:", answer.Verdict, "error:", err)
	fmt.Println("covered:", answer.Covered, "missing:", answer.Missing[0].Shard, answer.Missing[0].State)
	// Output:
	// v7/l1 complete: false verdict: ran error: <nil>
	// covered: [0 1 3] missing: 2 cut
}

func BenchmarkInProgress(b *testing.B) {
	for _, shards := range []int{3, 35, 1100} {
		b.Run(fmt.Sprintf("Shards=%d", shards), func(b *testing.B) {
			const queries = 100
			clock := clockwork.NewRealClock()
			var before, during runtime.MemStats
			idle := runtime.NumGoroutine()
			for b.Loop() {
				plan, _ := newPlan(shards, clock.Now().Add(time.Hour))
				ctx, cancel := context.WithCancel(b.Context())
				var sent, done sync.WaitGroup
				sent.Add(queries)
				runtime.GC()
				runtime.ReadMemStats(&before)
				for range queries {
					done.Go(func() {
						_, _ = cpscatter.Run(ctx, clock, cpgather.New(plan), cpscatter.SendFunc(
							func(ctx context.Context, _ []clementineport.Call, _ func(clementineport.CallResult)) {
								sent.Done()
								<-ctx.Done()
							},
						))
					})
				}
				sent.Wait()
				runtime.GC()
				runtime.ReadMemStats(&during)
				cancel()
				done.Wait()
				for runtime.NumGoroutine() > idle {
					runtime.Gosched()
				}
			}
			used := during.HeapAlloc + during.StackInuse - before.HeapAlloc - before.StackInuse
			b.ReportMetric(float64(used)/queries, "B/query")
		})
	}
}
