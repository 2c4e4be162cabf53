package cpentrylist

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Options sets how entry lists are selected.
type Options struct {
	// MaxEntries is the maximum number of entries in a list.
	MaxEntries int
	// TTL is how long a caller may use a list.
	TTL time.Duration
	// Rotate gives a caller another first entry in each TTL period.
	Rotate bool
	// Demand is the fraction of the load that comes from callers of each failure domain.
	// If it is nil, all domains are assumed to have equal demand.
	Demand map[clementineport.FailureDomain]float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{MaxEntries: 4, TTL: 10 * time.Second, Rotate: true}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithMaxEntries sets the maximum number of entries in a list.
func WithMaxEntries(n int) Option {
	return func(o *Options) { o.MaxEntries = n }
}

// WithTTL sets how long a caller may use a list.
func WithTTL(ttl time.Duration) Option {
	return func(o *Options) { o.TTL = ttl }
}

// WithRotate sets whether a caller gets another first entry in each TTL period.
func WithRotate(rotate bool) Option {
	return func(o *Options) { o.Rotate = rotate }
}

// WithDemand sets the fraction of the load that comes from callers of each failure domain.
func WithDemand(demand map[clementineport.FailureDomain]float64) Option {
	return func(o *Options) { o.Demand = demand }
}
