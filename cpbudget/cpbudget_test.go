package cpbudget_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbudget"
)

// step counts the ordinary and the extra calls of one step or of several consecutive ones.
type step struct{ ordinary, extra int }

// withinShare reports whether every sequence of consecutive steps has at most the share of its ordinary calls plus the
// burst as extra calls.
func withinShare(history []step, share float64, burst int) bool {
	for first := range history {
		var window step
		for _, s := range history[first:] {
			window.ordinary += s.ordinary
			window.extra += s.extra
			if float64(window.extra) > share*float64(window.ordinary)+float64(burst)+1e-6 {
				return false
			}
		}
	}
	return true
}

// spend runs random steps of ordinary and extra calls against a budget and returns the calls of each.
func spend(t *rapid.T, b clementineport.Budget) []step {
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{rapid.IntRange(0, 300).Draw(t, "ordinary"), rapid.IntRange(0, 30).Draw(t, "asked")}
	}), 1, 40).Draw(t, "steps")
	for i := range steps {
		b.Earn(steps[i].ordinary)
		requested := steps[i].extra
		steps[i].extra = 0
		for range requested {
			if b.Spend() {
				steps[i].extra++
			}
		}
	}
	return steps
}

func TestAFullBudgetGrantsACallOfLittleValue(t *testing.T) {
	for _, burst := range []int{1, 2, 7, 50} {
		b := cpbudget.New(cpbudget.WithShare(0.5), cpbudget.WithBurst(burst), cpbudget.WithStart(burst))
		assert.Assert(t, b.SpendAbove(0.6), "burst %d", burst)
	}
	b := cpbudget.New(cpbudget.WithShare(0.5), cpbudget.WithBurst(10), cpbudget.WithStart(10))
	allowed := 0
	for b.SpendAbove(0.6) {
		allowed++
	}
	assert.Equal(t, allowed, 4)
	assert.Assert(t, b.SpendAbove(0))
}

func TestExtraCallsStayWithinTheShareOfAnyWindow(t *testing.T) {
	exceeded := false
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "share")
		burst := rapid.IntRange(0, 40).Draw(t, "burst")
		b := cpbudget.New(cpbudget.WithShare(share), cpbudget.WithBurst(burst), cpbudget.WithStart(burst))
		assert.Assert(t, withinShare(spend(t, b), share, burst))
		exceeded = exceeded || !withinShare(spend(t, cpbudget.Unlimited), share, burst)
	})
	assert.Assert(t, exceeded, "the property holds without a budget, so that the test proves nothing")
}

func TestRetriesAreChargedToHedges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hedges, retries := cpbudget.NewPair()
		calls := rapid.IntRange(0, 2000).Draw(t, "calls")
		hedges.Earn(calls)
		retries.Earn(calls)
		extra := 0
		for range rapid.IntRange(0, 40).Draw(t, "retries") {
			if retries.Spend() {
				extra++
			}
		}
		retried := extra
		for hedges.Spend() {
			extra++
		}
		credit := min(cpbudget.DefaultHedgeShare*float64(calls), cpbudget.DefaultHedgeBurst)
		assert.Assert(t, float64(extra) <= max(credit, float64(retried)))
	})
}

func TestNoneGrantsNothing(t *testing.T) {
	cpbudget.None.Earn(1000)
	assert.Assert(t, !cpbudget.None.Spend())
}

func TestConcurrentSpendingGrantsEachCallOnce(t *testing.T) {
	b := cpbudget.New(cpbudget.WithShare(0.1), cpbudget.WithBurst(1000))
	var allowed atomic.Int64
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				b.Earn(1)
				if b.Spend() {
					allowed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	for b.Spend() {
		allowed.Add(1)
	}
	assert.Equal(t, allowed.Load(), int64(800))
}

func BenchmarkBudget(b *testing.B) {
	budget := cpbudget.New()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.Earn(3)
			budget.Spend()
		}
	})
}
