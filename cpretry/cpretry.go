// Package cpretry decides from the fault of a call whether the call may be retried, whether the retry is charged to the
// budget, and after which delay.
//
// It chooses no targets and sends no calls. Whether a shard still needs an answer is decided by its caller.
package cpretry

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Default values of Policy.
const (
	DefaultMaxRetries = 8
	DefaultBackoff    = 5 * time.Millisecond
)

// maxBackoffShift is the maximum number of times that the delay between retries doubles.
const maxBackoffShift = 6

// Policy decides on the retries of one shard.
type Policy struct {
	// Budget bounds the retries that add load; without a budget only free retries are made.
	Budget clementineport.Budget
	// MaxRetries is the maximum number of retries of a shard. Retries after a refusal by a full target are not limited.
	MaxRetries int
	// Backoff is the delay before the first retry once every target has been tried. It doubles with each retry.
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

// Allows reports whether a call that ended with a fault after this number of retries may be retried at all.
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

// Spend charges a retry to the budget and reports whether it may be made. A retry is free if the target did not run the
// call and the fault does not indicate overload.
func (p *Policy) Spend(fault clementineport.Fault) bool {
	if fault.Verdict() == clementineport.NotRun && !IsOverload(fault) {
		return true
	}
	return p.Budget != nil && p.Budget.Spend()
}

// Delay returns the delay before a retry once every target has been tried. It is at least the RetryAfter of the last
// refusal.
func (p *Policy) Delay(retries uint8, retryAfter time.Duration) time.Duration {
	return max(p.Backoff<<min(retries, maxBackoffShift), retryAfter)
}

// IsOverload reports whether a fault indicates that targets are overloaded.
func IsOverload(fault clementineport.Fault) bool {
	return fault == clementineport.FaultShed || fault == clementineport.FaultDeadline
}

// IsTargetFull reports whether a fault is a refusal by a full target.
func IsTargetFull(fault clementineport.Fault) bool { return fault == clementineport.FaultShed }
