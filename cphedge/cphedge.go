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
	DefaultTailShare   = 0.03
	DefaultTailFactor  = 1.25
	DefaultEarlyFactor = 2
	DefaultMaxPerShard = 2
	DefaultRetryDelay  = 10 * time.Millisecond
)

// Policy bounds the hedges of one query.
type Policy struct {
	// Budget bounds hedges; without one there are none.
	Budget clementineport.Budget
	// Overloaded reports that the tier or its targets are loaded, so that no hedge is sent.
	Overloaded func() bool
	// TailShare is the share of shards that, once only they are outstanding, hold the query up.
	TailShare float64
	// TailFactor is how many times its usual time a call takes before it is hedged, once few are outstanding.
	TailFactor float64
	// EarlyFactor is the same for a call that is hedged whatever the others do.
	EarlyFactor float64
	// MaxPerShard bounds the hedges of a shard.
	MaxPerShard int
	// RetryDelay is the delay after a hedge that the budget or the load did not allow.
	RetryDelay time.Duration
}

// New returns the default policy with a budget.
func New(budget clementineport.Budget) Policy {
	return Policy{
		Budget: budget, TailShare: DefaultTailShare, TailFactor: DefaultTailFactor, EarlyFactor: DefaultEarlyFactor,
		MaxPerShard: DefaultMaxPerShard, RetryDelay: DefaultRetryDelay,
	}
}

// Earn credits ordinary calls to the budget.
func (p *Policy) Earn(calls int) {
	if p.Budget != nil {
		p.Budget.Earn(calls)
	}
}

// Suppressed reports that no hedge is to be sent for load.
func (p *Policy) Suppressed() bool { return p.Overloaded != nil && p.Overloaded() }

// TailSize returns the number of outstanding shards, of n, at which they are held to delay the query.
func (p *Policy) TailSize(n int) int { return 1 + int(math.Ceil(p.TailShare*float64(n))) }

// Delay returns how long a call may take whose target usually takes usual: shorter when few shards are
// outstanding than while many are.
func (p *Policy) Delay(usual time.Duration, few bool) time.Duration {
	factor := p.EarlyFactor
	if few {
		factor = p.TailFactor
	}
	return time.Duration(factor * float64(usual))
}
