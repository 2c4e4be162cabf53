package cpentrylist

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Options sets what callers are told.
type Options struct {
	// Entries is the most entries that one advice lists.
	Entries int
	// Life is how long a caller keeps an advice.
	Life time.Duration
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
	options := Options{Entries: 4, Life: 10 * time.Second, Rotate: true}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithEntries sets the most entries that one advice lists.
func WithEntries(n int) Option {
	return func(o *Options) { o.Entries = n }
}

// WithLife sets how long a caller keeps an advice.
func WithLife(life time.Duration) Option {
	return func(o *Options) { o.Life = life }
}

// WithRotate sets whether a caller gets another first entry in each life.
func WithRotate(rotate bool) Option {
	return func(o *Options) { o.Rotate = rotate }
}

// WithDemand sets the share of the load that comes from callers of each failure domain.
func WithDemand(demand map[clementineport.FailureDomain]float64) Option {
	return func(o *Options) { o.Demand = demand }
}
