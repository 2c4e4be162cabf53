// Package cpdeadline decides how the time of one query is spent: until when shards wait between retries, and
// when its answer is closed. It reads no clock and knows no shard.
package cpdeadline

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Defaults of Policy.
const (
	DefaultTailCut   = 0.5
	DefaultReserve   = 20 * time.Millisecond
	DefaultWaitShare = 0.25
)

// reserveShare is the part of the deadline that the reserve may take at most, as a divisor.
const reserveShare = 10

// Policy divides the time until the deadline.
type Policy struct {
	// TailCut is the share of the deadline after which PreferTail leaves out stragglers.
	TailCut float64
	// Reserve is the time before the deadline at which the answer is closed.
	Reserve time.Duration
	// WaitShare is the share of the deadline in which a shard waits between retries.
	WaitShare float64
}

// New returns the default policy.
func New() Policy {
	return Policy{TailCut: DefaultTailCut, Reserve: DefaultReserve, WaitShare: DefaultWaitShare}
}

// Times are the times of one query, counted from its start.
type Times struct {
	// Close is when the answer is closed whatever is outstanding.
	Close time.Duration
	// Cut is when it is closed if the service prefers the tail and enough is covered.
	Cut time.Duration
	// Wait is when the query stops to wait between retries.
	Wait time.Duration
}

// Times returns the times of a query with the time left until its deadline.
func (p *Policy) Times(left time.Duration) Times {
	return Times{
		Close: left - min(p.Reserve, left/reserveShare),
		Cut:   time.Duration(float64(left) * p.TailCut),
		Wait:  time.Duration(float64(left) * p.WaitShare),
	}
}

// Closing returns when the answer is closed; early says that the query may be closed before all is known, since
// it is idempotent and enough is covered.
func (t *Times) Closing(prefer clementineport.Preference, early bool) time.Duration {
	if prefer == clementineport.PreferTail && early {
		return min(t.Cut, t.Close)
	}
	return t.Close
}
