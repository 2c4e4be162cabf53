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
	defaultMaxRestarts = 1
	defaultReplan      = 20 * time.Millisecond
)

const (
	// spareShare is the part of the shards for which room for further attempts is kept, as a divisor.
	spareShare = 16
	// restartNeed is how many times the slowest usual call must fit into the time left for a restart.
	restartNeed = 2
)

// Check is a check that can be left out to compare with a plain tier.
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
	// Hedge bounds hedges and Retry retries.
	Hedge cphedge.Policy
	Retry cpretry.Policy
	// Deadline divides the time of the query.
	Deadline cpdeadline.Policy
	// Choose chooses another snapshot when the pinned one is lost.
	Choose cpsnapshot.ChooseFunc
	// MaxRestarts bounds the restarts of the query.
	MaxRestarts int
	// Replan is the least time between two looks for another snapshot.
	Replan time.Duration
	// Off are the checks left out.
	Off Check
}

// Option changes Options.
type Option func(*Options)

// Budgets sets the budgets of hedges and retries.
func Budgets(hedge, retry clementineport.Budget) Option {
	return func(o *Options) { o.Hedge.Budget, o.Retry.Budget = hedge, retry }
}

// SuppressHedges sets what reports that no hedge is to be sent.
func SuppressHedges(off func() bool) Option { return func(o *Options) { o.Hedge.Overloaded = off } }

// Choose sets how another snapshot is chosen.
func Choose(choose cpsnapshot.ChooseFunc) Option { return func(o *Options) { o.Choose = choose } }

// TailCutoff sets the share of the deadline after which PreferTail leaves out stragglers.
func TailCutoff(share float64) Option { return func(o *Options) { o.Deadline.TailShare = share } }

// WithoutChecks leaves out checks.
func WithoutChecks(checks Check) Option { return func(o *Options) { o.Off |= checks } }

// NewOptions returns the default options as changed; a server makes them once for all queries.
func NewOptions(opts ...Option) Options {
	o := Options{
		Hedge:       cphedge.New(nil),
		Retry:       cpretry.New(nil),
		Deadline:    cpdeadline.New(),
		Choose:      cpsnapshot.Choose,
		MaxRestarts: defaultMaxRestarts,
		Replan:      defaultReplan,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func (o *Options) off(c Check) bool { return o.Off&c != 0 }
