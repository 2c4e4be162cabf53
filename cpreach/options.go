package cpreach

import "time"

// Parameters of the suspicion.
const (
	// DefaultMinOverdue is about as long as a target may pause.
	DefaultMinOverdue = 200 * time.Millisecond
	// DefaultMaxOverdue is a part of the time that callers of a VM without a path may be failed for.
	DefaultMaxOverdue = time.Second
	// overdueFactor is the multiple of the typical latency after which an unanswered call counts against the path.
	overdueFactor = 3
	// minFailingTargets and minFailingServices are how many targets and services must fail. Fewer may have ended together.
	minFailingTargets  = 3
	minFailingServices = 2
)

// Options are the settings of a Tracker.
type Options struct {
	// MinOverdue is the shortest time without an answer that counts against the path.
	MinOverdue time.Duration
	// MaxOverdue is the longest time that a call may stay without an answer before it counts against the path, whatever its
	// latency. A single call that has is then enough if no target has answered meanwhile.
	MaxOverdue time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{MinOverdue: DefaultMinOverdue, MaxOverdue: DefaultMaxOverdue}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithMinOverdue sets the shortest time without an answer that counts against the path.
func WithMinOverdue(d time.Duration) Option { return func(o *Options) { o.MinOverdue = d } }

// WithMaxOverdue sets the longest time that a call may stay without an answer before it counts against the path.
func WithMaxOverdue(d time.Duration) Option { return func(o *Options) { o.MaxOverdue = d } }
