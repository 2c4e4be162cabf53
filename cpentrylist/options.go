package cpentrylist

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Options sets what callers are told.
type Options struct {
	// MaxEntries is the most entries that one advice lists.
	MaxEntries int
	// TTL is how long a caller keeps an advice.
	TTL time.Duration
	// Rotate gives a caller another first entry in each life.
	Rotate bool
	// Demand is the share of the load that comes from callers of each failure domain;
	// without it, every domain is taken to have the same.
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

// WithMaxEntries sets the most entries that one advice lists.
func WithMaxEntries(n int) Option {
	return func(o *Options) { o.MaxEntries = n }
}

// WithTTL sets how long a caller keeps an advice.
func WithTTL(life time.Duration) Option {
	return func(o *Options) { o.TTL = life }
}

// WithRotate sets whether a caller gets another first entry in each life.
func WithRotate(rotate bool) Option {
	return func(o *Options) { o.Rotate = rotate }
}

// WithDemand sets the share of the load that comes from callers of each failure domain.
func WithDemand(demand map[clementineport.FailureDomain]float64) Option {
	return func(o *Options) { o.Demand = demand }
}
