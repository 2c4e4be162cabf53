package cplatency

import "time"

// Defaults of Options.
const (
	// DefaultSpan holds enough samples of a busy route and forgets a slow phase soon.
	DefaultSpan = 5 * time.Second
	// DefaultRefreshSamples bounds how often quantiles are computed.
	DefaultRefreshSamples  = 64
	DefaultTypicalQuantile = 50 // per cent
	DefaultHighQuantile    = 92 // per cent
)

// Options are the settings of a Window.
type Options struct {
	// Span is how long samples are gathered before a new span begins.
	Span time.Duration
	// RefreshSamples is the number of samples after which the quantiles are computed again.
	RefreshSamples int
	// TypicalQuantile and HighQuantile are the quantiles in per cent.
	TypicalQuantile float64
	HighQuantile    float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Span: DefaultSpan, RefreshSamples: DefaultRefreshSamples,
		TypicalQuantile: DefaultTypicalQuantile, HighQuantile: DefaultHighQuantile,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithSpan sets how long samples are gathered before a new span begins.
func WithSpan(d time.Duration) Option { return func(o *Options) { o.Span = d } }

// WithHighQuantile sets the quantile of High in per cent.
func WithHighQuantile(q float64) Option { return func(o *Options) { o.HighQuantile = q } }
