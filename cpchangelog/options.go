package cpchangelog

// DefaultMost covers a minute in which the fleet changes all the time. A VM that has missed more gets everything.
const DefaultMaxChanges = 64 // changes

// Options are the settings of a History.
type Options struct {
	// Most is the number of changes that are kept.
	MaxChanges int
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{MaxChanges: DefaultMaxChanges}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithMost sets the number of changes that are kept.
func WithMaxChanges(n int) Option { return func(o *Options) { o.MaxChanges = n } }
