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
