package cpquota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport/cpquota"
)

const service = "a"

// start is the start time of the VMs.
var start = time.Unix(1000, 0)

// history holds the number of requests and of extra calls of all VMs in each tenth of a second.
type history struct {
	requests []int
	extra    []int
}

const tenth = 100 * time.Millisecond

// within reports whether every window of the bound satisfies it.
func (h *history) within(bound cpquota.RetryBound) bool {
	spans := int(bound.Window / tenth)
	requests, extra := 0, 0
	for i := range h.extra {
		requests, extra = requests+h.requests[i], extra+h.extra[i]
		if i >= spans {
			requests, extra = requests-h.requests[i-spans], extra-h.extra[i-spans]
		}
		if float64(extra) > bound.Ratio*float64(requests)+bound.Slack+1e-6 {
			return false
		}
	}
	return true
}

// spendAll simulates VMs that spend all extra calls that their budgets allow, with perSecond requests for all VMs
// together. In each tenth of a second, a VM restarts with the probability restarts.
func spendAll(bound cpquota.RetryBound, vms int, perSecond, restarts float64, seconds int) *history {
	random := rand.New(rand.NewPCG(1, 2))
	budgets := make([]*cpquota.Budgets, vms)
	for i := range budgets {
		budgets[i] = cpquota.NewBudgets(start, bound)
	}
	h := &history{}
	due := 0.0
	for now := start; now.Before(start.Add(time.Duration(seconds) * time.Second)); now = now.Add(tenth) {
		requests, extra := 0, 0
		for due += perSecond / 10; due >= 1; due-- {
			budgets[random.IntN(vms)].Earn(now, service, cpquota.Equal(vms))
			requests++
		}
		for i := range budgets {
			for budgets[i].Spend(now, service, 1) {
				extra++
			}
			if random.Float64() < restarts {
				budgets[i] = cpquota.NewBudgets(now, bound)
			}
		}
		h.requests, h.extra = append(h.requests, requests), append(h.extra, extra)
	}
	return h
}

func TestExtraCallsOfAllVMsStayWithinTheBoundInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 100).Draw(t, "VMs")
		bound := cpquota.RetryBound{
			Ratio:  rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			Slack:  rapid.Float64Range(float64(vms+1)/cpquota.RetryShare, 5000).Draw(t, "slack"),
			Window: 10 * time.Second,
		}
		restarts := rapid.SampledFrom([]float64{0, 0.002, 0.1}).Draw(t, "restarts")
		h := spendAll(bound, vms, rapid.Float64Range(0, 500).Draw(t, "requests a second"), restarts, 30)
		assert.Assert(t, h.within(bound))
	})
}

func TestVMsWithFewRequestsUseTheSlack(t *testing.T) {
	bound := cpquota.RetryBound{Ratio: 0.2, Slack: 158, Window: 10 * time.Second}
	const vms, perSecond, seconds = 59, 112, 20
	extra := 0
	for _, n := range spendAll(bound, vms, perSecond, 0, seconds).extra {
		extra += n
	}
	earned := bound.Ratio * cpquota.RetryShare * perSecond * seconds
	assert.Assert(t, float64(extra) > earned+bound.Slack/2, "%d extra calls, of which requests have earned %.0f", extra, earned)
}

func TestABudgetOfManyVMsGrantsWhatRequestsHaveEarned(t *testing.T) {
	b := cpquota.NewBudgets(start, cpquota.RetryBound{Ratio: 0.2, Slack: 52, Window: 10 * time.Second})
	for range 6 {
		b.Earn(start, service, cpquota.Equal(770))
	}
	assert.Assert(t, b.Spend(start, service, 0))
}

func TestACallOfLittleValueIsGrantedToOneOfManyVMs(t *testing.T) {
	b := cpquota.NewBudgets(start, cpquota.RetryBound{Ratio: 0.2, Slack: 158, Window: 10 * time.Second})
	allowed := 0
	for i := range 40 {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		b.Earn(now, service, cpquota.Equal(59))
		if i%10 == 9 && b.Spend(now, service, 0.05) {
			allowed++
		}
	}
	assert.Equal(t, allowed, 4)
}

func TestABudgetKeepsItsCallsWhenTheNumberOfVMsChanges(t *testing.T) {
	b := cpquota.NewBudgets(start, cpquota.RetryBound{Ratio: 0.2, Slack: 158, Window: 10 * time.Second})
	for i := range 12 {
		b.Earn(start, service, cpquota.Equal(58+i%2))
	}
	assert.Assert(t, b.Spend(start, service, 1))
}
