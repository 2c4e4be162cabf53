package cppick

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Options are the settings of a Picker.
type Options struct {
	Seed uint64
	// HedgeMin and HedgeMax bound the time after which a call counts as a straggler.
	HedgeMin time.Duration
	HedgeMax time.Duration
	// HedgeDefault is used before anything has been measured.
	HedgeDefault time.Duration
	// HedgeQuantile is the share of calls that should end before they count as stragglers.
	HedgeQuantile float64
	// EjectAfter is the number of failures in a row after which a target is ejected; zero means never.
	EjectAfter int
	// MaxEjectedShare is the largest share of a group that may be ejected at once.
	MaxEjectedShare float64
	// BackoffMin and BackoffMax bound the time before an ejected target gets a trial call.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// SlowFactor is how many times slower than its group a target must be to be ejected; zero means never.
	SlowFactor float64
	// SlowMargin is the least difference from the group for which a target is ejected as slow.
	SlowMargin time.Duration
	// SlowBackoff is the time before a slow target gets a trial call.
	SlowBackoff time.Duration
	// DrainRecheckInterval is the time after which a draining target gets a trial call.
	DrainRecheckInterval time.Duration
	// WarmupCalls is the number of answers before a restarted target stops counting as cold, and before
	// what was measured of a target is relied on.
	WarmupCalls int
	// WarmupInterval is the time between calls that go to an idle cold target ahead of others, in the
	// home failure domain; elsewhere it is longer by AwayFactor.
	WarmupInterval time.Duration
	RemoteFactor   int
	// GroupSampleInterval is the least time between two answers of one target that count in its group.
	GroupSampleInterval time.Duration
	// SnapshotRecheckInterval is the time after which a target that did not hold a snapshot may be asked for it again.
	SnapshotRecheckInterval time.Duration
	// LoadMaxAge is how long a reported load counts, in typical times of an answer.
	LoadMaxAge float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
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

// Seed sets the seed of the random choices.
func Seed(n uint64) Option { return func(o *Options) { o.Seed = n } }

// Hedge bounds the time after which a call counts as a straggler.
func Hedge(least, most time.Duration) Option {
	return func(o *Options) { o.HedgeMin, o.HedgeMax = least, most }
}

// Eject sets the failures in a row after which a target is ejected, and the largest share ejected at once.
func Eject(after int, share float64) Option {
	return func(o *Options) { o.EjectAfter, o.MaxEjectedShare = after, share }
}

// EjectSlow sets how many times slower than its group a target must be to be ejected.
func EjectSlow(factor float64) Option { return func(o *Options) { o.SlowFactor = factor } }

var _ clementineport.Picker = (*Picker)(nil)
