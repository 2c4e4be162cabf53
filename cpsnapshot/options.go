package cpsnapshot

// defaultSingleShare is the share of shards that may depend on one holder in a snapshot chosen for its age.
const defaultSingleShare = 0.1

// Options are the settings of a Chooser.
type Options struct {
	// MaxSingleHolderShare is the share of shards that may depend on one holder when PreferTail takes the newest snapshot.
	MaxSingleHolderShare float64
	// NewestOnly takes the newest snapshot whatever it covers; it is the plain baseline.
	NewestOnly bool
}

// Option changes Options.
type Option func(*Options)

// MaxSingleHolderShare sets the share of shards that may depend on one holder.
func MaxSingleHolderShare(share float64) Option {
	return func(o *Options) { o.MaxSingleHolderShare = share }
}

// NewestOnly takes the newest snapshot whatever it covers.
func NewestOnly() Option { return func(o *Options) { o.NewestOnly = true } }

func newOptions(opts ...Option) Options {
	o := Options{MaxSingleHolderShare: defaultSingleShare}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
