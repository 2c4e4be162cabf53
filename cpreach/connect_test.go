package cpreach_test

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpreach"
)

// fakeTarget is a target whose connections have one outcome. Methods that are not implemented panic.
type fakeTarget struct {
	clementineport.OpaqueTarget
	err   error
	calls *atomic.Int64
}

// Connect implements clementineport.OpaqueTarget.
func (f *fakeTarget) Connect(context.Context) error {
	f.calls.Add(1)
	return f.err
}

func TestConnectionAttemptsPassOverTargetsWithoutFreeConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accepted := error(nil)
		full, refused := clementineport.Fail(clementineport.FaultUnsent, "full"), clementineport.Fail(clementineport.FaultRefused, "refused")
		errs := rapid.SliceOfN(rapid.SampledFrom([]error{accepted, full, refused, refused}), 0, 8).Draw(t, "errs")
		attempts := rapid.IntRange(1, 4).Draw(t, "attempts")
		var calls atomic.Int64
		var targets []clementineport.OpaqueTarget
		wantReached, wantKnown, wantCalls, failed := false, false, 0, 0
		for _, err := range errs {
			targets = append(targets, &fakeTarget{err: err, calls: &calls})
			if wantReached || failed == attempts {
				continue
			}
			wantCalls++
			switch err {
			case accepted:
				wantReached, wantKnown = true, true
			case refused:
				wantKnown = true
				failed++
			}
		}
		reached, known := cpreach.ConnectAny(context.Background(), targets, attempts, 1)
		assert.Equal(t, reached, wantReached)
		assert.Equal(t, known, wantKnown)
		assert.Equal(t, int(calls.Load()), wantCalls)
	})
}
