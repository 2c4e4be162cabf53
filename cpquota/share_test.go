package cpquota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/clementineport/clementineport/cpquota"
)

// drawSet draws the shares of a number of VMs of which some are in the active set, whose parts add up to one.
func drawSet(t *rapid.T, vms int) []cpquota.Share {
	shares := make([]cpquota.Share, vms)
	active := rapid.IntRange(0, vms).Draw(t, "VMs of the set")
	for i := range shares {
		shares[i] = cpquota.Share{VMs: vms, Set: true}
		if i < active {
			shares[i].Part = 1 / float64(active)
		}
	}
	return shares
}

// Guards against extra calls of all VMs beyond the bound while VMs come into the set and leave it. A new VM of the set
// uses its part ten seconds later, as cpactiveset has it.
func TestExtraCallsStayWithinTheBoundWhileTheSetChanges(t *testing.T) {
	const settle = 100 // tenths of a second
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 100).Draw(t, "VMs")
		bound := cpquota.RetryBound{
			Ratio:  rapid.Float64Range(0, 0.5).Draw(t, "ratio"),
			Slack:  float64(vms+1) / cpquota.RetryShare * rapid.SampledFrom([]float64{1, 1.3, 3, 20}).Draw(t, "slack for each VM"),
			Window: 10 * time.Second,
		}
		budgets := make([]*cpquota.Budgets, vms)
		for i := range budgets {
			budgets[i] = cpquota.NewBudgets(start, bound)
		}
		h := &history{}
		sets := [2][]cpquota.Share{drawSet(t, vms), drawSet(t, vms)}
		change := rapid.IntRange(1, 300).Draw(t, "tenths to a change")
		perTenth := rapid.IntRange(0, 100).Draw(t, "requests in a tenth")
		saving := rapid.IntRange(0, 150).Draw(t, "tenths of twenty seconds without extra calls")
		for n := range 600 {
			now, requests, extra := start.Add(time.Duration(n)*tenth), 0, 0
			for i, b := range budgets {
				before, after := sets[(n/change)%2][i], sets[(n/change+1)%2][i]
				share := before
				if sinceChange := n % change; n >= change && sinceChange < settle && before.Part > after.Part {
					share.Part = after.Part // it is new in the set, or its part has grown
				}
				b.SetShare(now, share)
				if i < perTenth && (n%200 < saving || saving < 50) {
					b.Earn(now, service, share)
					requests++
				}
				for n%200 >= saving && b.Spend(now, service, 1) {
					extra++
				}
			}
			h.requests, h.extra = append(h.requests, requests), append(h.extra, extra)
		}
		assert.Assert(t, h.within(bound))
	})
}

// Guards against a limit that requests of all VMs together exceed, and connections beyond those that a target accepts.
func TestSharesOfTheSetAndOfOthersStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 300).Draw(t, "VMs")
		limit := rapid.IntRange(2*(vms+1), 2000).Draw(t, "limit")
		connections, requests := 0, 0.0
		for _, share := range drawSet(t, vms) {
			connections += share.Connections(limit)
			requests += 1 / float64(share.Senders())
		}
		assert.Assert(t, connections <= limit, "%d of %d connections", connections, limit)
		assert.Assert(t, requests <= 1, "%v of the requests", requests)
	})
}
