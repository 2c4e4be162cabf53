package cpowner

// Options sets how owners are assigned.
type Options struct {
	// RebuildShare is a fraction of the VMs. If more than that change at once, all targets are assigned from scratch.
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

// WithRebuildShare sets the fraction of VMs above which a change assigns all targets from scratch; zero does so at every
// change.
func WithRebuildShare(share float64) Option {
	return func(o *Options) { o.RebuildShare = share }
}
