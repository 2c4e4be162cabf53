package cpfanout

import (
	"math/rand/v2"
	"time"
)

// Defaults of Options.
const (
	// DefaultRecheckDelay is about the duration of one call, after which a target may have become free.
	DefaultRecheckDelay = 8 * time.Millisecond
	// DefaultDeferThreshold leaves a margin for calls that take longer than expected.
	DefaultDeferThreshold = 0.6
	// DefaultDeferRecheckDelay is about the time in which the queue of a target changes.
	DefaultDeferRecheckDelay = 15 * time.Millisecond
	// DefaultBudgetRecheckDelay is about the time in which other requests to a busy service earn an extra call.
	DefaultBudgetRecheckDelay = 15 * time.Millisecond
	// DefaultRefusalDelay exceeds the time that a target in the same region takes to refuse a call.
	DefaultRefusalDelay = 4 * time.Millisecond
	// DefaultRefusalBackoff lets an overloaded target complete some of its work.
	DefaultRefusalBackoff = 10 * time.Millisecond
	// DefaultMaxBudgetDenials times DefaultBudgetRecheckDelay is about the time in which a busy service earns an extra
	// call.
	DefaultMaxBudgetDenials = 4
	// DefaultMaxSends bounds the calls to a shard whose targets refuse them or cannot be reached.
	DefaultMaxSends = 8
)

// Options are the settings of a Fanout.
type Options struct {
	// RecheckDelay is the delay before another attempt to choose a target.
	RecheckDelay time.Duration
	// DeferThreshold is a share of the time left until the objective. A shard whose expected latency exceeds it may be
	// deferred.
	DeferThreshold float64
	// DeferRecheckDelay is the delay before a deferred shard is considered again.
	DeferRecheckDelay time.Duration
	// BudgetRecheckDelay is the delay before an extra call that the budget denied is tried again.
	BudgetRecheckDelay time.Duration
	// RefusalDelay is the delay before a shard of a gather is retried after its first refusal.
	RefusalDelay time.Duration
	// RefusalBackoff is the delay before a shard is retried after its second refusal; it grows by the same amount with
	// each further one.
	RefusalBackoff time.Duration
	// MaxBudgetDenials bounds how often an extra call that the budget denied is tried again.
	MaxBudgetDenials int
	// MaxSends bounds the calls to one shard.
	MaxSends int
	// Random returns uniformly distributed random numbers in [0, 1).
	Random func() float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		RecheckDelay: DefaultRecheckDelay, DeferThreshold: DefaultDeferThreshold, DeferRecheckDelay: DefaultDeferRecheckDelay,
		BudgetRecheckDelay: DefaultBudgetRecheckDelay, RefusalDelay: DefaultRefusalDelay, RefusalBackoff: DefaultRefusalBackoff,
		MaxBudgetDenials: DefaultMaxBudgetDenials, MaxSends: DefaultMaxSends, Random: rand.Float64,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithMaxSends bounds the calls to one shard.
func WithMaxSends(n int) Option { return func(o *Options) { o.MaxSends = n } }

// WithDeferThreshold sets the share of the time left until the objective above which a shard with that expected latency
// may be deferred.
func WithDeferThreshold(share float64) Option { return func(o *Options) { o.DeferThreshold = share } }

// WithRandom sets the random source. It returns uniformly distributed numbers in [0, 1).
func WithRandom(f func() float64) Option { return func(o *Options) { o.Random = f } }

// WithRefusalDelay sets the delay before a shard of a gather is retried after its first refusal.
func WithRefusalDelay(d time.Duration) Option { return func(o *Options) { o.RefusalDelay = d } }
