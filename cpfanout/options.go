package cpfanout

import (
	"math/rand/v2"
	"time"
)

// Defaults of Options.
const (
	// DefaultRecheck is about the time in which a call to a target ends.
	DefaultRecheck = 8 * time.Millisecond
	// DefaultTimelyShare leaves room for calls that take longer than expected.
	DefaultTimelyShare = 0.6
	// DefaultHoldRecheck is about the time in which the queue of a target changes.
	DefaultHoldRecheck = 15 * time.Millisecond
	// DefaultBudgetRecheck is about the time in which other requests of a busy service earn an extra call.
	DefaultBudgetRecheck = 15 * time.Millisecond
	// DefaultSettleDelay is above the time in which a target in the region refuses a call.
	DefaultSettleDelay = 4 * time.Millisecond
	// DefaultRefusalDelay lets a full target finish some of its work.
	DefaultRefusalDelay = 10 * time.Millisecond
	// DefaultMaxDenials times the delay before is about the time in which a busy service earns an extra call.
	DefaultMaxDenials = 4
	// DefaultMaxSends bounds the calls of a shard to targets that refuse or cannot be reached.
	DefaultMaxSends = 8
)

// Options are the settings of a Fan.
type Options struct {
	// Recheck is the delay after which a target is looked for again.
	Recheck time.Duration
	// TimelyShare is the share of the time to the objective in which a target must be expected to answer to be asked
	// for a shard that can be left out.
	TimelyShare float64
	// HoldRecheck is the delay after which it is decided again whether a shard is left out.
	HoldRecheck time.Duration
	// BudgetRecheck is the delay after which an extra call that the budget did not allow is tried again.
	BudgetRecheck time.Duration
	// SettleDelay is the delay before a shard of a gather is asked again after its first refusal.
	SettleDelay time.Duration
	// RefusalDelay is the delay before a shard is asked again after its second refusal, and grows with each.
	RefusalDelay time.Duration
	// MaxDenials bounds how often an extra call that the budget did not allow is tried again.
	MaxDenials int
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
		Recheck: DefaultRecheck, TimelyShare: DefaultTimelyShare, HoldRecheck: DefaultHoldRecheck, BudgetRecheck: DefaultBudgetRecheck, SettleDelay: DefaultSettleDelay,
		RefusalDelay: DefaultRefusalDelay,
		MaxDenials:   DefaultMaxDenials, MaxSends: DefaultMaxSends, Random: rand.Float64,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithMaxSends bounds the calls of a shard.
func WithMaxSends(n int) Option { return func(o *Options) { o.MaxSends = n } }

// WithTimelyShare sets the share of the time to the objective in which a target must be expected to answer to be asked
// for a shard that can be left out.
func WithTimelyShare(share float64) Option { return func(o *Options) { o.TimelyShare = share } }

// WithRandom sets the source of chance: numbers from 0 up to 1, spread evenly.
func WithRandom(f func() float64) Option { return func(o *Options) { o.Random = f } }

// WithSettleDelay sets the delay before a shard of a gather is asked again after its first refusal.
func WithSettleDelay(d time.Duration) Option { return func(o *Options) { o.SettleDelay = d } }
