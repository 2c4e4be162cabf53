package cpplan

import (
	"time"

	"github.com/clementineport/clementineport/cpadmit"
)

// Defaults of Options.
const (
	// DefaultDeadlineMargin is the time that an answer needs to reach a caller nearby before its deadline.
	DefaultDeadlineMargin = 15 * time.Millisecond
	// DefaultObjectiveMargin covers the way between caller and VM, both ways, and the merge.
	DefaultObjectiveMargin = 9 * time.Millisecond
	// DefaultObjectiveMarginShare covers what grows with the time of a request, such as late timers under load.
	DefaultObjectiveMarginShare = 0.02
	// DefaultHedgeFactor places hedges behind most answers, so that they cost a small share of extra calls.
	DefaultHedgeFactor = 1.15
	// DefaultMinHedgeDelay is below what a second call could win.
	DefaultMinHedgeDelay = 4 * time.Millisecond
	// DefaultMaxHedgeFactor is above the time of most calls to a sound target, as a multiple of the usual one.
	DefaultMaxHedgeFactor = 2.5
	// DefaultInitialHedgeShare stands for the latency that is not known yet.
	DefaultInitialHedgeShare = 0.35
)

// Bounds of admission.
const (
	// leastInProgress keeps a VM going while some of its targets stand still.
	leastInProgress = 4 // requests
	// firstInProgress is above what a VM has in progress unless its targets are overloaded.
	firstInProgress = 16 // requests
	// waitShare is the part of the time to its objective for which a request may wait for its start.
	waitShare = 0.15
	// queueShare and leastQueue are the wait for targets with room above which fewer requests are let in, as a share of
	// the time of a request without it: objectives are a few times that long.
	queueShare = 0.6
	leastQueue = 20 * time.Millisecond
)

// AdmissionOptions returns the settings of admission for requests that need the same targets.
func AdmissionOptions() []cpadmit.Option {
	return []cpadmit.Option{
		cpadmit.WithLimits(leastInProgress, firstInProgress, cpadmit.DefaultMaxLimit), cpadmit.WithMaxWaitShare(waitShare),
		cpadmit.WithQueueDelay(queueShare, leastQueue),
	}
}

// Options are the settings of a Planner.
type Options struct {
	// DeadlineMargin is how long before the deadline a request without an answer is ended.
	DeadlineMargin time.Duration
	// ObjectiveMargin and ObjectiveShare say how long before its objective an answer is closed.
	ObjectiveMargin      time.Duration
	ObjectiveMarginShare float64
	// HedgeFactor is the multiple of a high latency after which another target is asked.
	HedgeFactor   float64
	MinHedgeDelay time.Duration
	// MaxHedgeFactor is the multiple of the usual latency after which another target is asked at the latest.
	MaxHedgeFactor float64
	// InitialHedgeShare is the share of the objective after which that is done before latencies are known.
	InitialHedgeShare float64
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		DeadlineMargin:       DefaultDeadlineMargin,
		ObjectiveMargin:      DefaultObjectiveMargin,
		ObjectiveMarginShare: DefaultObjectiveMarginShare,
		HedgeFactor:          DefaultHedgeFactor,
		MinHedgeDelay:        DefaultMinHedgeDelay,
		MaxHedgeFactor:       DefaultMaxHedgeFactor,
		InitialHedgeShare:    DefaultInitialHedgeShare,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithHedgeFactor sets the multiple of a high latency after which another target is asked.
func WithHedgeFactor(f float64) Option { return func(o *Options) { o.HedgeFactor = f } }

// WithMaxHedgeFactor sets the multiple of the usual latency after which another target is asked at the latest.
func WithMaxHedgeFactor(f float64) Option { return func(o *Options) { o.MaxHedgeFactor = f } }
