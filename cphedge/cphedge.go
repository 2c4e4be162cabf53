// Package cphedge decides when a call is a straggler and whether it may be hedged with a second call.
//
// It chooses no targets, sends no calls and reads no clock.
package cphedge

import (
	"math"
	"time"

	"github.com/clementineport/clementineport"
)

// Default values of Policy.
const (
	DefaultTailShare   = 0.03
	DefaultTailFactor  = 1.25
	DefaultEarlyFactor = 2
	DefaultMaxPerShard = 2
	DefaultRetryDelay  = 10 * time.Millisecond
)

// Policy decides on the hedges of one query.
type Policy struct {
	// Budget bounds the hedges; without a budget no hedges are sent.
	Budget clementineport.Budget
	// Overloaded reports whether the tier or its targets are overloaded, in which case no hedges are sent.
	Overloaded func() bool
	// TailShare is the share of shards that form the tail: once no more than these are outstanding, they delay the query.
	TailShare float64
	// TailFactor is the delay before a call in the tail is hedged, as a multiple of the HedgeAfter of its target.
	TailFactor float64
	// EarlyFactor is the same multiple for a call while more shards than the tail are outstanding.
	EarlyFactor float64
	// MaxPerShard is the maximum number of hedges of a shard.
	MaxPerShard int
	// RetryDelay is the delay before a hedge is tried again that the budget or an overload did not allow, or that found no
	// target.
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

// Suppressed reports whether hedges are suppressed because of overload.
func (p *Policy) Suppressed() bool { return p.Overloaded != nil && p.Overloaded() }

// TailSize returns the number of shards in the tail of a query with n shards.
func (p *Policy) TailSize(n int) int { return 1 + int(math.Ceil(p.TailShare*float64(n))) }

// Delay returns the delay before a call is hedged. hedgeAfter is the time after which the view of the targets considers
// a call to this target a straggler. The delay is shorter in the tail of the query.
func (p *Policy) Delay(hedgeAfter time.Duration, tail bool) time.Duration {
	factor := p.EarlyFactor
	if tail {
		factor = p.TailFactor
	}
	return time.Duration(factor * float64(hedgeAfter))
}
