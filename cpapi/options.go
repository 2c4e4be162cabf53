package cpapi

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
)

// MaxRequestIDBytes is the maximum length of a request id.
const MaxRequestIDBytes = 128

// Defaults of Options.
const (
	defaultMaxBodyBytes  = 64 << 10
	defaultMaxInProgress = 4096
	defaultMaxLimit      = 1000 // hits
	defaultMaxDeadline   = time.Minute
	defaultRetryAfter    = 100 * time.Millisecond
)

// Options are the settings of the caller API.
type Options struct {
	Clock         clementineport.Clock
	MaxBodyBytes  int64
	MaxInProgress int
	MaxLimit      int
	MaxDeadline   time.Duration
	RetryAfter    time.Duration
	AllowPolicy   bool
	ExtractTrace  func(ctx context.Context, traceparent string) context.Context
}

// Option changes Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithMaxBodyBytes limits the size of the body of a query.
func WithMaxBodyBytes(n int64) Option { return func(o *Options) { o.MaxBodyBytes = n } }

// WithMaxInProgress limits the number of queries in progress.
func WithMaxInProgress(n int) Option { return func(o *Options) { o.MaxInProgress = n } }

// WithAllowPolicy sets whether callers may select the policy of a query, for comparisons.
func WithAllowPolicy(allow bool) Option { return func(o *Options) { o.AllowPolicy = allow } }

// WithTraceExtractor sets the function that adds the trace context of a Traceparent header to a context.
func WithTraceExtractor(f func(ctx context.Context, traceparent string) context.Context) Option {
	return func(o *Options) { o.ExtractTrace = f }
}

func newOptions(opts []Option) Options {
	o := Options{
		MaxBodyBytes:  defaultMaxBodyBytes,
		MaxInProgress: defaultMaxInProgress,
		MaxLimit:      defaultMaxLimit,
		MaxDeadline:   defaultMaxDeadline,
		RetryAfter:    defaultRetryAfter,
		ExtractTrace:  func(ctx context.Context, _ string) context.Context { return ctx },
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
