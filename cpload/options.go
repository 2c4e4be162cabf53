package cpload

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcaller"
)

// Defaults and bounds of a run.
const (
	DefaultRate          = 100 // queries a second
	DefaultDuration      = 10 * time.Second
	DefaultCallers       = 10
	DefaultDeadline      = 500 * time.Millisecond
	DefaultLimit         = 10 // hits
	DefaultMaxInProgress = 4096
	MaxDuration          = time.Hour
	MaxRequests          = 10_000_000
	textCount            = 1000 // different query texts
)

// CurrentPolicy is the name of the policy that the entries use when a query names none.
const CurrentPolicy = "current"

// WeightedService is a service and its weight in the mix of queries.
type WeightedService struct {
	Service  clementineport.ServiceID
	Weight   float64
	Deadline time.Duration
}

// Options are the settings of a run.
type Options struct {
	// Entries are the addresses that callers ask first.
	Entries []string
	// Domains are the failure domains of the callers, in turn.
	Domains []clementineport.FailureDomain
	// Rate is the number of queries a second over all callers.
	Rate     float64
	Duration time.Duration
	Services []WeightedService
	// NonIdempotent is the share of queries marked as non-idempotent.
	NonIdempotent float64
	Callers       int
	// Policies are interleaved query by query, or run one after the other if Sequential is set.
	Policies      []string
	Sequential    bool
	Deadline      time.Duration
	Limit         int
	MaxInProgress int
	Seed          uint64
	AllowRemote   bool
	// Text returns the text of the next query.
	Text func(*rand.Rand) string
	// Check says what is wrong with an answer.
	Check func(*clementineport.Query, *clementineport.Answer) error
	// NewCaller returns the caller of the given number.
	NewCaller func(n int) cpcaller.Caller
}

// Option changes one of the Options.
type Option func(*Options)

// WithOptions replaces all settings; it is meant for settings read from flags.
func WithOptions(other Options) Option {
	return func(o *Options) { *o = other }
}

// DefaultOptions returns the default settings.
func DefaultOptions() Options {
	return Options{
		Rate:          DefaultRate,
		Duration:      DefaultDuration,
		Callers:       DefaultCallers,
		Policies:      []string{CurrentPolicy},
		Deadline:      DefaultDeadline,
		Limit:         DefaultLimit,
		MaxInProgress: DefaultMaxInProgress,
		Text:          func(r *rand.Rand) string { return fmt.Sprintf("record %d", r.IntN(textCount)) },
		Check:         CheckAnswer,
	}
}

// Validate returns the first setting that is out of bounds.
func (o *Options) Validate() error {
	switch {
	case len(o.Entries) == 0 && o.NewCaller == nil:
		return clementineport.Fail(clementineport.FaultInvalid, "no entry addresses")
	case len(o.Services) == 0:
		return clementineport.Fail(clementineport.FaultInvalid, "no services")
	case len(o.Policies) == 0:
		return clementineport.Fail(clementineport.FaultInvalid, "no policies")
	case o.Rate <= 0 || o.Rate*o.Duration.Seconds() > MaxRequests:
		return clementineport.Fail(clementineport.FaultInvalid, "rate must be above 0 and the run at most %d queries", MaxRequests)
	case o.Duration <= 0 || o.Duration > MaxDuration:
		return clementineport.Fail(clementineport.FaultInvalid, "duration must be above 0 and at most %s", MaxDuration)
	case o.NonIdempotent < 0 || o.NonIdempotent > 1:
		return clementineport.Fail(clementineport.FaultInvalid, "non-idempotent share must be from 0 to 1")
	case o.Callers < 1 || o.MaxInProgress < 1:
		return clementineport.Fail(clementineport.FaultInvalid, "callers and queries in progress must be at least 1")
	}
	for _, address := range o.Entries {
		if err := o.allow(address); err != nil {
			return err
		}
	}
	return nil
}

// allow refuses addresses outside the loopback network unless remote ones are allowed.
func (o *Options) allow(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return &clementineport.Error{Fault: clementineport.FaultInvalid, Reason: "address " + address, Err: err}
	}
	if ip := net.ParseIP(host); o.AllowRemote || (ip != nil && ip.IsLoopback()) {
		return nil
	}
	return clementineport.Fail(clementineport.FaultInvalid, "%s is not a loopback IP address", address)
}
