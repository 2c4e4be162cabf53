package cpplan

import (
	"time"

	"github.com/clementineport/clementineport/cpadmit"
)

// Defaults of Options.
const (
	// DefaultDeadlineMargin covers the time until the answer reaches a caller in the same region.
	DefaultDeadlineMargin = 15 * time.Millisecond
	// DefaultObjectiveMargin covers the round trip between caller and VM and the merge of the responses.
	DefaultObjectiveMargin = 9 * time.Millisecond
	// DefaultObjectiveMarginShare covers delays that grow with the duration of a request, such as late timers under load.
	DefaultObjectiveMarginShare = 0.02
	// DefaultHedgeFactor sends hedges after most calls have been answered, so that the share of extra calls is small.
	DefaultHedgeFactor = 1.15
	// DefaultMinHedgeDelay is the delay below which a hedge saves no time.
	DefaultMinHedgeDelay = 4 * time.Millisecond
	// DefaultMaxHedgeFactor exceeds the latency of most calls to a healthy target, as a multiple of the typical latency.
	DefaultMaxHedgeFactor = 2.5
	// DefaultHedgeAnswerFactor exceeds the latency of an ordinary call, as a multiple of the typical latency.
	DefaultHedgeAnswerFactor = 1.5
	// DefaultInitialHedgeShare applies while the latency is not known.
	DefaultInitialHedgeShare = 0.35
)

// Parts of the objective margin of a VM whose processor is known.
const (
	// callerRoundTrip allows for a round trip between a VM and callers in its region.
	callerRoundTrip = 6 * time.Millisecond
	// answerWork is the processor time of a gather that is spent before the request is read or after its objective: receiving
	// the request, merging the responses and sending the answer.
	answerWork = 1200 * time.Microsecond
)

// Parameters of admission.
const (
	// minInProgress lets a VM make progress while some of its targets pause.
	minInProgress = 4 // requests
	// initialInProgress exceeds the requests that a VM has in progress unless its targets are overloaded.
	initialInProgress = 16 // requests
	// maxWaitShare is the share of the time until its soft deadline for which a request may wait for admission.
	maxWaitShare = 0.15
	// queueDelayShare is the time spent waiting for free targets above which fewer requests are admitted, as a share of
	// the rest of a request's duration. Objectives are a few times that duration. minQueueDelay is its lower bound.
	queueDelayShare = 0.6
	minQueueDelay   = 20 * time.Millisecond
)

// AdmissionOptions returns the admission settings for requests that need the same targets.
func AdmissionOptions() []cpadmit.Option {
	return []cpadmit.Option{
		cpadmit.WithLimits(minInProgress, initialInProgress, cpadmit.DefaultMaxLimit), cpadmit.WithMaxWaitShare(maxWaitShare),
		cpadmit.WithQueueDelay(queueDelayShare, minQueueDelay),
	}
}

// Options are the settings of a Planner.
type Options struct {
	// DeadlineMargin is how long before its deadline a request without an answer is ended.
	DeadlineMargin time.Duration
	// ObjectiveMargin plus ObjectiveMarginShare of the objective is how long before its objective an answer is sent.
	ObjectiveMargin      time.Duration
	ObjectiveMarginShare float64
	// HedgeFactor is the multiple of HighLatency after which a call is hedged.
	HedgeFactor float64
	// MinHedgeDelay is the lower bound of the hedge delay.
	MinHedgeDelay time.Duration
	// MaxHedgeFactor is the multiple of TypicalLatency after which a call is hedged at the latest.
	MaxHedgeFactor float64
	// HedgeAnswerFactor is the multiple of TypicalLatency that a hedge of a gather has to be answered before the objective.
	// The objective doesn't shorten the hedge delay below the same multiple, so that ordinary calls are not hedged.
	HedgeAnswerFactor float64
	// InitialHedgeShare is the share of the objective after which a call is hedged while no latency is known.
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
		HedgeAnswerFactor:    DefaultHedgeAnswerFactor,
		InitialHedgeShare:    DefaultInitialHedgeShare,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithCores sets the number of cores of the VM, which may be a fraction. A VM with a small part of a core needs a larger margin
// before the objective. Zero means that the number is not known; the margin stays as it is then.
func WithCores(cores float64) Option {
	return func(o *Options) {
		if cores > 0 {
			o.ObjectiveMargin = max(DefaultObjectiveMargin, callerRoundTrip+time.Duration(float64(answerWork)/cores))
		}
	}
}

// WithHedgeFactor sets the multiple of HighLatency after which a call is hedged.
func WithHedgeFactor(f float64) Option { return func(o *Options) { o.HedgeFactor = f } }

// WithMaxHedgeFactor sets the multiple of TypicalLatency after which a call is hedged at the latest.
func WithMaxHedgeFactor(f float64) Option { return func(o *Options) { o.MaxHedgeFactor = f } }
