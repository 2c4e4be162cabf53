package cpgather

import (
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpsnapshot"
)

// Defaults of Options.
const (
	defaultHedgeShare      = 0.03
	defaultHedgeFactor     = 1.25
	defaultProjectedFactor = 2
	defaultMaxHedges       = 2
	defaultMaxRetries      = 8
	defaultMaxRestarts     = 1
	defaultTailCut         = 0.5
	defaultReserve         = 20 * time.Millisecond
	defaultWaitShare       = 0.25
	defaultBackoff         = 5 * time.Millisecond
	defaultRecheck         = 10 * time.Millisecond
	defaultReplan          = 20 * time.Millisecond
)

const (
	// reserveShare is the part of the deadline that the reserve may take at most, as a divisor.
	reserveShare = 10
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

// ChooseFunc chooses a snapshot; cpsnapshot.Choose and the method of its Cache have this form.
type ChooseFunc func(
	service *clementineport.ServiceTable, view clementineport.TargetView, now time.Time, avoid ...clementineport.Snapshot,
) (cpsnapshot.Choice, bool)

// Options are the settings of a Machine.
type Options struct {
	// HedgeBudget bounds hedges; without one there are none.
	HedgeBudget clementineport.Budget
	// RetryBudget bounds retries that cost load; without one only free ones are made.
	RetryBudget clementineport.Budget
	// HedgeOff reports that the tier or its targets are loaded, so that no hedge is sent.
	HedgeOff func() bool
	// Choose chooses another snapshot when the pinned one is lost.
	Choose ChooseFunc
	// HedgeShare is the share of shards that, once only they are outstanding, hold the query up.
	HedgeShare float64
	// HedgeFactor is how many times its usual time a call takes before it is hedged, once few are outstanding.
	HedgeFactor float64
	// ProjectedFactor is the same for a call that is hedged whatever the others do.
	ProjectedFactor float64
	// MaxHedges and MaxRetries bound the calls for one shard, but for retries after a full target refused
	// it; MaxRestarts bounds the restarts of the query.
	MaxHedges   int
	MaxRetries  int
	MaxRestarts int
	// TailCut is the share of the deadline after which PreferTail leaves out stragglers.
	TailCut float64
	// Reserve is the time before the deadline at which the answer is closed.
	Reserve time.Duration
	// WaitShare is the share of the deadline in which a shard waits between retries.
	WaitShare float64
	// Backoff is the delay before the first retry when every target has been tried.
	Backoff time.Duration
	// Recheck is the delay after a hedge that the budget or the load did not allow.
	Recheck time.Duration
	// Replan is the least time between two looks for another snapshot.
	Replan time.Duration
	// Off are the checks left out.
	Off Check
}

// Option changes Options.
type Option func(*Options)

// Budgets sets the budgets of hedges and retries.
func Budgets(hedge, retry clementineport.Budget) Option {
	return func(o *Options) { o.HedgeBudget, o.RetryBudget = hedge, retry }
}

// HedgeOff sets what reports that no hedge is to be sent.
func HedgeOff(off func() bool) Option { return func(o *Options) { o.HedgeOff = off } }

// Choose sets how another snapshot is chosen.
func Choose(choose ChooseFunc) Option { return func(o *Options) { o.Choose = choose } }

// TailCut sets the share of the deadline after which PreferTail leaves out stragglers.
func TailCut(share float64) Option { return func(o *Options) { o.TailCut = share } }

// Without leaves out checks.
func Without(checks Check) Option { return func(o *Options) { o.Off |= checks } }

// NewOptions returns the default options as changed; a server makes them once for all queries.
func NewOptions(opts ...Option) Options { return newOptions(opts...) }

func newOptions(opts ...Option) Options {
	o := Options{
		Choose:          cpsnapshot.Choose,
		HedgeShare:      defaultHedgeShare,
		HedgeFactor:     defaultHedgeFactor,
		ProjectedFactor: defaultProjectedFactor,
		MaxHedges:       defaultMaxHedges,
		MaxRetries:      defaultMaxRetries,
		MaxRestarts:     defaultMaxRestarts,
		TailCut:         defaultTailCut,
		Reserve:         defaultReserve,
		WaitShare:       defaultWaitShare,
		Backoff:         defaultBackoff,
		Recheck:         defaultRecheck,
		Replan:          defaultReplan,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

func (o *Options) off(c Check) bool { return o.Off&c != 0 }
