package cpbalancer

// Defaults of Options.
const (
	// DefaultLatencyExponent gives a target with twice the expected latency one request in 17.
	DefaultLatencyExponent = 4
	// DefaultCrossDomainCost exceeds small differences in load, to save traffic between failure domains.
	DefaultCrossDomainCost = 1.2
)

// Options are the settings of a Chooser.
type Options struct {
	Seed uint64
	// LatencyExponent is the power of the expected latency by which the weight of a target falls.
	LatencyExponent float64
	// CrossDomainCost is added to the expected latency of targets in other failure domains, as a multiple of the typical
	// latency.
	CrossDomainCost float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{LatencyExponent: DefaultLatencyExponent, CrossDomainCost: DefaultCrossDomainCost}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithSeed sets the seed of the random choice.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithCrossDomainCost sets the cost that is added for targets in other failure domains.
func WithCrossDomainCost(f float64) Option { return func(o *Options) { o.CrossDomainCost = f } }
