package cpshare_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/clementineport/clementineport/cpshare"
)

func TestTwoOwnersAndTwoDeputiesStayWithinTheLimit(t *testing.T) {
	for limit := 6; limit <= 1000; limit++ {
		owner, deputy := cpshare.Connections(limit, cpshare.Owner), cpshare.Connections(limit, cpshare.Deputy)
		assert.Assert(t, owner >= 1 && deputy >= 1)
		assert.Assert(t, 2*owner+2*deputy <= limit, "limit %d: owner %d, deputy %d", limit, owner, deputy)
		assert.Equal(t, cpshare.Connections(limit, cpshare.Other), 0)
	}
}
