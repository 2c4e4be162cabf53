package cpquota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport/cpquota"
)

func TestConnectionsOfAllVMsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 100).Draw(t, "VMs")
		limit := rapid.IntRange(n+1, 500).Draw(t, "limit")
		assert.Assert(t, (n+1)*cpquota.ConnectionLimit(limit, n) <= limit)
	})
}

func TestAVMThatIsNoLongerSeenCountsForAWhile(t *testing.T) {
	var v cpquota.VMCount
	now := time.Unix(0, 0)
	assert.Equal(t, v.Observe(now, 6), 6)
	assert.Equal(t, v.Observe(now.Add(time.Second), 1), 6)
	assert.Equal(t, v.Observe(now.Add(10*time.Second), 2), 6)
	assert.Equal(t, v.Observe(now.Add(25*time.Second), 2), 2)
	assert.Equal(t, v.Observe(now.Add(26*time.Second), 8), 8)
}

func TestTwoOwnersOfAColdTargetStayWithinItsRequestRate(t *testing.T) {
	interval := cpquota.ColdInterval(5)
	inOneSecond := 1 + int(time.Second/interval)
	assert.Assert(t, 2*(inOneSecond-1) <= 5)
	assert.Assert(t, cpquota.ColdInterval(0) > time.Hour)
}
