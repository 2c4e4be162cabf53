package cpadmit_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
)

const (
	simWarmup = 3 * time.Second
	simLength = 9 * time.Second
)

var simSeeds = []uint64{1, 2}

// modes are admission control and the baseline that admits every query, in which the guarantees must fail.
var modes = []struct {
	name      string
	unlimited bool
	opts      []cpadmit.Option
}{
	{"Admission=on", false, nil},
	{"Admission=off", true, []cpadmit.Option{cpadmit.WithoutLimit()}},
}

func runLoad(seed uint64, load float64, opts ...cpadmit.Option) *sim {
	return newSim(seed, 1, opts...).run(phase{simLength, 1, []flow{interactiveFlow(load)}})
}

func runFlood(seed uint64, batch float64, opts ...cpadmit.Option) *sim {
	return newSim(seed, 1, opts...).run(phase{simLength, 1, []flow{interactiveFlow(0.4), batchFlow(batch)}})
}

func TestGuaranteesUnderOverload(t *testing.T) {
	guarantees := []struct {
		name  string
		holds func(seed uint64, opts ...cpadmit.Option) bool
	}{
		{"goodput at 10x is at least 90% of that at 1x and of the capacity", func(seed uint64, opts ...cpadmit.Option) bool {
			once := runLoad(seed, 1, opts...).goodput("booking-desk", simWarmup, simLength)
			tenfold := runLoad(seed, 10, opts...).goodput("booking-desk", simWarmup, simLength)
			return tenfold >= 0.9*once && tenfold >= 0.9
		}},
		{"a flood of batch does not move the p99 of interactive by more than a fifth", func(seed uint64, opts ...cpadmit.Option) bool {
			alone, beside := runFlood(seed, 0, opts...), runFlood(seed, 10, opts...)
			return float64(beside.p99("booking-desk")) <= 1.2*float64(alone.p99("booking-desk")) &&
				beside.goodput("booking-desk", simWarmup, simLength) >= 0.95*0.4
		}},
		{"full service within 5 s after a flood", func(seed uint64, opts ...cpadmit.Option) bool {
			s := newSim(seed, 1, opts...).run(
				phase{simWarmup, 1, []flow{interactiveFlow(0.7)}},
				phase{simLength, 1, []flow{interactiveFlow(10)}},
				phase{simLength, 1, []flow{interactiveFlow(0.7)}},
			)
			end := simWarmup + simLength
			return s.goodput("booking-desk", end+5*time.Second, end+simLength) >= 0.95*0.7
		}},
		{"a flood of one service leaves another one of its class its share", func(seed uint64, opts ...cpadmit.Option) bool {
			other := flow{service: "trainer-portal", class: clementineport.ClassInteractive, share: 0.3}
			s := newSim(seed, 1, opts...).run(phase{simLength, 1, []flow{interactiveFlow(10), other}})
			return s.goodput("trainer-portal", simWarmup, simLength) >= 0.95*0.3
		}},
	}
	for _, g := range guarantees {
		for _, m := range modes {
			t.Run(g.name+"/"+m.name, func(t *testing.T) {
				for _, seed := range simSeeds {
					assert.Equal(t, g.holds(seed, m.opts...), !m.unlimited, "seed %d", seed)
				}
			})
		}
	}
}

func TestVMsShareTheBackEnds(t *testing.T) {
	const vms = 5
	for _, seed := range simSeeds {
		s := newSim(seed, vms).run(phase{2 * simLength, 1, []flow{interactiveFlow(10)}})
		assert.Assert(t, s.goodput("booking-desk", simWarmup, 2*simLength) >= 0.9)
		least, most := s.gates[0].Limit(), s.gates[0].Limit()
		for _, g := range s.gates {
			least, most = min(least, g.Limit()), max(most, g.Limit())
		}
		assert.Assert(t, most <= 3*least, "limits from %d to %d", least, most)
	}
}

func TestSlowBackEndsAreNotTakenForLoad(t *testing.T) {
	const load = 0.22 // of the capacity; two thirds of the capacity of the slow back ends
	for _, seed := range simSeeds {
		s := newSim(seed, 1).run(
			phase{simLength, 1, []flow{interactiveFlow(load)}},
			phase{2 * simLength, 3, []flow{interactiveFlow(load)}},
		)
		assert.Assert(t, s.goodput("booking-desk", simLength+5*time.Second, 3*simLength) >= 0.95*load)
	}
}

func TestRefusalsAreQuickAndSpread(t *testing.T) {
	var last time.Duration
	for _, load := range []float64{2, 5, 10} {
		s := runLoad(1, load)
		assert.Assert(t, s.slowestRefusal <= time.Duration(cpadmit.DefaultMaxWaitShare*float64(simDeadline)))
		assert.Assert(t, float64(s.delayedRefusals) <= 0.05*float64(s.refusals), "%d of %d refusals were delayed", s.delayedRefusals, s.refusals)
		slices.Sort(s.retryAfters)
		low, middle, high := s.retryAfters[len(s.retryAfters)/10], s.retryAfters[len(s.retryAfters)/2], s.retryAfters[len(s.retryAfters)*9/10]
		assert.Assert(t, middle > last, "RetryAfter must grow with the load")
		assert.Assert(t, float64(high) >= 1.5*float64(low), "RetryAfter must be spread")
		assert.Assert(t, high <= cpadmit.DefaultMaxRetryAfter)
		last = middle
	}
}

// TestGate checks, with random arrivals and completions, that every query either starts or is refused exactly once, that
// the limit holds when a query starts, and that no query waits longer than its share of the time left.
func TestGate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := simStart
		g := cpadmit.NewGate(cpadmit.NewOptions(cpadmit.WithLimits(1, 3, 5)))
		running := make(map[cpadmit.Ticket]bool)
		type wait struct {
			arrival cpadmit.Arrival
			until   time.Time
		}
		waits := make(map[cpadmit.Ticket]wait)
		start := func(ticket cpadmit.Ticket) {
			assert.Assert(t, !running[ticket], "started twice")
			running[ticket] = true
			assert.Equal(t, g.InProgress(), len(running))
			assert.Assert(t, len(running) <= g.Limit())
		}
		refused := func(d cpadmit.Decision) {
			assert.Equal(t, d.Kind, cpadmit.KindRefused)
			assert.Assert(t, d.RetryAfter > 0 && d.RetryAfter <= cpadmit.DefaultMaxRetryAfter)
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			for _, ticket := range slices.Sorted(maps.Keys(waits)) {
				w := waits[ticket]
				if !now.Before(w.until) {
					delete(waits, ticket)
					refused(g.Cancel(now, ticket, w.arrival))
				}
			}
			a := cpadmit.Arrival{
				Service:  clementineport.ServiceID(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service")),
				Class:    clementineport.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				Deadline: now.Add(simDeadline),

				Workspace: clementineport.WorkspaceID(rapid.SampledFrom([]string{"", "u", "v"}).Draw(t, "workspace")),
				Rank:      rapid.IntRange(0, 2).Draw(t, "rank"),
				Cost:      rapid.Float64Range(0, 2).Draw(t, "cost"),
			}
			if rapid.IntRange(0, 9).Draw(t, "changes") == 0 {
				g.SetFair(now, rapid.Bool().Draw(t, "fair"))
			}
			switch d := g.Offer(now, a); d.Kind {
			case cpadmit.KindAdmitted:
				start(d.Ticket)
			case cpadmit.KindQueued:
				assert.Assert(t, !d.WaitUntil.After(now.Add(simDeadline/10)))
				waits[d.Ticket] = wait{a, d.WaitUntil}
			default:
				refused(d)
			}
			for _, ticket := range slices.Sorted(maps.Keys(running)) {
				if rapid.Bool().Draw(t, "ends") {
					delete(running, ticket)
					for _, next := range g.Done(now, ticket, cpadmit.Outcome{Shed: rapid.Bool().Draw(t, "shed")}) {
						_, waited := waits[next]
						assert.Assert(t, waited, "started a query that was not waiting")
						delete(waits, next)
						start(next)
					}
				}
			}
		}
	})
}

func TestAdmitter(t *testing.T) {
	clock := clockwork.NewFakeClock()
	a := cpadmit.New(cpadmit.WithClock(clock), cpadmit.WithLimits(1, 1, 1))
	service := &clementineport.Service{Name: "booking-desk"}
	type admission struct {
		done func(*clementineport.Answer)
		err  error
	}
	admit := func(ctx context.Context) <-chan admission {
		result := make(chan admission, 1)
		go func() {
			q := &clementineport.Query{Service: service.Name, Deadline: clock.Now().Add(simDeadline)}
			done, err := a.Admit(ctx, service, q)
			result <- admission{done, err}
		}()
		return result
	}
	refused := func(r admission) {
		assert.Equal(t, clementineport.FaultOf(r.err), clementineport.FaultShed)
		assert.Equal(t, clementineport.VerdictOf(r.err), clementineport.NotRun)
		assert.Assert(t, r.err.(*clementineport.Error).RetryAfter > 0)
	}
	ctx := t.Context()
	first := <-admit(ctx)
	assert.NilError(t, first.err)

	granted := admit(ctx)
	assert.NilError(t, clock.BlockUntilContext(ctx, 1))
	first.done(&clementineport.Answer{})
	first.done(nil) // a second call has no effect
	second := <-granted
	assert.NilError(t, second.err)
	assert.Equal(t, a.InProgress(), 1)

	expired := admit(ctx)
	assert.NilError(t, clock.BlockUntilContext(ctx, 2))
	clock.Advance(simDeadline / 10)
	refused(<-expired)

	canceled, cancel := context.WithCancel(ctx)
	abandoned := admit(canceled)
	assert.NilError(t, clock.BlockUntilContext(ctx, 1))
	cancel()
	refused(<-abandoned)
	second.done(nil)
	assert.Equal(t, a.InProgress(), 0)
}

// BenchmarkOverload reports the goodput and latency of the simulation at several offered loads.
func BenchmarkOverload(b *testing.B) {
	for _, load := range []float64{0.8, 1, 2, 5, 10} {
		for _, m := range modes {
			b.Run(fmt.Sprintf("Offered=%gx/%s", load, m.name), func(b *testing.B) {
				var s *sim
				for b.Loop() {
					s = runLoad(1, load, m.opts...)
				}
				b.ReportMetric(float64(s.delayedRefusals)/max(float64(s.refusals), 1), "delayed/refusal")
				report(b, s)
			})
		}
	}
}

// BenchmarkFlood reports the latency of interactive queries during a flood of batch queries.
func BenchmarkFlood(b *testing.B) {
	for _, batch := range []float64{0, 0.5, 1, 5, 10} {
		for _, m := range modes {
			b.Run(fmt.Sprintf("Batch=%gx/%s", batch, m.name), func(b *testing.B) {
				var s *sim
				for b.Loop() {
					s = runFlood(1, batch, m.opts...)
				}
				b.ReportMetric(s.goodput("certificate-sync", simWarmup, simLength), "batch/capacity")
				report(b, s)
			})
		}
	}
}

func report(b *testing.B, s *sim) {
	b.ReportMetric(s.goodput("booking-desk", simWarmup, simLength), "desk/capacity")
	b.ReportMetric(float64(s.p99("booking-desk").Milliseconds()), "p99-ms")
	b.ReportMetric(float64(s.gates[0].Limit()), "limit")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkAdmit measures one admission without contention.
func BenchmarkAdmit(b *testing.B) {
	a := cpadmit.New(cpadmit.WithLimits(1000, 1000, 1000))
	service := &clementineport.Service{Name: "booking-desk"}
	q := &clementineport.Query{Service: service.Name, Deadline: time.Now().Add(time.Hour)}
	answer := new(clementineport.Answer)
	b.ReportAllocs()
	for b.Loop() {
		done, err := a.Admit(b.Context(), service, q)
		if err != nil {
			b.Fatal(err)
		}
		done(answer)
	}
}
