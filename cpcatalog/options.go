package cpcatalog

import "time"

// Defaults of Options.
const (
	// DefaultOutageAfter is longer than the time between two confirmations while nothing changes, and shorter than the
	// lease of a registration.
	DefaultOutageAfter = 2700 * time.Millisecond
	// DefaultExpiryGrace is slightly longer than the time of about two seconds within which, as the platform guarantees,
	// live targets register again after a store outage.
	DefaultExpiryGrace = 2300 * time.Millisecond
	// DefaultAssumedColdTime covers two registrations of a target and their delay on the way to this VM.
	DefaultAssumedColdTime = 3500 * time.Millisecond
)

// Options are the settings of a Catalog.
type Options struct {
	// OutageAfter is the time without confirmation from which a gap counts as a store outage.
	OutageAfter time.Duration
	// ExpiryGrace is how long targets whose registrations are gone are kept after a store outage.
	ExpiryGrace time.Duration
	// AssumedColdTime is how long the targets of a failure domain are treated as cold after it returned to service.
	AssumedColdTime time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{OutageAfter: DefaultOutageAfter, ExpiryGrace: DefaultExpiryGrace, AssumedColdTime: DefaultAssumedColdTime}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithOutageAfter sets the time without confirmation from which a gap counts as a store outage.
func WithOutageAfter(d time.Duration) Option { return func(o *Options) { o.OutageAfter = d } }

// WithExpiryGrace sets how long targets whose registrations are gone are kept after a store outage.
func WithExpiryGrace(d time.Duration) Option { return func(o *Options) { o.ExpiryGrace = d } }

// WithAssumedColdTime sets how long the targets of a failure domain are treated as cold after it returned to service.
func WithAssumedColdTime(d time.Duration) Option { return func(o *Options) { o.AssumedColdTime = d } }
