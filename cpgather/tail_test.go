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
)

const (
	usualLatency = 5 * time.Millisecond
	// slowOneIn calls takes slowTimes as long as usual.
	slowOneIn = 100
	slowTimes = 10
)

// latency draws the time of one call.
func latency(rng *rand.Rand) time.Duration {
	d := float64(usualLatency) * math.Exp(0.2*rng.NormFloat64())
	if rng.IntN(slowOneIn) == 0 {
		d *= slowTimes
	}
	return time.Duration(d)
}

// tail is the outcome of simulated queries.
type tail struct {
	p50, p99 time.Duration
	extra    float64
}

// simulate runs queries one after the other in virtual time.
func simulate(branches, queries int, opts ...cpgather.Option) tail {
	rng := rand.New(rand.NewPCG(1, uint64(branches)))
	plan, v := newPlan(branches, 3, old)
	plan.Query.Deadline = start.Add(time.Minute)
	// The usual time of a target is the 95th percentile of its calls.
	seen := make([]time.Duration, 10_000)
	for i := range seen {
		seen[i] = latency(rng)
	}
	slices.Sort(seen)
	v.after = seen[len(seen)*95/100]
	options := cpgather.NewOptions(opts...)
	var took []time.Duration
	calls := 0
	for range queries {
		m := cpgather.NewWith(plan, options)
		took = append(took, simulateQuery(m, rng))
		calls += m.Answer().Stats.Calls
		m.Release()
	}
	slices.Sort(took)
	first := float64(branches * queries)
	return tail{p50: took[queries/2], p99: took[queries*99/100], extra: (float64(calls) - first) / first}
}

func simulateQuery(m *cpgather.Machine, rng *rand.Rand) time.Duration {
	type event struct {
		at time.Time
		r  clementineport.CallResult
	}
	var events []event
	now := start
	take := func(actions []cpgather.Action) {
		for _, a := range actions {
			if a.Kind == cpgather.Send {
				c := m.Call(a)
				events = append(events, event{at: now.Add(latency(rng)), r: replyTo(&c)})
			}
		}
		slices.SortFunc(events, func(a, b event) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(b.r.Attempt, a.r.Attempt)) })
	}
	take(m.Start(now))
	for !m.Finished() {
		if next := m.Next(); len(events) == 0 || next.Before(events[len(events)-1].at) {
			now = next
			take(m.Tick(now))
			continue
		}
		last := events[len(events)-1]
		events, now = events[:len(events)-1], last.at
		if actions := m.Result(now, &last.r); len(actions) > 0 {
			take(actions)
		}
	}
	return now.Sub(start)
}

var tailSizes = []struct{ branches, queries int }{{3, 5000}, {35, 2000}, {1100, 300}}

func TestHedgesHalveTheTail(t *testing.T) {
	for _, s := range tailSizes {
		t.Run(fmt.Sprintf("Branches=%d", s.branches), func(t *testing.T) {
			plain := simulate(s.branches, s.queries)
			hedged := simulate(s.branches, s.queries, cpgather.Budgets(newTokens(0.05), nil))
			t.Logf("plain %+v, hedged %+v", plain, hedged)
			assert.Assert(t, hedged.p99 <= plain.p99/2, "p99 %v is over half of %v", hedged.p99, plain.p99)
			assert.Assert(t, hedged.extra <= 0.05 && plain.extra == 0, "extra load %v", hedged.extra)
		})
	}
}

func BenchmarkTail(b *testing.B) {
	for _, s := range tailSizes {
		for name, budget := range map[string]float64{"Hedges=off": 0, "Hedges=5%": 0.05} {
			b.Run(fmt.Sprintf("Branches=%d/%s", s.branches, name), func(b *testing.B) {
				var got tail
				for b.Loop() {
					budget := &tokens{share: budget}
					got = simulate(s.branches, s.queries, cpgather.Budgets(budget, nil))
				}
				b.ReportMetric(float64(got.p50)/1e6, "virtual-p50-ms")
				b.ReportMetric(float64(got.p99)/1e6, "virtual-p99-ms")
				b.ReportMetric(100*got.extra, "extra-%")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, branches := range []int{3, 35, 1100} {
		b.Run(fmt.Sprintf("Branches=%d", branches), func(b *testing.B) {
			plan, _ := newPlan(branches, 4, old, fresh)
			options := cpgather.NewOptions()
			b.ReportAllocs()
			for b.Loop() {
				m := cpgather.NewWith(plan, options)
				m.Start(start)
				m.Release()
			}
		})
	}
}

func BenchmarkGather(b *testing.B) {
	for _, branches := range []int{3, 35, 1100} {
		b.Run(fmt.Sprintf("Branches=%d", branches), func(b *testing.B) {
			plan, v := newPlan(branches, 4, old)
			options := cpgather.NewOptions()
			results := make([]clementineport.CallResult, branches)
			m := cpgather.NewWith(plan, options)
			clear(v.sent)
			for i, a := range m.Start(start) {
				c := m.Call(a)
				results[i] = replyTo(&c)
			}
			b.ReportAllocs()
			for b.Loop() {
				clear(v.sent)
				m := cpgather.NewWith(plan, options)
				m.Start(start)
				for i := range results {
					m.Result(start.Add(usualLatency), &results[i])
				}
				if !m.Answer().Complete {
					b.Fatal("incomplete")
				}
				m.Release()
			}
		})
	}
}
