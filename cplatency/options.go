package cplatency

import "time"

// Default values of Options.
const (
	// DefaultSpan is long enough for the samples of a busy route, and short enough that a slow phase expires soon.
	DefaultSpan = 5 * time.Second
	// DefaultRefreshSamples limits how often the quantiles are computed.
	DefaultRefreshSamples  = 64
	DefaultTypicalQuantile = 50 // percent
	DefaultHighQuantile    = 92 // percent
)

// Options are the settings of a Window.
type Options struct {
	// Span is the duration of a span, after which a new one starts.
	Span time.Duration
	// RefreshSamples is the number of samples after which the quantiles are recomputed.
	RefreshSamples int
	// TypicalQuantile and HighQuantile are the quantiles of Typical and High, in percent.
	TypicalQuantile float64
	HighQuantile    float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the default options changed by opts.
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

// WithSpan sets the duration of a span.
func WithSpan(d time.Duration) Option { return func(o *Options) { o.Span = d } }

// WithHighQuantile sets the quantile of High, in percent.
func WithHighQuantile(q float64) Option { return func(o *Options) { o.HighQuantile = q } }
