package clementineport_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
)

func TestFaultVerdicts(t *testing.T) {
	notRun := map[clementineport.Fault]bool{
		clementineport.FaultRefused:      true,
		clementineport.FaultUnsent:       true,
		clementineport.FaultSnapshot:     true,
		clementineport.FaultShed:         true,
		clementineport.FaultDraining:     true,
		clementineport.FaultCold:         true,
		clementineport.FaultDeadline:     true,
		clementineport.FaultNotOwner:     true,
		clementineport.FaultStale:        true,
		clementineport.FaultInvalid:      true,
		clementineport.FaultTakenOut:     true,
		clementineport.FaultUnavailable:  true,
		clementineport.FaultConflict:     true,
		clementineport.FaultUnauthorized: true,
		clementineport.FaultNotFound:     true,
		clementineport.FaultHistory:      true,
		clementineport.FaultMisdirected:  true,
		clementineport.FaultUnreached:    true,
		clementineport.FaultQuota:        true,
	}
	for _, f := range clementineport.Faults() {
		t.Run(f.String(), func(t *testing.T) {
			want := clementineport.MayHaveRun
			if notRun[f] {
				want = clementineport.NotRun
			}
			assert.Equal(t, f.Verdict(), want)
			wrapped := fmt.Errorf("call: %w", clementineport.Fail(f, "reason"))
			assert.Equal(t, clementineport.VerdictOf(wrapped), want)
			var decoded clementineport.Fault
			assert.NilError(t, decoded.UnmarshalText([]byte(f.String())))
			assert.Equal(t, decoded, f)
		})
	}
}

func TestUnknownErrorsMayHaveRun(t *testing.T) {
	assert.Equal(t, clementineport.VerdictOf(errors.New("other")), clementineport.MayHaveRun)
	assert.Equal(t, clementineport.VerdictOf(nil), clementineport.Ran)
	assert.Equal(t, clementineport.Fault(200).Verdict(), clementineport.MayHaveRun)
}

func TestVerdictText(t *testing.T) {
	for _, v := range []clementineport.Verdict{clementineport.MayHaveRun, clementineport.NotRun, clementineport.Ran} {
		text, err := v.MarshalText()
		assert.NilError(t, err)
		var decoded clementineport.Verdict
		assert.NilError(t, decoded.UnmarshalText(text))
		assert.Equal(t, decoded, v)
	}
	var v clementineport.Verdict
	assert.ErrorContains(t, v.UnmarshalText([]byte("maybe")), "unknown verdict")
}
