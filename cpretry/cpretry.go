// Package cpretry decides from the fault of a call whether the call may be repeated, what a repetition costs
// and how long it waits.
//
// It chooses no target and sends nothing; whether a shard still needs an answer is for its caller to decide.
package cpretry

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Defaults of Policy.
const (
	DefaultMaxRetries = 8
	DefaultBackoff    = 5 * time.Millisecond
)

// maxBackoffShift bounds how often the delay between retries doubles.
const maxBackoffShift = 6

// Policy bounds the retries of one shard.
type Policy struct {
	// Budget bounds retries that cost load; without one only free ones are made.
	Budget clementineport.Budget
	// MaxRetries bounds the retries of a shard, but for those after a full target refused it.
	MaxRetries int
	// Backoff is the delay before the first retry when every target has been tried; it doubles with each retry.
	Backoff time.Duration
}

// New returns the default policy with a budget.
func New(budget clementineport.Budget) Policy {
	return Policy{Budget: budget, MaxRetries: DefaultMaxRetries, Backoff: DefaultBackoff}
}

// Earn credits ordinary calls to the budget.
func (p *Policy) Earn(calls int) {
	if p.Budget != nil {
		p.Budget.Earn(calls)
	}
}

// Allows reports whether a call that ended with a fault after some retries may be repeated at all.
func (p *Policy) Allows(fault clementineport.Fault, retries uint8) bool {
	if !IsTargetFull(fault) && int(retries) >= p.MaxRetries {
		return false
	}
	switch fault {
	case clementineport.FaultInvalid, clementineport.FaultNotFound, clementineport.FaultUnauthorized,
		clementineport.FaultStale:
		return false
	}
	return true
}

// Spend pays for a retry. A refusal that did no work and shows no overload is free.
func (p *Policy) Spend(fault clementineport.Fault) bool {
	if fault.Verdict() == clementineport.NotRun && !IsOverload(fault) {
		return true
	}
	return p.Budget != nil && p.Budget.Spend()
}

// Delay returns the wait before a retry when every target has been tried, at least what the last refusal asked for.
func (p *Policy) Delay(retries uint8, retryAfter time.Duration) time.Duration {
	return max(p.Backoff<<min(retries, maxBackoffShift), retryAfter)
}

// IsOverload reports whether a fault shows that targets have more work than they can do.
func IsOverload(fault clementineport.Fault) bool {
	return fault == clementineport.FaultShed || fault == clementineport.FaultDeadline
}

// IsTargetFull reports whether a fault is the refusal of a full target.
func IsTargetFull(fault clementineport.Fault) bool { return fault == clementineport.FaultShed }
