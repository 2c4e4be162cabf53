package cpchangelog

// DefaultMaxChanges covers a minute of continuous changes. A VM that has missed more gets a full update.
const DefaultMaxChanges = 64 // changes

// Options are the settings of a History.
type Options struct {
	// MaxChanges is the number of changes to keep.
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

// WithMaxChanges sets the number of changes to keep.
func WithMaxChanges(n int) Option { return func(o *Options) { o.MaxChanges = n } }
