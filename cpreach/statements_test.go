package cpreach_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpreach"
)

// TestTheLatestStatementOfAVMHoldsInAnyOrder delivers statements in a random order, some of them twice.
func TestTheLatestStatementOfAVMHoldsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var said []clementineport.VMReach
		n := rapid.IntRange(1, 8).Draw(t, "n")
		for i := range n {
			said = append(said, clementineport.VMReach{VM: "a", Lost: rapid.Bool().Draw(t, "lost"), Age: time.Duration(n-i) * time.Second})
		}
		last := said[n-1].Lost
		s := cpreach.NewStatements()
		order := append(rapid.Permutation(said).Draw(t, "order"), rapid.SliceOf(rapid.SampledFrom(said)).Draw(t, "again")...)
		for i := range order {
			s.Set(start, &order[i])
		}
		assert.Equal(t, s.Lost()["a"], last)
	})
}

// TestAStatementThatIsLongOnItsWayDoesNotReplaceALaterOne guards against a VM that callers avoid although it reaches targets again, since
// another VM was paused with the message that it does not.
func TestAStatementThatIsLongOnItsWayDoesNotReplaceALaterOne(t *testing.T) {
	self, other := cpreach.NewStatements(), cpreach.NewStatements()
	assert.Assert(t, self.State(start, "a", true))
	lost := self.Since(start, start.Add(-1))[0]
	assert.Assert(t, other.Set(start.Add(time.Second), &lost))
	assert.Assert(t, self.State(start.Add(2*time.Second), "a", false))
	regained := self.Since(start.Add(2*time.Second), start)[0]
	assert.Assert(t, other.Set(start.Add(3*time.Second), &regained))
	assert.Assert(t, !other.Set(start.Add(4*time.Second), &lost))
	assert.Equal(t, len(other.Lost()), 0)
}

// TestAVMThatHasStartedAgainCorrectsWhatItStatedBefore guards against a VM whose statements are ignored, since it counts them anew.
func TestAVMThatHasStartedAgainCorrectsWhatItStatedBefore(t *testing.T) {
	other, self := cpreach.NewStatements(), cpreach.NewStatements()
	for i := range 3 {
		other.Set(start.Add(time.Duration(i)*time.Second), &clementineport.VMReach{VM: "a", Lost: i%2 == 0, Seq: clementineport.StatementSeq(i + 1)})
	}
	now := start.Add(5 * time.Second)
	old := other.Since(now, start.Add(-1))[0]
	assert.Assert(t, self.Set(now, &old), "it differs from what holds")
	assert.Assert(t, self.State(now, "a", false))
	present := self.Since(now, start)[0]
	assert.Assert(t, other.Set(now, &present))
	assert.Equal(t, len(other.Lost()), 0)
}

// TestALossHoldsThatAVMStatesWithoutKnowingWhatItStatedBefore guards against a VM that has started again, has lost its path, and still gets
// callers, since it has not heard of its earlier statements.
func TestALossHoldsThatAVMStatesWithoutKnowingWhatItStatedBefore(t *testing.T) {
	before, other, self := cpreach.NewStatements(), cpreach.NewStatements(), cpreach.NewStatements()
	for i := range 5 {
		before.State(start.Add(time.Duration(i)*time.Second), "a", i%2 == 0)
	}
	before.State(start.Add(5*time.Second), "a", false)
	old := before.Since(start.Add(6*time.Second), start)[0]
	other.Set(start.Add(6*time.Second), &old)
	self.State(start.Add(20*time.Second), "a", true)
	lost := self.Since(start.Add(20*time.Second), start)[0]
	assert.Assert(t, other.Set(start.Add(20*time.Second), &lost))
	assert.Assert(t, other.Lost()["a"])
}

func TestOnlyWhatChangesIsToldOn(t *testing.T) {
	s := cpreach.NewStatements()
	assert.Assert(t, !s.Set(start, &clementineport.VMReach{VM: "a", Age: 2 * time.Second}), "reaching targets is nothing new")
	assert.Assert(t, s.Set(start, &clementineport.VMReach{VM: "a", Lost: true, Age: time.Second}))
	assert.Assert(t, !s.Set(start.Add(time.Second), &clementineport.VMReach{VM: "a", Lost: true}))
	reach := s.Since(start.Add(2*time.Second), start.Add(-1))
	assert.DeepEqual(t, reach, []clementineport.VMReach{{VM: "a", Lost: true, Age: time.Second}})
	assert.Equal(t, len(s.Since(start.Add(2*time.Second), start)), 0)
	s.Forget(func(vm clementineport.VMID) bool { return vm == "a" })
	assert.Equal(t, len(s.Lost()), 0)
}
