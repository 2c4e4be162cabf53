package cpconnshare_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cpconnshare"
)

func TestTwoOwnersAndTwoStandbysStayWithinTheLimit(t *testing.T) {
	for limit := 6; limit <= 1000; limit++ {
		owner, standby := cpconnshare.Connections(limit, cpconnshare.Owner), cpconnshare.Connections(limit, cpconnshare.Standby)
		assert.Assert(t, owner >= 1 && standby >= 1)
		assert.Assert(t, 2*owner+2*standby <= limit, "limit %d: owner %d, standby %d", limit, owner, standby)
		assert.Equal(t, cpconnshare.Connections(limit, cpconnshare.Other), 0)
	}
}
