package cplimit

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpslowstart"
)

// Options are the settings of a Limiter and of the state machine of each target.
type Options struct {
	Clock     clementineport.Clock
	Seed      uint64
	SlowStart cpslowstart.Options
	// HandoverTime is how long a new owner keeps to a part of the slots.
	HandoverTime time.Duration
	// HandoverShare is that part; at least one call is allowed.
	HandoverShare float64
	// OtherCallsTTL is how long calls of another owner, seen at the target, lower the limit.
	OtherCallsTTL time.Duration
	// CancelGrace is how long canceled calls may block a target before one more call is tried, and
	// ColdCancelGrace the same for a cold target.
	CancelGrace     time.Duration
	ColdCancelGrace time.Duration
	// MaxResponseAge is the time without an answer after which one call at a time is allowed until the
	// next answer, since the target may have restarted meanwhile.
	MaxResponseAge time.Duration
	// DrainRecheckInterval is the time after which one call to a draining target is tried.
	DrainRecheckInterval time.Duration
	// InitialServiceTime is the service time assumed before one was measured.
	InitialServiceTime time.Duration
	// MinRetryAfter is the shortest time given with a refusal.
	MinRetryAfter time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	o := Options{
		Clock:                clockwork.NewRealClock(),
		Seed:                 1,
		SlowStart:            cpslowstart.NewOptions(),
		HandoverTime:         2 * time.Second,
		HandoverShare:        0.5,
		OtherCallsTTL:        time.Second,
		CancelGrace:          50 * time.Millisecond,
		ColdCancelGrace:      500 * time.Millisecond,
		MaxResponseAge:       100 * time.Millisecond,
		DrainRecheckInterval: 30 * time.Second,
		InitialServiceTime:   10 * time.Millisecond,
		MinRetryAfter:        10 * time.Millisecond,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Clock sets the clock.
func Clock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// Seed sets the seed of the spread of retry times.
func Seed(n uint64) Option { return func(o *Options) { o.Seed = n } }

// Handover sets how long a new owner keeps to which share of the slots.
func Handover(d time.Duration, share float64) Option {
	return func(o *Options) { o.HandoverTime, o.HandoverShare = d, share }
}

// SlowStart sets the ramp of a cold target.
func SlowStart(r cpslowstart.Options) Option { return func(o *Options) { o.SlowStart = r } }
