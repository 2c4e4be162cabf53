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

// RetryPolicy bounds the sends of one request.
type RetryPolicy = cpfailover.Policy

// DefaultRetryPolicy returns the default policy.
func DefaultRetryPolicy() RetryPolicy { return cpfailover.DefaultPolicy() }

// Defaults of Options and of the connections.
const (
	DefaultDeadline             = time.Second
	DefaultRetryBudgetShare     = 0.05
	DefaultRetryBudgetBurst     = 20 // sends
	DefaultSuspectFor           = 2 * time.Second
	DefaultListTimeout          = time.Second
	DefaultMaxAnswerBytes       = 8 << 20
	DefaultMaxIdleConnsPerEntry = 8
	DefaultMaxIdleConns         = 64
	DefaultIdleTimeout          = 30 * time.Second
)

// Options are the settings of a caller.
type Options struct {
	// Seeds are the addresses from which the entry list is fetched when no listed entry returns one.
	Seeds []string
	// Domain is the failure domain of the caller.
	Domain clementineport.FailureDomain
	// Deadline is the timeout of a query without a deadline.
	Deadline time.Duration
	// RetryPolicy bounds the sends of one request.
	RetryPolicy RetryPolicy
	// RetryBudget limits hedges and resends that may add load to slow or failing entries.
	RetryBudget clementineport.Budget
	// SuspectFor is how long an entry is used last after a failure.
	SuspectFor time.Duration
	// MaxAnswerBytes is the maximum size of an answer.
	MaxAnswerBytes int64
	// Inject returns the traceparent header of a request, or an empty string.
	Inject func(ctx context.Context) string
	// Allow returns an error if connections to the address are not allowed.
	Allow func(address string) error
	// Dialer opens connections.
	Dialer *net.Dialer
	// Clock provides the current time and timers.
	Clock clementineport.Clock
	// Rand returns a random number in [0, 1). It must be safe for concurrent use.
	Rand func() float64
	// UniqueID returns the unique part of a request id.
	UniqueID func() string
}

// Option changes Options.
type Option func(*Options)

// WithSeeds sets the addresses from which the entry list is fetched when no listed entry returns one.
func WithSeeds(addresses ...string) Option {
	return func(o *Options) { o.Seeds = addresses }
}

// WithDomain sets the failure domain of the caller.
func WithDomain(d clementineport.FailureDomain) Option {
	return func(o *Options) { o.Domain = d }
}

// WithDeadline sets the timeout of a query without a deadline.
func WithDeadline(d time.Duration) Option {
	return func(o *Options) { o.Deadline = d }
}

// WithRetryPolicy sets the bounds on the sends of one request.
func WithRetryPolicy(r RetryPolicy) Option {
	return func(o *Options) { o.RetryPolicy = r }
}

// WithRetryBudget sets the budget of hedges and resends that may add load to slow or failing entries.
func WithRetryBudget(b clementineport.Budget) Option {
	return func(o *Options) { o.RetryBudget = b }
}

// WithMaxAnswerBytes sets the maximum size of an answer.
func WithMaxAnswerBytes(n int64) Option {
	return func(o *Options) { o.MaxAnswerBytes = n }
}

// WithAllow sets a function that returns an error if connections to an address are not allowed.
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

// WithRand sets the source of random numbers in [0, 1), which must be safe for concurrent use.
func WithRand(f func() float64) Option {
	return func(o *Options) { o.Rand = f }
}

// WithUniqueID sets the function that returns the unique part of a request id.
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
