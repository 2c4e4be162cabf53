package cpgather_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cpgather/cpgathertest"
	"github.com/clementineport/clementineport/cppick"
	"github.com/clementineport/clementineport/cpsnapshot"
)

const (
	usualLatency = 5 * time.Millisecond
	// One call in slowCallInterval takes slowCallFactor times as long as usual.
	slowCallInterval = 100
	slowCallFactor   = 10
)

// drawLatency returns the random latency of one call.
func drawLatency(rng *rand.Rand) time.Duration {
	d := float64(usualLatency) * math.Exp(0.2*rng.NormFloat64())
	if rng.IntN(slowCallInterval) == 0 {
		d *= slowCallFactor
	}
	return time.Duration(d)
}

// latencyResult is the latency and the extra load of simulated queries.
type latencyResult struct {
	p50, p99 time.Duration
	extra    float64
}

// simulate runs queries sequentially in virtual time.
func simulate(shards, queries int, opts ...cpgather.Option) latencyResult {
	rng := rand.New(rand.NewPCG(1, uint64(shards)))
	plan, v := cpgathertest.NewPlan(shards, 3*shards, cpgathertest.Old)
	plan.Query.Deadline = cpgathertest.Start.Add(time.Minute)
	// The hedge delay of a target is the 95th percentile of its call latencies.
	samples := make([]time.Duration, 10_000)
	for i := range samples {
		samples[i] = drawLatency(rng)
	}
	slices.Sort(samples)
	v.HedgeDelay = samples[len(samples)*95/100]
	options := cpgather.NewOptions(opts...)
	var took []time.Duration
	calls := 0
	for range queries {
		m := cpgather.NewWithOptions(plan, options)
		took = append(took, simulateQuery(m, rng))
		calls += m.Answer().Stats.Calls
		m.Release()
	}
	slices.Sort(took)
	first := float64(shards * queries)
	return latencyResult{p50: took[queries/2], p99: took[queries*99/100], extra: (float64(calls) - first) / first}
}

func simulateQuery(m *cpgather.Machine, rng *rand.Rand) time.Duration {
	type event struct {
		at time.Time
		c  *clementineport.Call
	}
	var events []event
	now := cpgathertest.Start
	apply := func(actions []cpgather.Action) {
		for _, a := range actions {
			if a.Kind == cpgather.Send {
				c := m.Call(a)
				events = append(events, event{at: now.Add(drawLatency(rng)), c: &c})
			}
		}
		slices.SortFunc(events, func(a, b event) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(b.c.Attempt, a.c.Attempt)) })
	}
	apply(m.Start(now))
	for !m.Finished() {
		if next := m.NextTick(); len(events) == 0 || next.Before(events[len(events)-1].at) {
			now = next
			apply(m.Tick(now))
			continue
		}
		last := events[len(events)-1]
		events, now = events[:len(events)-1], last.at
		r := cpgathertest.ReplyTo(last.c)
		if actions := m.Result(now, &r); len(actions) > 0 {
			apply(actions)
		}
	}
	return now.Sub(cpgathertest.Start)
}

var tailSizes = []struct{ shards, queries int }{{3, 5000}, {35, 1500}, {1100, 150}}

func TestHedgesHalveTheTail(t *testing.T) {
	for _, s := range tailSizes {
		t.Run(fmt.Sprintf("Shards=%d", s.shards), func(t *testing.T) {
			plain := simulate(s.shards, s.queries)
			hedged := simulate(s.shards, s.queries, cpgather.Budgets(&cpgathertest.Budget{Share: 0.05}, nil))
			t.Logf("plain %+v, hedged %+v", plain, hedged)
			assert.Assert(t, hedged.p99 <= plain.p99/2, "p99 %v is over half of %v", hedged.p99, plain.p99)
			assert.Assert(t, hedged.extra <= 0.05 && plain.extra == 0, "extra load %v", hedged.extra)
		})
	}
}

func BenchmarkTail(b *testing.B) {
	for _, s := range tailSizes {
		for name, budget := range map[string]float64{"Hedges=off": 0, "Hedges=5%": 0.05} {
			b.Run(fmt.Sprintf("Shards=%d/%s", s.shards, name), func(b *testing.B) {
				var got latencyResult
				for b.Loop() {
					budget := &cpgathertest.Budget{Share: budget}
					got = simulate(s.shards, s.queries, cpgather.Budgets(budget, nil))
				}
				b.ReportMetric(float64(got.p50)/1e6, "virtual-p50-ms")
				b.ReportMetric(float64(got.p99)/1e6, "virtual-p99-ms")
				b.ReportMetric(100*got.extra, "extra-%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// usePicker replaces the view of the plan by one of cppick whose targets have each answered once.
func usePicker(plan *cpgather.Plan) {
	byID := map[clementineport.TargetID]clementineport.TargetIndex{}
	for i := range plan.Targets {
		byID[plan.Targets[i].ID] = clementineport.TargetIndex(i)
	}
	plan.View = cppick.New().View(&clementineport.Table{Revision: 1, Targets: plan.Targets, ByID: byID})
	for i := range clementineport.TargetIndex(len(plan.Targets)) {
		plan.View.Sent(i)
		plan.View.Observe(i, cpgathertest.Start, &clementineport.CallResult{
			Elapsed: usualLatency,
			Signals: clementineport.Signals{Start: "a", Held: []clementineport.Snapshot{cpgathertest.Old, cpgathertest.New}},
		})
	}
}

// benchmarkQueries repeatedly starts a query and lets drive run it.
func benchmarkQueries(b *testing.B, drive func(plan *cpgather.Plan, m *cpgather.Machine) bool) {
	for _, shards := range []int{3, 35, 1100} {
		b.Run(fmt.Sprintf("Shards=%d/Targets=%d", shards, shards*39/11), func(b *testing.B) {
			plan, _ := cpgathertest.NewPlan(shards, shards*39/11)
			plan.Service.Layouts = plan.Service.Layouts[:1]
			usePicker(&plan)
			cache, options := cpsnapshot.NewCache(cpsnapshot.New(), time.Second), cpgather.NewOptions()
			b.ReportAllocs()
			for b.Loop() {
				plan.Choice, _ = cache.Choose(plan.Service, plan.View, cpgathertest.Start)
				m := cpgather.NewWithOptions(plan, options)
				if !drive(&plan, m) {
					b.Fatal("the query is not complete")
				}
				m.Release()
			}
		})
	}
}

// BenchmarkPlan chooses a snapshot from the cache and picks a target for every shard.
func BenchmarkPlan(b *testing.B) {
	benchmarkQueries(b, func(plan *cpgather.Plan, m *cpgather.Machine) bool {
		return len(m.Start(cpgathertest.Start)) == len(plan.Service.Layouts[0].Replicas)
	})
}

// BenchmarkGather plans a query as BenchmarkPlan does and merges a reply with ten hits for every shard.
func BenchmarkGather(b *testing.B) {
	hits := make([]clementineport.Hit, 10)
	for i := range hits {
		hits[i] = clementineport.Hit{Record: fmt.Sprintf("record-%d", i), Score: float64(10 - i)}
	}
	benchmarkQueries(b, func(plan *cpgather.Plan, m *cpgather.Machine) bool {
		reply := clementineport.Reply{Request: plan.Query.Request, Snapshot: plan.Choice.Snapshot, Hits: hits}
		for i := range clementineport.AttemptID(len(m.Start(cpgathertest.Start))) {
			reply.Shard = clementineport.ShardID(i)
			m.Result(cpgathertest.Start, &clementineport.CallResult{Attempt: i + 1, Shard: reply.Shard, Reply: &reply})
		}
		return m.Answer().Complete
	})
}
