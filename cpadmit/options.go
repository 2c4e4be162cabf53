package cpadmit

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
)

// Defaults of admission.
const (
	DefaultMinLimit        = 16   // queries
	DefaultInitialLimit    = 32   // queries
	DefaultMaxLimit        = 8192 // queries
	DefaultQueueDelayShare = 0.25 // of the latency without queueing
	DefaultMinQueueDelay   = 10 * time.Millisecond
	DefaultMaxWaitShare    = 0.1 // of the time left
	DefaultMinRetryAfter   = 100 * time.Millisecond
	DefaultMaxRetryAfter   = 4 * time.Second
)

// Options are the settings of admission.
type Options struct {
	// MinLimit, InitialLimit and MaxLimit bound the queries in progress.
	MinLimit     int
	InitialLimit int
	MaxLimit     int
	// QueueDelayShare is the queueing, as a share of the latency without it, above which the limit falls;
	// MinQueue is the least queueing that is allowed.
	QueueDelayShare float64
	MinQueueDelay   time.Duration
	// ClassQueueDelayShare is the share of the allowed queueing that each class may fill up when no lower class waits.
	ClassQueueDelayShare [clementineport.NumClasses]float64
	// MaxWaitShare is the share of its time left that a query may wait for its start.
	MaxWaitShare float64
	// ClassShare is the share of the limit that each class may use.
	ClassShare [clementineport.NumClasses]float64
	// ClassMinShare is the share of starts that each class gets while it has queries waiting.
	ClassMinShare [clementineport.NumClasses]float64
	// MinRetryAfter and MaxRetryAfter bound the time after which a refused caller may come back.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Unlimited admits every query at once; it is the baseline of comparisons.
	Unlimited bool
	// Seed is the seed of the jitter.
	Seed uint64
	// Clock tells and waits for the time.
	Clock clementineport.Clock
	// Metrics is the set that counters are registered in.
	Metrics *metrics.Set
}

// Option changes one of the Options.
type Option func(*Options)

// WithLimits sets the bounds and the initial value of the limit on queries in progress.
func WithLimits(least, initial, most int) Option {
	return func(o *Options) { o.MinLimit, o.InitialLimit, o.MaxLimit = least, initial, most }
}

// WithQueueDelay sets the queueing above which the limit falls, as a share of the latency without it, and the
// least queueing that is allowed.
func WithQueueDelay(share float64, least time.Duration) Option {
	return func(o *Options) { o.QueueDelayShare, o.MinQueueDelay = share, least }
}

// WithMaxWaitShare sets the share of its time left that a query may wait for its start.
func WithMaxWaitShare(share float64) Option {
	return func(o *Options) { o.MaxWaitShare = share }
}

// WithoutLimit admits every query at once.
func WithoutLimit() Option {
	return func(o *Options) { o.Unlimited = true }
}

// WithSeed sets the seed of the jitter.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option {
	return func(o *Options) { o.Clock = c }
}

// WithMetrics sets the set that counters are registered in.
func WithMetrics(s *metrics.Set) Option {
	return func(o *Options) { o.Metrics = s }
}

// NewOptions returns the defaults with the given changes.
func NewOptions(opts ...Option) Options {
	o := Options{
		MinLimit:        DefaultMinLimit,
		InitialLimit:    DefaultInitialLimit,
		MaxLimit:        DefaultMaxLimit,
		QueueDelayShare: DefaultQueueDelayShare,
		MinQueueDelay:   DefaultMinQueueDelay,
		MaxWaitShare:    DefaultMaxWaitShare,
		MinRetryAfter:   DefaultMinRetryAfter,
		MaxRetryAfter:   DefaultMaxRetryAfter,
		Clock:           clockwork.NewRealClock(),
	}
	o.ClassShare = [...]float64{
		clementineport.ClassInteractive: 1, clementineport.ClassStandard: 0.85, clementineport.ClassBatch: 0.7,
	}
	o.ClassQueueDelayShare = [...]float64{
		clementineport.ClassInteractive: 1, clementineport.ClassStandard: 0.75, clementineport.ClassBatch: 0.5,
	}
	o.ClassMinShare = [...]float64{
		clementineport.ClassInteractive: 0, clementineport.ClassStandard: 0.1, clementineport.ClassBatch: 0.05,
	}
	for _, opt := range opts {
		opt(&o)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	return o
}
