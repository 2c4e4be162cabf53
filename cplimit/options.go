package cplimit

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpslowstart"
)

// Options are the settings of a Limiter and its TargetLimiters.
type Options struct {
	Clock     clementineport.Clock
	Seed      uint64
	SlowStart cpslowstart.Options
	// HandoverTime is how long a new owner uses only a share of the slots.
	HandoverTime time.Duration
	// HandoverShare is the share of the slots that a new owner uses; at least one call is allowed.
	HandoverShare float64
	// OtherCallsTTL is how long calls of another owner that the target has reported lower the limit.
	OtherCallsTTL time.Duration
	// CancelGrace is the time after which one probe call may start at a target whose slots are all used by calls that have
	// ended here but may still run there.
	// ColdCancelGrace is the same for a cold target.
	CancelGrace     time.Duration
	ColdCancelGrace time.Duration
	// MaxResponseAge is the time without a response after which only one call at a time is allowed until the
	// next response, because the target may have restarted in the meantime.
	MaxResponseAge time.Duration
	// DrainRecheckInterval is how long calls to a draining target are refused before its state is checked again.
	DrainRecheckInterval time.Duration
	// InitialServiceTime is the service time assumed before the first measurement.
	InitialServiceTime time.Duration
	// MinRetryAfter is the minimum RetryAfter of a refusal, before jitter.
	MinRetryAfter time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the default options changed by opts.
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

// Clock sets the source of time and timers.
func Clock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// Seed sets the seed of the jitter of retry times.
func Seed(n uint64) Option { return func(o *Options) { o.Seed = n } }

// Handover sets how long a new owner uses only a share of the slots, and that share.
func Handover(d time.Duration, share float64) Option {
	return func(o *Options) { o.HandoverTime, o.HandoverShare = d, share }
}

// SlowStart sets the slow start of cold targets.
func SlowStart(s cpslowstart.Options) Option { return func(o *Options) { o.SlowStart = s } }
