package cpentryvm

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpbudget"
	"github.com/clementineport/clementineport/cpentry"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cppick/cprandom"
	"github.com/clementineport/clementineport/cprelay"
	"github.com/clementineport/clementineport/cpview"
)

// baselineHedgeDelay is never reached, since the baseline has no budget for hedges.
const baselineHedgeDelay = time.Hour

// baseline is the policy that the tier is compared with, in which every VM calls every target directly.
type baseline struct {
	policy *cpentry.Baseline
	pool   *cprelay.Pool
}

func newBaseline(n *Node) *baseline {
	b := &baseline{pool: cprelay.NewPool(n.dialTarget)}
	b.policy = cpentry.NewBaseline(
		cprandom.New(n.seed, baselineHedgeDelay),
		cprelay.NewOwner(n.clock, b.pool, cprelay.Unlimited{}, n.control.MaySend),
		cpgather.NewOptions(cpgather.Budgets(nil, cpbudget.Unlimited)),
	)
	return b
}

func (b *baseline) update(v *cpview.View) {
	vms := max(1, len(v.Members))
	b.pool.Update(v.Table, func(t clementineport.TargetIndex) int {
		return max(1, v.Table.Targets[t].Group.Connections/vms)
	})
	b.policy.Update(v.Table)
}
