package cpworkspace

import "time"

// DefaultStaleAfter is well above the interval between two confirmations of the configuration, and below the time within which
// a new one must be in force.
const DefaultStaleAfter = 2000 * time.Millisecond

// Options are the settings of an Authenticator.
type Options struct {
	// StaleAfter is the age of the configuration from which a key that is unknown may be valid.
	StaleAfter time.Duration
	// MaxKeyAge is the age of the configuration from which no key is accepted, since it may have been revoked. It is zero if keys
	// are accepted at any age.
	MaxKeyAge time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{StaleAfter: DefaultStaleAfter}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithStaleAfter sets the age of the configuration from which a key that is unknown may be valid.
func WithStaleAfter(d time.Duration) Option { return func(o *Options) { o.StaleAfter = d } }

// WithMaxKeyAge sets the age of the configuration from which no key is accepted; zero means none.
func WithMaxKeyAge(d time.Duration) Option { return func(o *Options) { o.MaxKeyAge = d } }
