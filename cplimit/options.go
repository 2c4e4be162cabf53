package cplimit

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
)

// Options are the settings of a Limiter and of the state machine of each target.
type Options struct {
	Clock clementineport.Clock
	Seed  uint64
	Ramp  RampOptions
	// Handover is how long a new owner keeps to a part of the slots.
	Handover time.Duration
	// HandoverShare is that part; at least one call is allowed.
	HandoverShare float64
	// SharedTime is how long calls of another owner, seen at the target, lower the limit.
	SharedTime time.Duration
	// CancelGrace is how long canceled calls may block a target before one more call is tried, and
	// ColdCancelGrace the same for a cold target.
	CancelGrace     time.Duration
	ColdCancelGrace time.Duration
	// ConfirmAge is the time without an answer after which one call at a time is allowed until the
	// next answer, since the target may have restarted meanwhile.
	ConfirmAge time.Duration
	// DrainRecheck is the time after which one call to a draining target is tried.
	DrainRecheck time.Duration
	// ServiceTime is the service time assumed before one was measured.
	ServiceTime time.Duration
	// MinRetryAfter is the shortest time given with a refusal.
	MinRetryAfter time.Duration
}

// RampOptions are the settings of the ramp of a cold target.
type RampOptions struct {
	// Off allows every slot from the first call.
	Off bool
	// Step is the number of good answers after which one more call at a time is allowed.
	Step int
	// BlindFactor multiplies Step while the time of a warm answer is not known.
	BlindFactor int
	// GoodFactor is how much slower than a warm answer a good answer may be.
	GoodFactor float64
	// JumpFactor is how much slower than a warm answer an answer is that counts as a latency jump.
	JumpFactor float64
	// Window is the number of answers over which a latency jump is judged.
	Window int
	// Burst is the number of refusals or failed connections in a row that make a target cold.
	Burst int
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	o := Options{
		Clock: clockwork.NewRealClock(),
		Seed:  1,
		Ramp: RampOptions{
			Step: 8, BlindFactor: 4, GoodFactor: 1.5, JumpFactor: 4, Window: 8, Burst: 3,
		},
		Handover:        2 * time.Second,
		HandoverShare:   0.5,
		SharedTime:      time.Second,
		CancelGrace:     50 * time.Millisecond,
		ColdCancelGrace: 500 * time.Millisecond,
		ConfirmAge:      100 * time.Millisecond,
		DrainRecheck:    30 * time.Second,
		ServiceTime:     10 * time.Millisecond,
		MinRetryAfter:   10 * time.Millisecond,
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
	return func(o *Options) { o.Handover, o.HandoverShare = d, share }
}

// Ramp sets the ramp of a cold target.
func Ramp(r RampOptions) Option { return func(o *Options) { o.Ramp = r } }
