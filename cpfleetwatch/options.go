package cpfleetwatch

import (
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcatalog"
	"github.com/clementineport/clementineport/cpmembership"
	"github.com/clementineport/clementineport/cpreach"
	"github.com/clementineport/clementineport/cpregistration"
	"github.com/clementineport/clementineport/cprollout"
)

// Defaults of Options.
const (
	// DefaultTickPeriod is much shorter than the periods and timeouts of the membership protocol.
	DefaultTickPeriod = 100 * time.Millisecond
	// DefaultWatchPeriod limits the rate of store calls while the fleet changes often, and the delay of an update.
	DefaultWatchPeriod = 900 * time.Millisecond
	// DefaultWatchWait is short so that a connection that went silent is detected soon.
	DefaultWatchWait = 1200 * time.Millisecond
	// storeLostFactor, times WatchPeriod plus WatchWait, is the age at which a view counts as cut off from the store. It
	// leaves room for slow answers: without changes, confirmations are up to WatchPeriod plus WatchWait apart.
	storeLostFactor = 1.3
	// DefaultStoreWatchers leaves one store watcher in each failure domain when two fail at once.
	DefaultStoreWatchers = 3
	// maxServedAgeFactor, times WatchPeriod plus WatchWait, is the age at which a view is no longer served to other VMs:
	// an answer of the store is overdue by then.
	maxServedAgeFactor = 1.1
	// maxFollowedAgeFactor, times WatchWait, is the view age at which a VM stops waiting for its upstream VM or the store alone; a
	// view is confirmed every WatchWait. It leaves time for other calls before a change must be in force.
	maxFollowedAgeFactor = 1.4
	// minWatchWaitShare is the part of WatchWait for which the store holds a watch open at least.
	minWatchWaitShare = 0.125
	// upstreamPollFactor is how many times as often an upstream VM may be called as the store; these calls put no load on
	// the store.
	upstreamPollFactor = 4
	// upstreamRetryDelay is how long a VM watches the store itself after its upstream VM failed.
	upstreamRetryDelay = 5 * time.Second
	// maxUnlistedShare is the share of the VMs that the store may fail to list for these to be probed. If more are
	// missing, the store has lost registrations.
	maxUnlistedShare = 0.25
	// newsTime is how long this VM tells others what it has learned about a target, and maxNews the number of targets of
	// each kind of news in one of these messages.
	newsTime = 10 * time.Second
	maxNews  = 64
	// reachNewsTime and maxReachNews are the same for statements about paths to targets. Many VMs may make one at the same
	// moment, so they are told for a shorter time.
	reachNewsTime = 3 * time.Second
	maxReachNews  = 256
	// loadNewsTime and maxLoadNews are the same for statements about load, which go to other VMs in exchanges only.
	loadNewsTime = 3 * time.Second
	maxLoadNews  = 64
	// activePeriod is the time between two checks of the load and the active set.
	activePeriod = time.Second
	// rolloutNewsTime and maxRolloutNews are the same for reports about rollouts. They change with every request.
	rolloutNewsTime = 3 * time.Second
	maxRolloutNews  = 512
	// rolloutPeriod is the time between two checks of the rollouts, and reportPeriod that between two reports.
	rolloutPeriod = 200 * time.Millisecond
	reportPeriod  = 400 * time.Millisecond
	// saveTimeout limits a write of the state of a rollout, and saveRetryDelay is the time until the next one if the store has
	// shown no newer state meanwhile.
	saveTimeout    = time.Second
	saveRetryDelay = time.Second
	// rolloutDrivers is the number of VMs that may drive a rollout. Each waits takeOverDelay longer than the one that ranks
	// before it, which may be paused or cut off from the store.
	rolloutDrivers = 4
	takeOverDelay  = 1500 * time.Millisecond
	// DefaultCatchUpPeriod limits the rate of calls to other VMs from a VM that can't reach the store.
	DefaultCatchUpPeriod  = 500 * time.Millisecond
	DefaultCatchUpTimeout = time.Second
	// DefaultStaleAfter is the view age at which a VM without contact to other VMs stops acting on its view.
	DefaultStaleAfter = 15 * time.Second
	// DefaultPeerTimeout is longer than the time between two exchanges with other VMs.
	DefaultPeerTimeout = 4 * time.Second
	// probePeriod is the time between two rounds of connection attempts while no target answers.
	probePeriod = 500 * time.Millisecond
	// soundPathPeriod is the time after a round that has reached a target to the next one. Targets may go on failing for reasons
	// of their own.
	soundPathPeriod = 2 * time.Second
	// probeTimeout limits a connection attempt.
	probeTimeout = 250 * time.Millisecond
	// probedTargets is the number of targets that a round of connection attempts is made to.
	probedTargets = 5
	// ownershipDelay is the time after which all VMs know what another one has stated about its path.
	ownershipDelay = time.Second
)

// Options are the settings of a Watcher.
type Options struct {
	Self   clementineport.Member
	Source clementineport.FleetSource
	// Seeds are VMs to contact while no other VM is known.
	Seeds []clementineport.VM
	// Dial returns a client for another VM; it does not block.
	Dial func(clementineport.VM) clementineport.Peer
	// NewTargetClient returns a client for a target, with a limit on its connections and the notice of an earlier client
	// for the same run of the target.
	NewTargetClient func(d clementineport.TargetInstance, connections int, notice clementineport.TargetNotice) clementineport.OpaqueTarget
	// OnRoutes is called with each new version of the routes.
	OnRoutes func(*clementineport.RouteTable)
	Clock    clementineport.Clock
	Log      *zap.Logger
	Seed     uint64
	// Catalog, Membership and Registration are options of the packages cpcatalog, cpmembership and cpregistration.
	Catalog      []cpcatalog.Option
	Membership   []cpmembership.Option
	Registration []cpregistration.Option
	// Reach tracks whether this VM reaches targets.
	Reach *cpreach.Tracker
	// Load measures the load of this VM since the last call. It is nil if this VM states none; then there is no active set.
	Load func(now time.Time) clementineport.VMLoad
	// Rollouts limits and counts the requests to new versions. RolloutStore stores the states of rollouts.
	Rollouts     *cprollout.Tracker
	RolloutStore clementineport.RolloutStore
	// TickPeriod is the interval at which periodic work is checked.
	TickPeriod time.Duration
	// WatchPeriod is the minimum time between the starts of two store calls.
	WatchPeriod time.Duration
	// WatchWait is how long the store holds a watch open without a change.
	WatchWait time.Duration
	// StoreWatchers is the number of VMs per failure domain that watch the store; the other VMs get updates from them.
	StoreWatchers int
	// CatchUpPeriod is the time between calls to other VMs while the store does not answer.
	CatchUpPeriod  time.Duration
	CatchUpTimeout time.Duration
	// StaleAfter is the view age, and PeerTimeout the time without contact to another VM, above which a VM is isolated.
	StaleAfter  time.Duration
	PeerTimeout time.Duration
}

// Option changes Options.
type Option func(*Options)

// NewOptions returns the defaults changed by opts.
func NewOptions(opts ...Option) Options {
	options := Options{
		Clock:          clockwork.NewRealClock(),
		Log:            zap.NewNop(),
		Dial:           func(clementineport.VM) clementineport.Peer { return nil },
		OnRoutes:       func(*clementineport.RouteTable) {},
		Reach:          cpreach.New(),
		Rollouts:       cprollout.NewTracker(),
		TickPeriod:     DefaultTickPeriod,
		WatchPeriod:    DefaultWatchPeriod,
		WatchWait:      DefaultWatchWait,
		StoreWatchers:  DefaultStoreWatchers,
		CatchUpPeriod:  DefaultCatchUpPeriod,
		CatchUpTimeout: DefaultCatchUpTimeout,
		StaleAfter:     DefaultStaleAfter,
		PeerTimeout:    DefaultPeerTimeout,
	}
	for _, o := range opts {
		o(&options)
	}
	return options
}

// StoreLostAfter returns the view age above which the store counts as lost: registrations that are missing when it is back may
// merely have expired during the outage.
func (o *Options) StoreLostAfter() time.Duration {
	return time.Duration(storeLostFactor * float64(o.WatchPeriod+o.WatchWait))
}

// MaxServedAge returns the view age above which the view is not served to other VMs.
func (o *Options) MaxServedAge() time.Duration {
	return time.Duration(maxServedAgeFactor * float64(o.WatchPeriod+o.WatchWait))
}

// MaxFollowedAge returns the view age above which this VM doesn't wait for its upstream VM, and asks any other for its state.
func (o *Options) MaxFollowedAge() time.Duration {
	return time.Duration(maxFollowedAgeFactor * float64(o.WatchWait))
}

// MinWatchWait returns how long the store holds a watch open at least.
func (o *Options) MinWatchWait() time.Duration {
	return time.Duration(minWatchWaitShare * float64(o.WatchWait))
}

// WithStoreWatchers sets the number of VMs per failure domain that watch the store.
func WithStoreWatchers(n int) Option { return func(o *Options) { o.StoreWatchers = n } }

// WithSelf sets the member record of this VM.
func WithSelf(m clementineport.Member) Option { return func(o *Options) { o.Self = m } }

// WithSource sets the source of updates from the store.
func WithSource(s clementineport.FleetSource) Option { return func(o *Options) { o.Source = s } }

// WithSeeds sets VMs to contact while no other VM is known.
func WithSeeds(vms ...clementineport.VM) Option { return func(o *Options) { o.Seeds = vms } }

// WithDial sets the function that returns a client for another VM.
func WithDial(dial func(clementineport.VM) clementineport.Peer) Option {
	return func(o *Options) { o.Dial = dial }
}

// WithTargetClient sets the function that returns a client for a target.
func WithTargetClient(f func(d clementineport.TargetInstance, connections int, notice clementineport.TargetNotice) clementineport.OpaqueTarget) Option {
	return func(o *Options) { o.NewTargetClient = f }
}

// WithReach sets the tracker of whether this VM reaches targets.
func WithReach(t *cpreach.Tracker) Option { return func(o *Options) { o.Reach = t } }

// WithLoad sets the function that measures the load of this VM since its last call.
func WithLoad(f func(now time.Time) clementineport.VMLoad) Option {
	return func(o *Options) { o.Load = f }
}

// WithRollouts sets the tracker that limits and counts the requests to new versions, and the store of the states of rollouts.
func WithRollouts(t *cprollout.Tracker, store clementineport.RolloutStore) Option {
	return func(o *Options) { o.Rollouts, o.RolloutStore = t, store }
}

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithLog sets the log.
func WithLog(l *zap.Logger) Option { return func(o *Options) { o.Log = l } }

// WithSeed sets the seed of the random choice of peers.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithIsolation sets the view age and the time without contact to another VM above which a VM is isolated.
func WithIsolation(staleAfter, peerTimeout time.Duration) Option {
	return func(o *Options) { o.StaleAfter, o.PeerTimeout = staleAfter, peerTimeout }
}

// WithOnRoutes sets a function to call with each new version of the routes.
func WithOnRoutes(f func(*clementineport.RouteTable)) Option {
	return func(o *Options) { o.OnRoutes = f }
}

// WithWatchTimes sets the minimum time between store calls, and how long the store holds a watch open.
func WithWatchTimes(period, wait time.Duration) Option {
	return func(o *Options) { o.WatchPeriod, o.WatchWait = period, wait }
}

// WithCatchUpPeriod sets the time between calls to other VMs while the store does not answer.
func WithCatchUpPeriod(d time.Duration) Option { return func(o *Options) { o.CatchUpPeriod = d } }

// WithRegistration sets options of the registration; without a registrar, this VM doesn't register.
func WithRegistration(opts ...cpregistration.Option) Option {
	return func(o *Options) { o.Registration = opts }
}

// WithCatalog sets options of the catalog.
func WithCatalog(opts ...cpcatalog.Option) Option { return func(o *Options) { o.Catalog = opts } }
