package cpowner

// Options sets how owners are assigned.
type Options struct {
	// RebuildShare is the fraction of VMs that may change at once without all targets being assigned from scratch.
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

// WithRebuildShare sets the fraction of VMs that may change at once without all targets being assigned from scratch;
// with zero they are for every change.
func WithRebuildShare(share float64) Option {
	return func(o *Options) { o.RebuildShare = share }
}
