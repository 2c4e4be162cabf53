package cpsnapshot

// defaultSingleHolderShare is the default of Options.SingleHolderShare.
const defaultSingleHolderShare = 0.1

// Options are the settings of a Chooser.
type Options struct {
	// SingleHolderShare is the maximum share of shards that may depend on one holder for PreferTail to choose the
	// newest snapshot.
	SingleHolderShare float64
	// NewestOnly chooses the newest snapshot regardless of its coverage, as a baseline for comparisons.
	NewestOnly bool
}

// Option changes Options.
type Option func(*Options)

// SingleHolderShare sets the maximum share of shards that may depend on one holder.
func SingleHolderShare(share float64) Option { return func(o *Options) { o.SingleHolderShare = share } }

// NewestOnly chooses the newest snapshot regardless of its coverage.
func NewestOnly() Option { return func(o *Options) { o.NewestOnly = true } }

func newOptions(opts ...Option) Options {
	o := Options{SingleHolderShare: defaultSingleHolderShare}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}
