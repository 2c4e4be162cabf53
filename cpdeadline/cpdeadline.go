// Package cpdeadline divides the time of a query: it decides how long shards may wait between retries and when
// the answer is closed. It reads no clock.
package cpdeadline

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Default values of Policy.
const (
	DefaultTailShare  = 0.5
	DefaultReserve    = 20 * time.Millisecond
	DefaultRetryShare = 0.25
)

// maxReserveDivisor limits the reserve to a tenth of the time left until the deadline.
const maxReserveDivisor = 10

// Policy divides the time left until the deadline.
type Policy struct {
	// TailShare is the share of the time left after which PreferTail omits stragglers.
	TailShare float64
	// Reserve is the time between the closing of the answer and the deadline.
	Reserve time.Duration
	// RetryShare is the share of the time left during which a shard may wait between retries.
	RetryShare float64
}

// New returns the default policy.
func New() Policy {
	return Policy{TailShare: DefaultTailShare, Reserve: DefaultReserve, RetryShare: DefaultRetryShare}
}

// Schedule holds the times of one query, relative to its start.
type Schedule struct {
	// Close is when the answer is closed even if shards are outstanding.
	Close time.Duration
	// TailClose is when the answer is closed if the service prefers PreferTail and its coverage is sufficient.
	TailClose time.Duration
	// RetryUntil is when shards stop waiting between retries.
	RetryUntil time.Duration
}

// Schedule returns the schedule of a query from the time left until its deadline.
func (p *Policy) Schedule(left time.Duration) Schedule {
	return Schedule{
		Close:      left - min(p.Reserve, left/maxReserveDivisor),
		TailClose:  time.Duration(float64(left) * p.TailShare),
		RetryUntil: time.Duration(float64(left) * p.RetryShare),
	}
}

// CloseAt returns when the answer is closed. early reports whether it may be closed while shards are outstanding, because
// the query is idempotent and the coverage is sufficient.
func (s *Schedule) CloseAt(prefer clementineport.Preference, early bool) time.Duration {
	if prefer == clementineport.PreferTail && early {
		return min(s.TailClose, s.Close)
	}
	return s.Close
}
