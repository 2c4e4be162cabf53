package cpadmit

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
)

// Default values of Options.
const (
	DefaultMinLimit        = 16   // queries
	DefaultInitialLimit    = 32   // queries
	DefaultMaxLimit        = 8192 // queries
	DefaultQueueDelayShare = 0.25 // of the latency without queueing delay
	DefaultMinQueueDelay   = 10 * time.Millisecond
	DefaultMaxWaitShare    = 0.1 // of the time left
	DefaultMinRetryAfter   = 100 * time.Millisecond
	DefaultMaxRetryAfter   = 4 * time.Second
)

// Options are the settings of a Gate and an Admitter.
type Options struct {
	// MinLimit and MaxLimit bound the limit on queries in progress; InitialLimit is its first value.
	MinLimit     int
	InitialLimit int
	MaxLimit     int
	// QueueDelayShare is the queueing delay above which the limit decreases, as a share of the latency without it.
	// A queueing delay of up to MinQueueDelay is always allowed.
	QueueDelayShare float64
	MinQueueDelay   time.Duration
	// ClassQueueDelayShare is the share of the allowed queueing delay that applies when the class is the lowest that waits.
	ClassQueueDelayShare [clementineport.NumClasses]float64
	// MaxWaitShare is the share of its time left that a query may wait in the queue.
	MaxWaitShare float64
	// ClassShare is the share of the limit that each class may use.
	ClassShare [clementineport.NumClasses]float64
	// ClassMinShare is the minimum share of starts that each class gets while it has queries waiting.
	ClassMinShare [clementineport.NumClasses]float64
	// MinRetryAfter and MaxRetryAfter bound the time after which a refused caller may retry.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
	// Unlimited admits every query immediately. It is the baseline in benchmarks.
	Unlimited bool
	// Seed is the seed of the jitter.
	Seed  uint64
	Clock clementineport.Clock
	// Metrics is the set in which the metrics are registered.
	Metrics *metrics.Set
	// OnOverload is called when an Admitter begins to refuse queries, and with the first query after it has refused none for 5 s.
	// It must not block, nor call the Admitter, whose lock is held.
	OnOverload func(overloaded bool)
}

// Option changes Options.
type Option func(*Options)

// WithLimits sets the bounds and the initial value of the limit on queries in progress.
func WithLimits(minLimit, initial, maxLimit int) Option {
	return func(o *Options) { o.MinLimit, o.InitialLimit, o.MaxLimit = minLimit, initial, maxLimit }
}

// WithQueueDelay sets the queueing delay above which the limit decreases, as a share of the latency without it, and the
// queueing delay that is always allowed.
func WithQueueDelay(share float64, minDelay time.Duration) Option {
	return func(o *Options) { o.QueueDelayShare, o.MinQueueDelay = share, minDelay }
}

// WithMaxWaitShare sets the share of its time left that a query may wait in the queue.
func WithMaxWaitShare(share float64) Option {
	return func(o *Options) { o.MaxWaitShare = share }
}

// WithoutLimit admits every query immediately.
func WithoutLimit() Option {
	return func(o *Options) { o.Unlimited = true }
}

// WithSeed sets the seed of the jitter.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}

// WithClock sets the source of time and timers.
func WithClock(c clementineport.Clock) Option {
	return func(o *Options) { o.Clock = c }
}

// WithMetrics sets the set in which the metrics are registered.
func WithMetrics(s *metrics.Set) Option {
	return func(o *Options) { o.Metrics = s }
}

// WithOnOverload sets the function that is called when queries begin or cease to be refused.
func WithOnOverload(f func(overloaded bool)) Option {
	return func(o *Options) { o.OnOverload = f }
}

// NewOptions returns the default options changed by opts.
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
		OnOverload:      func(bool) {},
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
