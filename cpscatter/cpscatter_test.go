package cpscatter_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbudget"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cppick"
	"github.com/clementineport/clementineport/cpscatter"
	"github.com/clementineport/clementineport/cpsnapshot"
)

var snapshot = clementineport.Snapshot{Version: 7, Layout: 1}

type deliverFunc = func(clementineport.CallResult)

// countingView counts the calls that are sent and observed.
type countingView struct {
	clementineport.TargetView
	mu             sync.Mutex
	sent, observed int
}

func (v *countingView) Sent(t clementineport.TargetIndex) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sent++
	v.TargetView.Sent(t)
}

func (v *countingView) Observe(t clementineport.TargetIndex, now time.Time, r *clementineport.CallResult) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observed++
	v.TargetView.Observe(t, now, r)
}

// newPlan returns a plan over shards of two replicas whose targets have said what they hold.
func newPlan(shards int, now time.Time) (cpgather.Plan, *countingView) {
	table := &clementineport.Table{Revision: 1, ByID: map[clementineport.TargetID]clementineport.TargetIndex{}}
	layout := clementineport.LayoutTable{Layout: 1, Replicas: make([][]clementineport.TargetIndex, shards)}
	for i := range clementineport.TargetIndex(2 * shards) {
		spec := clementineport.TargetSpec{ID: clementineport.TargetID(fmt.Sprintf("t%d", i))}
		table.Targets = append(table.Targets, clementineport.TargetRow{TargetSpec: spec})
		table.ByID[spec.ID] = i
		layout.Replicas[int(i)/2] = append(layout.Replicas[int(i)/2], i)
	}
	service := &clementineport.ServiceTable{
		Service: clementineport.Service{Name: "customs-feed", LeastCoverage: 0.5, BelowLeast: clementineport.BelowRefuse},
		Layouts: []clementineport.LayoutTable{layout},
	}
	v := &countingView{TargetView: cppick.New().View(table)}
	for t := range table.Targets {
		v.TargetView.Sent(clementineport.TargetIndex(t))
		v.TargetView.Observe(clementineport.TargetIndex(t), now, &clementineport.CallResult{
			Elapsed: 5 * time.Millisecond,
			Signals: clementineport.Signals{Start: "a", Held: []clementineport.Snapshot{snapshot}},
		})
	}
	choice, _ := cpsnapshot.Choose(service, v, now)
	query := &clementineport.Query{Request: "r1", Limit: 10, Deadline: now.Add(time.Second), Idempotent: true}
	return cpgather.Plan{Query: query, Service: service, View: v, Targets: table.Targets, Choice: choice}, v
}

// replyTo answers a call with one hit that names its request and shard.
func replyTo(c *clementineport.Call) clementineport.CallResult {
	record := fmt.Sprintf("%s/s%d", c.Request, c.Shard)
	return clementineport.CallResult{
		Attempt: c.Attempt, Shard: c.Shard, Target: c.Target, Elapsed: 5 * time.Millisecond,
		Reply: &clementineport.Reply{
			Request: c.Request, Shard: c.Shard, Snapshot: c.Snapshot, Hits: []clementineport.Hit{{Record: record, Score: 1}},
		},
		Signals: clementineport.Signals{Start: "a", Held: []clementineport.Snapshot{snapshot}},
	}
}

// lateSender answers every call but the first at once; it answers that one twice after two seconds.
type lateSender struct {
	cancelled []clementineport.AttemptID
}

func (s *lateSender) Cancel(a clementineport.AttemptID) { s.cancelled = append(s.cancelled, a) }

func (s *lateSender) Send(_ context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
	for i := range calls {
		if calls[i].Attempt != 1 {
			deliver(replyTo(&calls[i]))
		}
	}
	if calls[0].Attempt == 1 {
		time.Sleep(2 * time.Second)
		deliver(replyTo(&calls[0]))
		deliver(replyTo(&calls[0]))
	}
}

func TestLateResultsAreObservedOnceAndDoNotBlock(t *testing.T) {
	for _, hedged := range []bool{true, false} {
		t.Run(fmt.Sprintf("Hedged=%v", hedged), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { lateResults(t, hedged) })
		})
	}
}

func lateResults(t *testing.T, hedged bool) {
	clock := clockwork.NewRealClock()
	plan, v := newPlan(3, clock.Now())
	budget, least, most := cpbudget.None, 980*time.Millisecond, 980*time.Millisecond
	if hedged {
		budget, least, most = cpbudget.Off, 5*time.Millisecond, 10*time.Millisecond
	}
	s := &lateSender{}
	answer, err := cpscatter.Run(t.Context(), clock, cpgather.New(plan, cpgather.Budgets(budget, nil)), s)
	assert.NilError(t, err)
	took := clock.Now().Add(time.Second).Sub(plan.Query.Deadline)
	assert.Assert(t, least <= took && took <= most, "took %v", took)
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
	assert.Equal(t, v.sent, answer.Stats.Calls)
	assert.Equal(t, v.observed, v.sent)
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
				d(replyTo(&calls[i]))
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
			assert.Check(t, answer.Complete && len(answer.Hits) == shards)
			for _, h := range answer.Hits {
				assert.Check(t, h.Record[:2] == string(plan.Query.Request), "%s has %s", plan.Query.Request, h.Record)
			}
		})
	}
	wg.Wait()
}

func TestEndWithoutResults(t *testing.T) {
	for fault, send := range map[clementineport.Fault]func(context.Context, context.CancelFunc){
		clementineport.FaultCoverage: func(context.Context, context.CancelFunc) {},
		clementineport.FaultCanceled: func(ctx context.Context, gone context.CancelFunc) {
			gone()
			<-ctx.Done()
		},
	} {
		t.Run(fault.String(), func(t *testing.T) {
			clock := clockwork.NewRealClock()
			plan, _ := newPlan(3, clock.Now())
			ctx, gone := context.WithCancel(t.Context())
			defer gone()
			answer, err := cpscatter.Run(ctx, clock, cpgather.New(plan), cpscatter.SendFunc(
				func(ctx context.Context, _ []clementineport.Call, _ func(clementineport.CallResult)) { send(ctx, gone) },
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
			deliver(replyTo(&calls[i]))
		}
	})
	answer, err := cpscatter.Run(context.Background(), clock, cpgather.New(plan), sender)
	fmt.Println(answer.Snapshot, "complete:", answer.Complete, "verdict:", answer.Verdict, "error:", err)
	fmt.Println("covered:", answer.Covered, "missing:", answer.Missing[0].Shard, answer.Missing[0].State)
	// Output:
	// v7/l1 complete: false verdict: ran error: <nil>
	// covered: [0 1 3] missing: 2 cut
}
