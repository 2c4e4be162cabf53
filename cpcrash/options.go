package cpcrash

import "time"

// MaxCrashes is the number of crashed targets after which a request is not sent to targets any more.
const MaxCrashes = 3

// Defaults of Options.
const (
	// DefaultRetention is how long a request is remembered after the latest crash.
	DefaultRetention = 10 * time.Minute
	// DefaultMaxRequests bounds the memory and the messages that reports take.
	DefaultMaxRequests = 256
)

// Options are the settings of a Tracker.
type Options struct {
	// Retention is how long a report is kept.
	Retention time.Duration
	// MaxRequests is the number of requests that are remembered.
	MaxRequests int
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{Retention: DefaultRetention, MaxRequests: DefaultMaxRequests}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithRetention sets how long a report is kept.
func WithRetention(d time.Duration) Option { return func(o *Options) { o.Retention = d } }

// WithMaxRequests sets the number of requests that are remembered.
func WithMaxRequests(n int) Option { return func(o *Options) { o.MaxRequests = n } }
