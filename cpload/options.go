package cpload

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcaller"
)

// Defaults and limits of a run.
const (
	DefaultRate          = 100 // queries per second
	DefaultDuration      = 10 * time.Second
	DefaultCallers       = 10
	DefaultDeadline      = 500 * time.Millisecond
	DefaultLimit         = 10 // hits
	DefaultMaxInProgress = 4096
	MaxDuration          = time.Hour
	MaxRequests          = 10_000_000
	textVariants         = 1000 // number of different query texts
)

// CurrentPolicy is the name of the policy that entry VMs use when a query does not select one.
const CurrentPolicy = "current"

// WeightedService is a service and its weight in the mix of queries.
type WeightedService struct {
	Service  clementineport.ServiceID
	Weight   float64
	Deadline time.Duration
}

// Options are the settings of a run.
type Options struct {
	// Entries are the addresses of the entry VMs that callers contact first.
	Entries []string
	// Domains are the failure domains that callers are assigned to in turn.
	Domains []clementineport.FailureDomain
	// Rate is the number of queries per second of all callers together.
	Rate     float64
	Duration time.Duration
	Services []WeightedService
	// NonIdempotent is the share of queries marked as non-idempotent.
	NonIdempotent float64
	Callers       int
	// Policies are alternated from query to query, or run one after the other if Sequential is set.
	Policies      []string
	Sequential    bool
	Deadline      time.Duration
	Limit         int
	MaxInProgress int
	Seed          uint64
	AllowRemote   bool
	// Text returns the text of the next query.
	Text func(*rand.Rand) string
	// Check returns an error if an answer is wrong.
	Check func(*clementineport.Query, *clementineport.Answer) error
	// NewCaller returns the caller with the given number.
	NewCaller func(n int) cpcaller.Caller
}

// Option changes one of the Options.
type Option func(*Options)

// WithOptions replaces all options, for options that are read from flags.
func WithOptions(opts Options) Option {
	return func(o *Options) { *o = opts }
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		Rate:          DefaultRate,
		Duration:      DefaultDuration,
		Callers:       DefaultCallers,
		Policies:      []string{CurrentPolicy},
		Deadline:      DefaultDeadline,
		Limit:         DefaultLimit,
		MaxInProgress: DefaultMaxInProgress,
		Text:          func(r *rand.Rand) string { return fmt.Sprintf("record %d", r.IntN(textVariants)) },
		Check:         CheckAnswer,
	}
}

// Validate returns an error for the first option that is invalid.
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
		if err := o.checkAddress(address); err != nil {
			return err
		}
	}
	return nil
}

// checkAddress returns an error for an address outside the loopback network unless remote addresses are allowed.
func (o *Options) checkAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return &clementineport.Error{Fault: clementineport.FaultInvalid, Reason: "address " + address, Err: err}
	}
	if ip := net.ParseIP(host); o.AllowRemote || (ip != nil && ip.IsLoopback()) {
		return nil
	}
	return clementineport.Fail(clementineport.FaultInvalid, "%s is not a loopback IP address", address)
}
