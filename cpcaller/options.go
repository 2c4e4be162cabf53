package cpcaller

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfailover"
)

// Rules bound the sends of one request.
type Rules = cpfailover.Policy

// DefaultRules returns the default bounds.
func DefaultRules() Rules { return cpfailover.DefaultPolicy() }

// Defaults of a caller.
const (
	DefaultDeadline       = time.Second
	DefaultExtraShare     = 0.05
	DefaultExtraBurst     = 20 // sends
	DefaultSuspectFor     = 2 * time.Second
	DefaultListTimeout    = time.Second
	DefaultMaxAnswerBytes = 8 << 20
	DefaultIdlePerEntry   = 8  // connections
	DefaultIdle           = 64 // connections
	DefaultIdleTimeout    = 30 * time.Second
)

// Options are the settings of a caller.
type Options struct {
	// Seeds are the addresses to ask when no listed entry answers.
	Seeds []string
	// Domain is the failure domain of the caller.
	Domain clementineport.FailureDomain
	// Deadline is the time given to a query that states no deadline.
	Deadline time.Duration
	// Rules bound the sends of one request.
	Rules Rules
	// Extra bounds the sends that may add load to entries that are slow or failing.
	Extra clementineport.Budget
	// SuspectFor is how long an entry that failed is used last.
	SuspectFor time.Duration
	// MaxAnswerBytes is the size of the largest answer that is read.
	MaxAnswerBytes int64
	// Inject returns the traceparent header of a query, or nothing.
	Inject func(ctx context.Context) string
	// Allow refuses addresses that must not be connected to.
	Allow func(address string) error
	// Dialer opens connections.
	Dialer *net.Dialer
	// Clock tells and waits for the time.
	Clock clementineport.Clock
	// Rand returns a number in [0, 1); it may be called from many goroutines.
	Rand func() float64
	// Unique returns the unique part of a request id.
	Unique func() string
}

// Option changes one of the Options.
type Option func(*Options)

// WithSeeds sets the addresses to ask when no listed entry answers.
func WithSeeds(addresses ...string) Option {
	return func(o *Options) { o.Seeds = addresses }
}

// WithDomain sets the failure domain of the caller.
func WithDomain(d clementineport.FailureDomain) Option {
	return func(o *Options) { o.Domain = d }
}

// WithDeadline sets the time given to a query that states no deadline.
func WithDeadline(d time.Duration) Option {
	return func(o *Options) { o.Deadline = d }
}

// WithRules sets the bounds on the sends of one request.
func WithRules(r Rules) Option {
	return func(o *Options) { o.Rules = r }
}

// WithExtra sets the budget of sends that may add load to entries that are slow or failing.
func WithExtra(b clementineport.Budget) Option {
	return func(o *Options) { o.Extra = b }
}

// WithMaxAnswerBytes sets the size of the largest answer that is read.
func WithMaxAnswerBytes(n int64) Option {
	return func(o *Options) { o.MaxAnswerBytes = n }
}

// WithAllow sets a function that refuses addresses that must not be connected to.
func WithAllow(f func(address string) error) Option {
	return func(o *Options) { o.Allow = f }
}

// WithInject sets the source of the traceparent header.
func WithInject(f func(ctx context.Context) string) Option {
	return func(o *Options) { o.Inject = f }
}

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option {
	return func(o *Options) { o.Clock = c }
}

// WithRand sets the source of random numbers in [0, 1).
func WithRand(f func() float64) Option {
	return func(o *Options) { o.Rand = f }
}

// WithUnique sets the source of the unique parts of request ids.
func WithUnique(f func() string) Option {
	return func(o *Options) { o.Unique = f }
}

func newOptions(opts []Option) Options {
	o := Options{
		Deadline:       DefaultDeadline,
		Rules:          DefaultRules(),
		SuspectFor:     DefaultSuspectFor,
		MaxAnswerBytes: DefaultMaxAnswerBytes,
		Inject:         func(context.Context) string { return "" },
		Allow:          func(string) error { return nil },
		Dialer:         &net.Dialer{Timeout: DefaultListTimeout},
		Clock:          clockwork.NewRealClock(),
		Rand:           rand.Float64,
		Unique:         uuid.NewString,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
