package cppick

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Options are the settings of a Picker.
type Options struct {
	Seed uint64
	// HedgeMin and HedgeMax bound the time after which a call is a straggler.
	HedgeMin time.Duration
	HedgeMax time.Duration
	// HedgeDefault is the time after which a call is a straggler while no latency is known.
	HedgeDefault time.Duration
	// HedgeQuantile is the quantile of the latency after which a call is a straggler.
	HedgeQuantile float64
	// EjectAfter is the number of consecutive failures after which a target is ejected; zero disables this.
	EjectAfter int
	// MaxEjectedShare is the maximum share of a group that may be ejected at the same time.
	MaxEjectedShare float64
	// BackoffMin and BackoffMax bound the time before an ejected target gets a trial call.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// SlowFactor is the ratio of the latency of a target to that of its group above which the target is ejected as slow;
	// zero disables this.
	SlowFactor float64
	// SlowMargin is the minimum difference from the latency of its group for a target to be ejected as slow.
	SlowMargin time.Duration
	// SlowBackoff is the time before a slow target gets a trial call.
	SlowBackoff time.Duration
	// DrainRecheckInterval is the time between trial calls to a draining target.
	DrainRecheckInterval time.Duration
	// WarmupCalls is the number of answers after which a restarted target is no longer considered cold, and after which
	// the measured latency of a target is used.
	WarmupCalls int
	// WarmupInterval is the time between the calls for which an idle cold target in the home failure domain is preferred.
	// In other failure domains it is multiplied by RemoteFactor.
	WarmupInterval time.Duration
	RemoteFactor   int
	// GroupSampleInterval is the minimum time between two answers of one target that are sampled for its group.
	GroupSampleInterval time.Duration
	// SnapshotRecheckInterval is the time after which a target that did not hold a snapshot may get a call for it again.
	SnapshotRecheckInterval time.Duration
	// LoadMaxAge is how long a reported load is valid, as a multiple of the median latency of the group.
	LoadMaxAge float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the default options changed by opts.
func NewOptions(opts ...Option) Options {
	o := Options{
		Seed:                    1,
		HedgeMin:                2 * time.Millisecond,
		HedgeMax:                time.Second,
		HedgeDefault:            50 * time.Millisecond,
		HedgeQuantile:           0.95,
		EjectAfter:              3,
		MaxEjectedShare:         0.5,
		BackoffMin:              250 * time.Millisecond,
		BackoffMax:              10 * time.Second,
		SlowFactor:              3,
		SlowMargin:              5 * time.Millisecond,
		SlowBackoff:             2 * time.Second,
		DrainRecheckInterval:    30 * time.Second,
		WarmupCalls:             8,
		WarmupInterval:          50 * time.Millisecond,
		RemoteFactor:            8,
		GroupSampleInterval:     20 * time.Millisecond,
		SnapshotRecheckInterval: 5 * time.Second,
		LoadMaxAge:              2,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// Seed sets the seed of the random source and of the tie-breaking order.
func Seed(n uint64) Option { return func(o *Options) { o.Seed = n } }

// Hedge sets the bounds of the time after which a call is a straggler.
func Hedge(minimum, maximum time.Duration) Option {
	return func(o *Options) { o.HedgeMin, o.HedgeMax = minimum, maximum }
}

// Eject sets the number of consecutive failures after which a target is ejected, and the maximum share of a group that
// may be ejected at the same time.
func Eject(after int, share float64) Option {
	return func(o *Options) { o.EjectAfter, o.MaxEjectedShare = after, share }
}

// EjectSlow sets the ratio of the latency of a target to that of its group above which the target is ejected as slow.
func EjectSlow(factor float64) Option { return func(o *Options) { o.SlowFactor = factor } }

var _ clementineport.Picker = (*Picker)(nil)
