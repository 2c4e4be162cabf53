package cpcatalog

import "time"

// Defaults of Options.
const (
	// DefaultAwayAfter is longer than the time between two confirmations in quiet times and shorter than the life of
	// a registration.
	DefaultOutageAfter = 2700 * time.Millisecond
	// DefaultLapseGrace is how soon live targets have registered again after the store is back, by the platform's
	// promise of about two seconds, and a little more.
	DefaultExpiryGrace = 2300 * time.Millisecond
	// DefaultUnprovenTime covers two registrations of a target and the way to this VM.
	DefaultAssumedColdTime = 3500 * time.Millisecond
)

// Options are the settings of a Catalog.
type Options struct {
	// AwayAfter is the time without confirmation after which the store counts as having been away.
	OutageAfter time.Duration
	// LapseGrace is how long after the store is back vanished registrations may come again.
	ExpiryGrace time.Duration
	// UnprovenTime is how long a target that may have turned cold has to say so.
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

// WithAwayAfter sets the time without confirmation after which the store counts as having been away.
func WithOutageAfter(d time.Duration) Option { return func(o *Options) { o.OutageAfter = d } }

// WithLapseGrace sets how long after the store is back vanished registrations may come again.
func WithExpiryGrace(d time.Duration) Option { return func(o *Options) { o.ExpiryGrace = d } }

// WithUnprovenTime sets how long a target that may have turned cold has to say so.
func WithAssumedColdTime(d time.Duration) Option { return func(o *Options) { o.AssumedColdTime = d } }
