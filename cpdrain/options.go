package cpdrain

import "time"

// Options sets the times of a drain.
type Options struct {
	// AdviceLife is how long callers keep an advice that names this VM.
	AdviceLife time.Duration
	// Notice is how long the other VMs may take to learn that this VM is leaving.
	Notice time.Duration
	// Longest bounds the whole drain, from the first signal to the end.
	Longest time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		AdviceLife: 10 * time.Second,
		Notice:     3 * time.Second,
		Longest:    60 * time.Second,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithAdviceLife sets how long callers keep an advice that names this VM.
func WithAdviceLife(d time.Duration) Option {
	return func(o *Options) { o.AdviceLife = d }
}

// WithNotice sets how long the other VMs may take to learn that this VM is leaving.
func WithNotice(d time.Duration) Option {
	return func(o *Options) { o.Notice = d }
}

// WithLongest bounds the whole drain.
func WithLongest(d time.Duration) Option {
	return func(o *Options) { o.Longest = d }
}
