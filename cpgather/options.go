package cpgather

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpdeadline"
	"github.com/clementineport/clementineport/cphedge"
	"github.com/clementineport/clementineport/cpretry"
	"github.com/clementineport/clementineport/cpsnapshot"
)

// Defaults of Options.
const (
	defaultMaxRestarts    = 1
	defaultReplanInterval = 20 * time.Millisecond
)

const (
	// spareAttemptDivisor is the number of shards per preallocated spare attempt.
	spareAttemptDivisor = 16
	// restartCallTimes is the number of hedge delays of the slowest target that must fit into the time left for a
	// restart.
	restartCallTimes = 2
)

// Check is a check that can be disabled, for comparison with a tier that lacks it.
type Check uint8

const (
	// CheckAttempt drops results of attempts that have ended.
	CheckAttempt Check = 1 << iota
	// CheckReply drops replies of another request, shard or snapshot.
	CheckReply
	// CheckVerdict retries non-idempotent calls only when they are proven not to have run.
	CheckVerdict
)

// Options are the settings of a Machine.
type Options struct {
	// Hedge bounds the hedges of the query, Retry its retries.
	Hedge cphedge.Policy
	Retry cpretry.Policy
	// Deadline divides the time budget of the query.
	Deadline cpdeadline.Policy
	// Choose chooses another snapshot when shards of the pinned one are lost.
	Choose cpsnapshot.ChooseFunc
	// MaxRestarts is the maximum number of restarts of the query.
	MaxRestarts int
	// ReplanInterval is the minimum time between two attempts to choose another snapshot.
	ReplanInterval time.Duration
	// Disabled is the set of disabled checks.
	Disabled Check
}

// Option changes Options.
type Option func(*Options)

// Budgets sets the budgets of hedges and retries.
func Budgets(hedge, retry clementineport.Budget) Option {
	return func(o *Options) { o.Hedge.Budget, o.Retry.Budget = hedge, retry }
}

// SuppressHedges sets a function that reports whether hedges are suppressed.
func SuppressHedges(off func() bool) Option { return func(o *Options) { o.Hedge.Overloaded = off } }

// Choose sets the function that chooses another snapshot.
func Choose(choose cpsnapshot.ChooseFunc) Option { return func(o *Options) { o.Choose = choose } }

// TailShare sets the share of the deadline after which PreferTail omits stragglers.
func TailShare(share float64) Option { return func(o *Options) { o.Deadline.TailShare = share } }

// WithoutChecks disables checks.
func WithoutChecks(checks Check) Option { return func(o *Options) { o.Disabled |= checks } }

// NewOptions returns the default options with changes applied. A server prepares them once for all queries.
func NewOptions(opts ...Option) Options {
	o := Options{
		Hedge:          cphedge.New(nil),
		Retry:          cpretry.New(nil),
		Deadline:       cpdeadline.New(),
		Choose:         cpsnapshot.Choose,
		MaxRestarts:    defaultMaxRestarts,
		ReplanInterval: defaultReplanInterval,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func (o *Options) disabled(c Check) bool { return o.Disabled&c != 0 }
