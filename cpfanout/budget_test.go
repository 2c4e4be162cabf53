package cpfanout_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfanout"
)

// refuse refuses calls at intervals of one millisecond and returns the time of the last refusal.
func refuse(fan *cpfanout.Fanout, sends []cpfanout.Send) (ms int) {
	for i, s := range sends {
		ms = 1 + i
		fan.Done(at(ms), failed(s, clementineport.FaultShed))
	}
	return ms
}

func TestRefusedShardsWaitForTheOthersBeforeTheySpendBudget(t *testing.T) {
	fleet := newFleet(10)
	fan := cpfanout.New(gatherPlan(10, 1), fleet)
	ms := refuse(fan, begin(fan)[:3])
	assert.Equal(t, len(fleet.values), 0)
	for ; len(fleet.values) == 0; ms++ {
		fan.Tick(at(ms))
	}
	assert.Assert(t, fleet.values[0] < 0.34, "value of the first of three calls that the answer needs: %v", fleet.values[0])
}

func TestAGatherWithoutBudgetFailsAtOnceWhileItsCallerCanRetry(t *testing.T) {
	fleet := newFleet(10)
	fleet.budget = 0
	fan := cpfanout.New(gatherPlan(10, 0.9), fleet)
	ms := refuse(fan, begin(fan)[:2])
	for ; !fan.Ended(); ms++ {
		fan.Tick(at(ms))
	}
	assert.Assert(t, ms < 10, "the gather ended after %d ms", ms)
}

func TestAGatherWithoutBudgetTriesAgainWhenItsCallerWillNotRetry(t *testing.T) {
	fleet := newFleet(10)
	fleet.budget = 0
	plan := gatherPlan(10, 0.9)
	plan.FinalAttempt = true
	fan := cpfanout.New(plan, fleet)
	ms := refuse(fan, begin(fan)[:2])
	for ; ms < 30; ms++ {
		fan.Tick(at(ms))
	}
	assert.Assert(t, !fan.Ended())
	fleet.budget = 2
	var retries []cpfanout.Send
	for ; ms < 60; ms++ {
		retries = append(retries, fan.Tick(at(ms))...)
	}
	assert.Equal(t, len(retries), 2)
}

func TestASingleRequestThatWasRefusedIsSentAgainAtOnce(t *testing.T) {
	fan := cpfanout.New(singlePlan(false), newFleet(1))
	sends := begin(fan)
	assert.Equal(t, len(fan.Done(at(1), failed(sends[0], clementineport.FaultShed))), 1)
}

func TestAnExtraCallIsWorthMuchWhenFurtherShardsAreOverdueToo(t *testing.T) {
	fleet := newFleet(10)
	fleet.budget = 0
	fan := cpfanout.New(gatherPlan(10, 0.9), fleet)
	for _, s := range begin(fan)[2:] {
		fan.Done(at(10), answered(s))
	}
	fan.Tick(at(20))
	assert.Assert(t, fleet.values[0] > 0.8, "value of a call when one of two overdue shards is needed: %v", fleet.values[0])
}
