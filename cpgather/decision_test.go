package cpgather_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpattempt"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cpgather/cpgathertest"
)

// reply delivers a reply to each of the given attempts.
func (g *model) reply(attempts ...int) {
	for _, a := range attempts {
		g.deliver(cpgathertest.ReplyTo(&g.calls[a-1]))
	}
}

// fail ends an attempt with a fault.
func (g *model) fail(attempt int, fault clementineport.Fault) {
	g.deliver(cpgathertest.FailureOf(&g.calls[attempt-1], fault))
}

// run calls Tick whenever the machine asks for it, up to the time at.
func (g *model) run(at time.Duration) {
	for !g.m.Finished() && !g.m.NextTick().After(cpgathertest.Start.Add(at)) {
		g.now = g.m.NextTick()
		g.apply(g.m.Tick(g.now))
	}
	g.now = cpgathertest.Start.Add(at)
}

func TestFaultDecidesRetry(t *testing.T) {
	permanent := map[clementineport.Fault]bool{
		clementineport.FaultInvalid: true, clementineport.FaultNotFound: true,
		clementineport.FaultUnauthorized: true, clementineport.FaultStale: true,
	}
	states := map[clementineport.Fault]clementineport.ShardState{
		clementineport.FaultCut: clementineport.ShardCut, clementineport.FaultTimeout: clementineport.ShardLate,
		clementineport.FaultDeadline: clementineport.ShardLate,
	}
	for _, idempotent := range []bool{true, false} {
		for _, fault := range clementineport.Faults() {
			t.Run(fmt.Sprintf("%v/Idempotent=%v", fault, idempotent), func(t *testing.T) {
				plan, v := cpgathertest.NewPlan(1, 2, cpgathertest.Old)
				plan.Query.Idempotent = idempotent
				g := newModel(plan, v, cpgather.Budgets(nil, &cpgathertest.Budget{Share: 1}))
				g.fail(1, fault)
				if !permanent[fault] && (idempotent || fault.Verdict() == clementineport.NotRun) {
					assert.Equal(t, len(g.calls), 2)
					assert.Assert(t, g.calls[1].Target != g.calls[0].Target)
					g.reply(2)
					assert.Assert(t, g.m.Finished() && g.m.Answer().Complete)
					return
				}
				assert.Assert(t, g.m.Finished(), "the answer is still open")
				answer := g.m.Answer()
				want, ok := states[fault]
				if !ok {
					want = clementineport.ShardFailed
				}
				assert.DeepEqual(t, answer.Missing, []clementineport.MissingShard{{Shard: 0, State: want, Fault: fault}})
				assert.Equal(t, answer.Verdict, fault.Verdict())
				assert.Equal(t, clementineport.VerdictOf(g.m.Err()), fault.Verdict())
			})
		}
	}
}

func TestRetriesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		fault  clementineport.Fault
		budget clementineport.Budget
		calls  int
	}{
		"free refusal":             {clementineport.FaultDraining, nil, 5},
		"full target, no budget":   {clementineport.FaultShed, nil, 5},
		"failure without budget":   {clementineport.FaultReset, nil, 1},
		"failure with a budget":    {clementineport.FaultReset, &cpgathertest.Budget{Share: 2}, 3},
		"failure with much budget": {clementineport.FaultReset, &cpgathertest.Budget{Share: 100}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			// With one replica every retry waits for its backoff and calls the same target again.
			plan, v := cpgathertest.NewPlan(1, 1, cpgathertest.Old)
			g := newModel(plan, v, cpgather.Budgets(nil, c.budget))
			for at := time.Duration(0); !g.m.Finished() && at < time.Second; at += 50 * time.Millisecond {
				g.run(at)
				g.fail(len(g.calls), c.fault)
			}
			assert.Equal(t, len(g.calls), c.calls)
			assert.Assert(t, g.m.Err() != nil)
			assert.Assert(t, g.now.Before(cpgathertest.Start.Add(300*time.Millisecond)), "the answer is still open")
		})
	}
}

func TestHedgesOnlyStragglersOfIdempotentQueries(t *testing.T) {
	off := func() bool { return true }
	for name, c := range map[string]struct {
		change func(*cpgather.Plan, *cpgathertest.View)
		opts   []cpgather.Option
		budget float64
		hedges int
	}{
		"straggler":       {nil, nil, 1, 1},
		"no budget":       {nil, nil, 0, 0},
		"loaded":          {nil, []cpgather.Option{cpgather.SuppressHedges(off)}, 1, 0},
		"non-idempotent":  {func(p *cpgather.Plan, _ *cpgathertest.View) { p.Query.Idempotent = false }, nil, 1, 0},
		"no other target": {func(_ *cpgather.Plan, v *cpgathertest.View) { v.Unusable[10] = true }, nil, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			plan, v := cpgathertest.NewPlan(10, 20, cpgathertest.Old)
			if c.change != nil {
				c.change(&plan, v)
			}
			g := newModel(plan, v, append(c.opts, cpgather.Budgets(&cpgathertest.Budget{Share: c.budget}, nil))...)
			g.run(5 * time.Millisecond)
			g.reply(2, 3, 4, 5, 6, 7, 8, 9, 10)
			g.run(12 * time.Millisecond)
			assert.Equal(t, len(g.calls), 10, "hedged before the hedge delay has passed")
			g.run(13 * time.Millisecond)
			assert.Equal(t, len(g.calls), 10+c.hedges)
			if c.hedges == 1 {
				assert.Assert(t, g.calls[10].Target != g.calls[0].Target)
				g.reply(11)
				assert.Assert(t, !g.open[1], "the straggler is not cancelled")
				row := g.m.Trace().Rows()[10]
				assert.Equal(t, row, cpattempt.TraceRow{
					Attempt: 11, Shard: 0, Target: "t10", Try: "hedge", Sent: 12500 * time.Microsecond,
					Took: 500 * time.Microsecond, Ending: "merged",
				})
			} else {
				g.reply(1)
			}
			assert.Assert(t, g.m.Finished() && g.m.Answer().Complete)
		})
	}
}

func TestHedgesWaitWhileMostShardsAreOutstanding(t *testing.T) {
	plan, v := cpgathertest.NewPlan(10, 20, cpgathertest.Old)
	g := newModel(plan, v, cpgather.Budgets(&cpgathertest.Budget{Share: 1}, nil))
	g.run(19 * time.Millisecond)
	assert.Equal(t, len(g.calls), 10)
	g.run(20 * time.Millisecond)
	assert.Equal(t, len(g.calls), 20)
}

func TestNoHedgeAfterOverload(t *testing.T) {
	plan, v := cpgathertest.NewPlan(10, 20, cpgathertest.Old)
	plan.Service.Service.LeastCoverage = 0.5
	g := newModel(plan, v, cpgather.Budgets(&cpgathertest.Budget{Share: 1}, nil))
	g.reply(2, 3, 4, 5, 6, 7, 8, 9)
	g.fail(10, clementineport.FaultShed)
	g.run(100 * time.Millisecond)
	assert.Equal(t, g.m.Trace().Stats.Hedges, 0)
}

func TestNonIdempotentQueryWaitsForItsOutcome(t *testing.T) {
	for _, least := range []float64{0.3, 1} {
		plan, v := cpgathertest.NewPlan(3, 6, cpgathertest.Old)
		plan.Query.Idempotent = false
		plan.Service.Service.LeastCoverage, plan.Service.Service.Prefer = least, clementineport.PreferTail
		g := newModel(plan, v)
		g.fail(1, clementineport.FaultReset)
		if least == 1 {
			g.fail(2, clementineport.FaultDraining)
			assert.Equal(t, len(g.calls), 3, "retried although the answer is certain to be refused")
		} else {
			g.reply(2)
		}
		g.run(600 * time.Millisecond)
		assert.Assert(t, !g.m.Finished())
		g.reply(3)
		assert.Assert(t, g.m.Finished())
		assert.Equal(t, g.m.Answer().Verdict, clementineport.MayHaveRun)
		assert.Equal(t, g.m.Err() != nil, least == 1)
	}
}

func TestClosing(t *testing.T) {
	for name, c := range map[string]struct {
		prefer  clementineport.Preference
		least   float64
		below   clementineport.BelowLeast
		covered int
		closed  time.Duration
		fault   clementineport.Fault
	}{
		"tail closes early":          {clementineport.PreferTail, 0.9, clementineport.BelowRefuse, 9, 500 * time.Millisecond, 0},
		"coverage waits":             {clementineport.PreferCoverage, 0.9, clementineport.BelowRefuse, 9, 980 * time.Millisecond, 0},
		"tail below least waits":     {clementineport.PreferTail, 0.9, clementineport.BelowRefuse, 8, 980 * time.Millisecond, clementineport.FaultTimeout},
		"below least is marked":      {clementineport.PreferCoverage, 0.9, clementineport.BelowMark, 8, 980 * time.Millisecond, 0},
		"nothing covered is refused": {clementineport.PreferTail, 0, clementineport.BelowMark, 0, 980 * time.Millisecond, clementineport.FaultTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			plan, v := cpgathertest.NewPlan(10, 10, cpgathertest.Old)
			service := &plan.Service.Service
			service.Prefer, service.LeastCoverage, service.BelowLeast = c.prefer, c.least, c.below
			g := newModel(plan, v)
			for a := range c.covered {
				g.reply(a + 1)
			}
			g.run(time.Second)
			answer := g.m.Answer()
			assert.Equal(t, g.m.Trace().Took, c.closed)
			assert.Assert(t, g.m.Finished() && !answer.Complete)
			assert.Equal(t, len(answer.Covered), c.covered)
			assert.Equal(t, clementineport.FaultOf(g.m.Err()), c.fault)
			assert.Equal(t, len(answer.Hits) > 0, c.fault == 0)
		})
	}
}

func TestRefusedBeforeAnythingIsSent(t *testing.T) {
	plan, v := cpgathertest.NewPlan(10, 10, cpgathertest.Old)
	plan.Query.Idempotent = false
	v.Unusable[4] = true
	g := newModel(plan, v)
	assert.Assert(t, g.m.Finished())
	assert.Equal(t, len(g.calls), 0)
	assert.Equal(t, g.m.Answer().Verdict, clementineport.NotRun)
	assert.Equal(t, clementineport.VerdictOf(g.m.Err()), clementineport.NotRun)
}

// TestStaleChoiceIsReplacedBeforeSending plans from a stale cached choice: all targets have replaced the snapshot
// before the first call is sent.
func TestStaleChoiceIsReplacedBeforeSending(t *testing.T) {
	plan, v := cpgathertest.NewPlan(4, 8, cpgathertest.Old)
	plan.Query.Idempotent = false
	for i := range v.Held {
		v.Held[i] = []clementineport.Snapshot{cpgathertest.Split}
	}
	g := newModel(plan, v)
	for a := range g.calls {
		g.reply(a + 1)
	}
	answer := g.m.Answer()
	assert.Assert(t, answer.Complete && answer.Snapshot == cpgathertest.Split)
	assert.Equal(t, answer.Stats, clementineport.GatherStats{Calls: 8})
}

// TestLostSnapshot replaces a version while a query runs: shard 1 loses its last holder, and the new version covers all
// shards.
func TestLostSnapshot(t *testing.T) {
	for name, c := range map[string]struct {
		prefer     clementineport.Preference
		least      float64
		idempotent bool
		at         time.Duration
		next       clementineport.Snapshot
		pinned     clementineport.Snapshot
		covered    int
	}{
		"coverage restarts":           {clementineport.PreferCoverage, 0.5, true, 0, cpgathertest.New, cpgathertest.New, 4},
		"coverage restarts on layout": {clementineport.PreferCoverage, 0.5, true, 0, cpgathertest.Split, cpgathertest.Split, 8},
		"tail goes on":                {clementineport.PreferTail, 0.5, true, 0, cpgathertest.New, cpgathertest.Old, 3},
		"tail restarts below least":   {clementineport.PreferTail, 1, true, 0, cpgathertest.New, cpgathertest.New, 4},
		"no time left":                {clementineport.PreferCoverage, 0.5, true, 970 * time.Millisecond, cpgathertest.New, cpgathertest.Old, 3},
		"non-idempotent goes on":      {clementineport.PreferCoverage, 0.5, false, 0, cpgathertest.New, cpgathertest.Old, 3},
	} {
		t.Run(name, func(t *testing.T) {
			plan, v := cpgathertest.NewPlan(4, 8, cpgathertest.Old)
			plan.Query.Idempotent = c.idempotent
			service := &plan.Service.Service
			service.Prefer, service.LeastCoverage = c.prefer, c.least
			g := newModel(plan, v, cpgather.TailShare(1))
			g.run(c.at)
			g.reply(1)
			for i := range v.Held {
				v.Held[i] = append(v.Held[i], c.next)
			}
			v.Held[1], v.Held[5] = []clementineport.Snapshot{c.next}, []clementineport.Snapshot{c.next}
			g.fail(2, clementineport.FaultSnapshot)
			for a := 2; a <= len(g.calls); a++ {
				if g.open[clementineport.AttemptID(a)] {
					g.reply(a)
				}
			}
			g.check()
			assert.Equal(t, g.violation, "")
			assert.Equal(t, g.m.Answer().Snapshot, c.pinned)
			assert.Equal(t, len(g.m.Answer().Covered), c.covered)
		})
	}
}

func TestOverloadedTargetIsRetriedAfterRetryAfter(t *testing.T) {
	const retryAfter = 30 * time.Millisecond
	plan, v := cpgathertest.NewPlan(1, 1, cpgathertest.Old)
	g := newModel(plan, v, cpgather.Budgets(nil, nil))
	refusal := cpgathertest.FailureOf(&g.calls[0], clementineport.FaultShed)
	refusal.Err = &clementineport.Error{Fault: clementineport.FaultShed, RetryAfter: retryAfter}
	g.deliver(refusal)
	g.run(retryAfter - time.Millisecond)
	assert.Equal(t, len(g.calls), 1)
	g.run(retryAfter)
	assert.Equal(t, len(g.calls), 2)
	g.reply(2)
	assert.Assert(t, g.m.Finished() && g.m.Answer().Complete)
}

func TestStragglerWithoutAnotherTargetIsRechecked(t *testing.T) {
	plan, v := cpgathertest.NewPlan(1, 2, cpgathertest.Old)
	g := newModel(plan, v, cpgather.Budgets(&cpgathertest.Budget{Share: 1}, nil))
	assert.Equal(t, g.calls[0].Target, plan.Targets[0].ID)
	v.Unusable[1] = true
	g.run(40 * time.Millisecond)
	assert.Equal(t, len(g.calls), 1)
	v.Unusable[1] = false
	g.run(60 * time.Millisecond)
	assert.Equal(t, len(g.calls), 2)
}
