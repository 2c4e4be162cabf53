package cpdrain

import "time"

// Options sets the durations of a drain.
type Options struct {
	// EntryListTTL is how long callers may use an entry list that contains this VM.
	EntryListTTL time.Duration
	// PropagationTime is the maximum time until all other VMs know that this VM is leaving.
	PropagationTime time.Duration
	// MaxDuration is the maximum duration of the drain from the first signal to the end.
	MaxDuration time.Duration
	// AnswerTime is the part of MaxDuration in which the answers to requests that are still in flight are written. Without it they
	// are aborted.
	AnswerTime time.Duration
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

// WithEntryListTTL sets how long callers may use an entry list that contains this VM.
func WithEntryListTTL(d time.Duration) Option {
	return func(o *Options) { o.EntryListTTL = d }
}

// WithPropagationTime sets the maximum time until all other VMs know that this VM is leaving.
func WithPropagationTime(d time.Duration) Option {
	return func(o *Options) { o.PropagationTime = d }
}

// WithMaxDuration sets the maximum duration of the drain from the first signal to the end.
func WithMaxDuration(d time.Duration) Option {
	return func(o *Options) { o.MaxDuration = d }
}

// WithAnswerTime sets the part of the maximum duration in which the answers to requests that are still in flight are written.
func WithAnswerTime(d time.Duration) Option {
	return func(o *Options) { o.AnswerTime = d }
}
