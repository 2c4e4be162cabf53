package cpsnapshot

// defaultMaxSingleHolderShare is the default of Options.MaxSingleHolderShare.
const defaultMaxSingleHolderShare = 0.1

// Options are the settings of a Chooser.
type Options struct {
	// MaxSingleHolderShare is the maximum share of shards that may depend on one holder for PreferTail to choose the
	// newest snapshot.
	MaxSingleHolderShare float64
	// NewestOnly chooses the newest snapshot regardless of its coverage, as a baseline for comparisons.
	NewestOnly bool
}

// Option changes Options.
type Option func(*Options)

// MaxSingleHolderShare sets the maximum share of shards that may depend on one holder.
func MaxSingleHolderShare(share float64) Option {
	return func(o *Options) { o.MaxSingleHolderShare = share }
}

// NewestOnly chooses the newest snapshot regardless of its coverage.
func NewestOnly() Option { return func(o *Options) { o.NewestOnly = true } }

func newOptions(opts ...Option) Options {
	o := Options{MaxSingleHolderShare: defaultMaxSingleHolderShare}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
