package cpstore

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
)

// Limits of the platform's store.
const (
	DefaultMaxValueBytes   = 1_000_000
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
)

// Options are the settings of a Store or a Directory.
type Options struct {
	Clock         clementineport.Clock
	MaxValueBytes int
	// WritesPerSecond limits compare-and-swaps and lease acquisitions; zero means no limit.
	WritesPerSecond int
	// ReadsPerSecond limits gets, watches and lists; zero means no limit.
	ReadsPerSecond int
	// Lag is the delay after which a change of the directory becomes visible.
	Lag time.Duration
}

// Option changes Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(clock clementineport.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithRateLimits limits the writes and reads per second; zero means no limit.
func WithRateLimits(writes, reads int) Option {
	return func(o *Options) { o.WritesPerSecond, o.ReadsPerSecond = writes, reads }
}

// WithMaxValueBytes sets the maximum size of a value.
func WithMaxValueBytes(n int) Option { return func(o *Options) { o.MaxValueBytes = n } }

// WithLag sets the delay after which a change of the directory becomes visible.
func WithLag(lag time.Duration) Option { return func(o *Options) { o.Lag = lag } }

func newOptions(opts []Option) Options {
	o := Options{Clock: clockwork.NewRealClock(), MaxValueBytes: DefaultMaxValueBytes}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
