// Package cpdeadline decides how the time of one query is spent: until when shards wait between retries, and
// when its answer is closed. It reads no clock and knows no shard.
package cpdeadline

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Defaults of Policy.
const (
	DefaultTailShare  = 0.5
	DefaultReserve    = 20 * time.Millisecond
	DefaultRetryShare = 0.25
)

// reserveShare is the part of the deadline that the reserve may take at most, as a divisor.
const reserveShare = 10

// Policy divides the time until the deadline.
type Policy struct {
	// TailShare is the share of the deadline after which PreferTail leaves out stragglers.
	TailShare float64
	// Reserve is the time before the deadline at which the answer is closed.
	Reserve time.Duration
	// RetryShare is the share of the deadline in which a shard waits between retries.
	RetryShare float64
}

// New returns the default policy.
func New() Policy {
	return Policy{TailShare: DefaultTailShare, Reserve: DefaultReserve, RetryShare: DefaultRetryShare}
}

// Schedule are the times of one query, counted from its start.
type Schedule struct {
	// Close is when the answer is closed whatever is outstanding.
	Close time.Duration
	// TailClose is when it is closed if the service prefers the tail and enough is covered.
	TailClose time.Duration
	// RetryUntil is when the query stops to wait between retries.
	RetryUntil time.Duration
}

// Schedule returns the times of a query with the time left until its deadline.
func (p *Policy) Schedule(left time.Duration) Schedule {
	return Schedule{
		Close:      left - min(p.Reserve, left/reserveShare),
		TailClose:  time.Duration(float64(left) * p.TailShare),
		RetryUntil: time.Duration(float64(left) * p.RetryShare),
	}
}

// CloseAt returns when the answer is closed; early says that the query may be closed before all is known, since
// it is idempotent and enough is covered.
func (t *Schedule) CloseAt(prefer clementineport.Preference, early bool) time.Duration {
	if prefer == clementineport.PreferTail && early {
		return min(t.TailClose, t.Close)
	}
	return t.Close
}
