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

// RetryPolicy bound the sends of one request.
type RetryPolicy = cpfailover.Policy

// DefaultRetryPolicy returns the default bounds.
func DefaultRetryPolicy() RetryPolicy { return cpfailover.DefaultPolicy() }

// Defaults of a caller.
const (
	DefaultDeadline             = time.Second
	DefaultRetryBudgetShare     = 0.05
	DefaultRetryBudgetBurst     = 20 // sends
	DefaultSuspectFor           = 2 * time.Second
	DefaultListTimeout          = time.Second
	DefaultMaxAnswerBytes       = 8 << 20
	DefaultMaxIdleConnsPerEntry = 8  // connections
	DefaultMaxIdleConns         = 64 // connections
	DefaultIdleTimeout          = 30 * time.Second
)

// Options are the settings of a caller.
type Options struct {
	// Seeds are the addresses to ask when no listed entry answers.
	Seeds []string
	// Domain is the failure domain of the caller.
	Domain clementineport.FailureDomain
	// Deadline is the time given to a query that states no deadline.
	Deadline time.Duration
	// RetryPolicy bound the sends of one request.
	RetryPolicy RetryPolicy
	// RetryBudget bounds the sends that may add load to entries that are slow or failing.
	RetryBudget clementineport.Budget
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
	// UniqueID returns the unique part of a request id.
	UniqueID func() string
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

// WithRetryPolicy sets the bounds on the sends of one request.
func WithRetryPolicy(r RetryPolicy) Option {
	return func(o *Options) { o.RetryPolicy = r }
}

// WithRetryBudget sets the budget of sends that may add load to entries that are slow or failing.
func WithRetryBudget(b clementineport.Budget) Option {
	return func(o *Options) { o.RetryBudget = b }
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

// WithUniqueID sets the source of the unique parts of request ids.
func WithUniqueID(f func() string) Option {
	return func(o *Options) { o.UniqueID = f }
}

func newOptions(opts []Option) Options {
	o := Options{
		Deadline:       DefaultDeadline,
		RetryPolicy:    DefaultRetryPolicy(),
		SuspectFor:     DefaultSuspectFor,
		MaxAnswerBytes: DefaultMaxAnswerBytes,
		Inject:         func(context.Context) string { return "" },
		Allow:          func(string) error { return nil },
		Dialer:         &net.Dialer{Timeout: DefaultListTimeout},
		Clock:          clockwork.NewRealClock(),
		Rand:           rand.Float64,
		UniqueID:       uuid.NewString,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
