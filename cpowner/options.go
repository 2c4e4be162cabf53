package cpowner

// Options sets how owners are assigned.
type Options struct {
	// RebuildShare is the share of VMs that may change before everything is computed anew.
	RebuildShare float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{RebuildShare: 0.25}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithRebuildShare sets the share of VMs that may change before everything is computed anew; zero always rebuilds.
func WithRebuildShare(share float64) Option {
	return func(o *Options) { o.RebuildShare = share }
}
