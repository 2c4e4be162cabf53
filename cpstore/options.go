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

// Options are the settings of a Store.
type Options struct {
	Clock         clementineport.Clock
	MaxValueBytes int
	// WritesPerSecond bounds compare-and-swaps and leases; zero means no bound.
	WritesPerSecond int
	// ReadsPerSecond bounds gets and watches; zero means no bound.
	ReadsPerSecond int
	// Lag is how far the directory's list is behind.
	Lag time.Duration
}

// Option changes Options.
type Option func(*Options)

// WithClock sets the clock.
func WithClock(clock clementineport.Clock) Option { return func(o *Options) { o.Clock = clock } }

// WithRateLimits bounds the writes and reads a second; zero means no bound.
func WithRateLimits(writes, reads int) Option {
	return func(o *Options) { o.WritesPerSecond, o.ReadsPerSecond = writes, reads }
}

// WithMaxValueBytes bounds the size of a value.
func WithMaxValueBytes(n int) Option { return func(o *Options) { o.MaxValueBytes = n } }

// WithLag sets how far the directory's list is behind.
func WithLag(lag time.Duration) Option { return func(o *Options) { o.Lag = lag } }

func newOptions(opts []Option) Options {
	o := Options{Clock: clockwork.NewRealClock(), MaxValueBytes: DefaultMaxValueBytes}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
