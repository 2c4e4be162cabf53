package cpforward

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpfan"
	"github.com/clementineport/clementineport/cpfollow"
)

// Defaults of Options.
const (
	// DefaultAnswerMargin is the time that an answer needs to reach a caller nearby before its deadline.
	DefaultAnswerMargin = 15 * time.Millisecond
	// DefaultObjectiveMargin covers the way between caller and VM, both ways, and the merge.
	DefaultObjectiveMargin = 9 * time.Millisecond
	// DefaultObjectiveShare covers what grows with the time of a request, such as late timers under load.
	DefaultObjectiveShare = 0.02
	// DefaultHedgeFactor places hedges behind most answers, so that they cost a small share of extra calls.
	DefaultHedgeFactor = 1.15
	// DefaultLeastHedge is below what a second call could win.
	DefaultLeastHedge = 4 * time.Millisecond
	// DefaultFirstHedgeShare stands for the latency that is not known yet.
	DefaultFirstHedgeShare = 0.35
	// DefaultLoserTime is how long most calls take that were hedged just before their answer came.
	DefaultLoserTime = 150 * time.Millisecond
	// DefaultRetryAfter is when a caller may come back whose request found no target.
	DefaultRetryAfter = 250 * time.Millisecond
)

// Options are the settings of a Forwarder.
type Options struct {
	Clock clementineport.Clock
	View  func() *cpfollow.View
	Seed  uint64
	// RetryRatio and RetrySlack bound the extra calls to a service, as a share of its requests and a number beyond,
	// of all VMs together.
	RetryRatio float64
	RetrySlack float64
	// ColdOverrun and ColdSlack bound the requests a second to a cold target, beyond what it bears.
	ColdOverrun float64
	ColdSlack   float64
	// AnswerMargin is how long before the deadline a request without an answer is ended.
	AnswerMargin time.Duration
	// ObjectiveMargin and ObjectiveShare say how long before its objective an answer is closed.
	ObjectiveMargin time.Duration
	ObjectiveShare  float64
	// HedgeFactor is the multiple of a high latency after which another target is asked.
	HedgeFactor float64
	LeastHedge  time.Duration
	// FirstHedgeShare is the share of the objective after which that is done before latencies are known.
	FirstHedgeShare float64
	// LoserTime is how long calls that are not needed any more may go on.
	LoserTime  time.Duration
	RetryAfter time.Duration
	Fan        []cpfan.Option
	// Failed is told of calls that failed.
	Failed func(id clementineport.RequestID, target clementineport.TargetID, err error, elapsed time.Duration)
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Clock:           clockwork.NewRealClock(),
		AnswerMargin:    DefaultAnswerMargin,
		ObjectiveMargin: DefaultObjectiveMargin,
		ObjectiveShare:  DefaultObjectiveShare,
		HedgeFactor:     DefaultHedgeFactor,
		LeastHedge:      DefaultLeastHedge,
		FirstHedgeShare: DefaultFirstHedgeShare,
		LoserTime:       DefaultLoserTime,
		RetryAfter:      DefaultRetryAfter,
		Failed:          func(clementineport.RequestID, clementineport.TargetID, error, time.Duration) {},
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// WithView sets where the newest view comes from.
func WithView(view func() *cpfollow.View) Option { return func(o *Options) { o.View = view } }

// WithSeed seeds the choice of targets.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithRetries sets the bound on extra calls of all VMs together.
func WithRetries(ratio, slack float64) Option {
	return func(o *Options) { o.RetryRatio, o.RetrySlack = ratio, slack }
}

// WithCold sets the bound on requests to cold targets.
func WithCold(overrun, slack float64) Option {
	return func(o *Options) { o.ColdOverrun, o.ColdSlack = overrun, slack }
}

// WithFailed sets what is told of calls that failed.
func WithFailed(f func(id clementineport.RequestID, target clementineport.TargetID, err error, elapsed time.Duration)) Option {
	return func(o *Options) { o.Failed = f }
}
