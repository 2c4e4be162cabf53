package cpbalancer

// Defaults of Options.
const (
	// DefaultLatencyExponent gives a target that takes twice as long one request in 17.
	DefaultLatencyExponent = 4
	// DefaultCrossDomainFactor outweighs small differences in load by the bytes sent between failure domains.
	DefaultCrossDomainFactor = 1.2
)

// Options are the settings of a Chooser.
type Options struct {
	Seed uint64
	// LatencyExponent is the power of the expected time by which targets are preferred.
	LatencyExponent float64
	// CrossDomainFactor multiplies the expected time of targets in other failure domains.
	CrossDomainFactor float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{LatencyExponent: DefaultLatencyExponent, CrossDomainFactor: DefaultCrossDomainFactor}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithSeed seeds the choice.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithCrossDomainFactor sets the factor for targets in other failure domains.
func WithCrossDomainFactor(f float64) Option { return func(o *Options) { o.CrossDomainFactor = f } }
