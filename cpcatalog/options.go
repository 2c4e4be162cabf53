package cpcatalog

import "time"

// Defaults of Options.
const (
	// DefaultAwayAfter is longer than the time between two confirmations in quiet times and shorter than the life of
	// a registration.
	DefaultAwayAfter = 2700 * time.Millisecond
	// DefaultLapseGrace is how soon live targets have registered again after the store is back, by the platform's
	// promise of about two seconds, and a little more.
	DefaultLapseGrace = 2300 * time.Millisecond
	// DefaultUnprovenTime covers two registrations of a target and the way to this VM.
	DefaultUnprovenTime = 3500 * time.Millisecond
)

// Options are the settings of a Catalog.
type Options struct {
	// AwayAfter is the time without confirmation after which the store counts as having been away.
	AwayAfter time.Duration
	// LapseGrace is how long after the store is back vanished registrations may come again.
	LapseGrace time.Duration
	// UnprovenTime is how long a target that may have turned cold has to say so.
	UnprovenTime time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{AwayAfter: DefaultAwayAfter, LapseGrace: DefaultLapseGrace, UnprovenTime: DefaultUnprovenTime}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithAwayAfter sets the time without confirmation after which the store counts as having been away.
func WithAwayAfter(d time.Duration) Option { return func(o *Options) { o.AwayAfter = d } }

// WithLapseGrace sets how long after the store is back vanished registrations may come again.
func WithLapseGrace(d time.Duration) Option { return func(o *Options) { o.LapseGrace = d } }

// WithUnprovenTime sets how long a target that may have turned cold has to say so.
func WithUnprovenTime(d time.Duration) Option { return func(o *Options) { o.UnprovenTime = d } }
