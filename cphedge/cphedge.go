// Package cphedge decides when a call counts as a straggler and whether a second call may be sent beside it.
//
// It chooses no target and sends nothing; it reads no clock and knows one query at a time.
package cphedge

import (
	"math"
	"time"

	"github.com/clementineport/clementineport"
)

// Defaults of Policy.
const (
	DefaultShare           = 0.03
	DefaultFactor          = 1.25
	DefaultProjectedFactor = 2
	DefaultMax             = 2
	DefaultRecheck         = 10 * time.Millisecond
)

// Policy bounds the hedges of one query.
type Policy struct {
	// Budget bounds hedges; without one there are none.
	Budget clementineport.Budget
	// Off reports that the tier or its targets are loaded, so that no hedge is sent.
	Off func() bool
	// Share is the share of shards that, once only they are outstanding, hold the query up.
	Share float64
	// Factor is how many times its usual time a call takes before it is hedged, once few are outstanding.
	Factor float64
	// ProjectedFactor is the same for a call that is hedged whatever the others do.
	ProjectedFactor float64
	// Max bounds the hedges of a shard.
	Max int
	// Recheck is the delay after a hedge that the budget or the load did not allow.
	Recheck time.Duration
}

// New returns the default policy with a budget.
func New(budget clementineport.Budget) Policy {
	return Policy{
		Budget: budget, Share: DefaultShare, Factor: DefaultFactor, ProjectedFactor: DefaultProjectedFactor,
		Max: DefaultMax, Recheck: DefaultRecheck,
	}
}

// Earn credits ordinary calls to the budget.
func (p *Policy) Earn(calls int) {
	if p.Budget != nil {
		p.Budget.Earn(calls)
	}
}

// Loaded reports that no hedge is to be sent for load.
func (p *Policy) Loaded() bool { return p.Off != nil && p.Off() }

// Few returns the number of outstanding shards, of n, at which they are held to delay the query.
func (p *Policy) Few(n int) int { return 1 + int(math.Ceil(p.Share*float64(n))) }

// After returns how long a call may take whose target usually takes usual: shorter when few shards are
// outstanding than while many are.
func (p *Policy) After(usual time.Duration, few bool) time.Duration {
	factor := p.ProjectedFactor
	if few {
		factor = p.Factor
	}
	return time.Duration(factor * float64(usual))
}
