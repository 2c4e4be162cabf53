package cpfanout

import (
	"math/rand/v2"
	"time"
)

// Defaults of Options.
const (
	// DefaultRecheckDelay is about the time in which a call to a target ends.
	DefaultRecheckDelay = 8 * time.Millisecond
	// DefaultDeferThreshold leaves room for calls that take longer than expected.
	DefaultDeferThreshold = 0.6
	// DefaultDeferRecheckDelay is about the time in which the queue of a target changes.
	DefaultDeferRecheckDelay = 15 * time.Millisecond
	// DefaultBudgetRecheckDelay is about the time in which other requests of a busy service earn an extra call.
	DefaultBudgetRecheckDelay = 15 * time.Millisecond
	// DefaultRefusalDelay is above the time in which a target in the region refuses a call.
	DefaultRefusalDelay = 4 * time.Millisecond
	// DefaultRefusalBackoff lets a full target finish some of its work.
	DefaultRefusalBackoff = 10 * time.Millisecond
	// DefaultMaxBudgetDenials times the delay before is about the time in which a busy service earns an extra call.
	DefaultMaxBudgetDenials = 4
	// DefaultMaxSends bounds the calls of a shard to targets that refuse or cannot be reached.
	DefaultMaxSends = 8
)

// Options are the settings of a Fan.
type Options struct {
	// RecheckDelay is the delay after which a target is looked for again.
	RecheckDelay time.Duration
	// DeferThreshold is the share of the time to the objective in which a target must be expected to answer to be asked
	// for a shard that can be left out.
	DeferThreshold float64
	// DeferRecheckDelay is the delay after which it is decided again whether a shard is left out.
	DeferRecheckDelay time.Duration
	// BudgetRecheckDelay is the delay after which an extra call that the budget did not allow is tried again.
	BudgetRecheckDelay time.Duration
	// RefusalDelay is the delay before a shard of a gather is asked again after its first refusal.
	RefusalDelay time.Duration
	// RefusalBackoff is the delay before a shard is asked again after its second refusal, and grows with each.
	RefusalBackoff time.Duration
	// MaxBudgetDenials bounds how often an extra call that the budget did not allow is tried again.
	MaxBudgetDenials int
	// MaxSends bounds the calls of a shard.
	MaxSends int
	// Random is the source of chance: numbers from 0 up to 1, spread evenly.
	Random func() float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		RecheckDelay: DefaultRecheckDelay, DeferThreshold: DefaultDeferThreshold, DeferRecheckDelay: DefaultDeferRecheckDelay, BudgetRecheckDelay: DefaultBudgetRecheckDelay, RefusalDelay: DefaultRefusalDelay,
		RefusalBackoff:   DefaultRefusalBackoff,
		MaxBudgetDenials: DefaultMaxBudgetDenials, MaxSends: DefaultMaxSends, Random: rand.Float64,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithMaxSends bounds the calls of a shard.
func WithMaxSends(n int) Option { return func(o *Options) { o.MaxSends = n } }

// WithDeferThreshold sets the share of the time to the objective in which a target must be expected to answer to be asked
// for a shard that can be left out.
func WithDeferThreshold(share float64) Option { return func(o *Options) { o.DeferThreshold = share } }

// WithRandom sets the source of chance: numbers from 0 up to 1, spread evenly.
func WithRandom(f func() float64) Option { return func(o *Options) { o.Random = f } }

// WithRefusalDelay sets the delay before a shard of a gather is asked again after its first refusal.
func WithRefusalDelay(d time.Duration) Option { return func(o *Options) { o.RefusalDelay = d } }
