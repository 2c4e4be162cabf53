package cpdrain

import "time"

// Options sets the times of a drain.
type Options struct {
	// EntryListTTL is how long callers keep an advice that names this VM.
	EntryListTTL time.Duration
	// PropagationTime is how long the other VMs may take to learn that this VM is leaving.
	PropagationTime time.Duration
	// MaxDuration bounds the whole drain, from the first signal to the end.
	MaxDuration time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		EntryListTTL:    10 * time.Second,
		PropagationTime: 3 * time.Second,
		MaxDuration:     60 * time.Second,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithEntryListTTL sets how long callers keep an advice that names this VM.
func WithEntryListTTL(d time.Duration) Option {
	return func(o *Options) { o.EntryListTTL = d }
}

// WithPropagationTime sets how long the other VMs may take to learn that this VM is leaving.
func WithPropagationTime(d time.Duration) Option {
	return func(o *Options) { o.PropagationTime = d }
}

// WithMaxDuration bounds the whole drain.
func WithMaxDuration(d time.Duration) Option {
	return func(o *Options) { o.MaxDuration = d }
}
