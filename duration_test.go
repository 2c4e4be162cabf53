package clementineport_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport"
)

func TestDurationOf(t *testing.T) {
	for _, row := range []struct {
		n    float64
		want time.Duration
	}{
		{1.5, 1500 * time.Millisecond},
		{0, 0},
		{-1, 0},
		{math.NaN(), 0},
		{math.Inf(-1), 0},
		{math.Inf(1), clementineport.MaxDuration},
		{1e300, clementineport.MaxDuration},
	} {
		assert.Equal(t, clementineport.DurationOf(row.n, time.Second), row.want, "%v", row.n)
	}
}
