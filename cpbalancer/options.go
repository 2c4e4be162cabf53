package cpbalancer

// Defaults of Options.
const (
	// DefaultSharpness gives a target that takes twice as long one request in 17.
	DefaultSharpness = 4
	// DefaultFarCost outweighs small differences in load by the bytes sent between failure domains.
	DefaultFarCost = 1.2
)

// Options are the settings of a Chooser.
type Options struct {
	Seed uint64
	// Sharpness is the power of the expected time by which targets are preferred.
	Sharpness float64
	// FarCost multiplies the expected time of targets in other failure domains.
	FarCost float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{Sharpness: DefaultSharpness, FarCost: DefaultFarCost}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithSeed seeds the choice.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithFarCost sets the factor for targets in other failure domains.
func WithFarCost(f float64) Option { return func(o *Options) { o.FarCost = f } }
