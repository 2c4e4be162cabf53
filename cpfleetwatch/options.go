package cpfleetwatch

import (
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcatalog"
	"github.com/clementineport/clementineport/cpmembership"
)

// Defaults of Options.
const (
	// DefaultTickPeriod is short beside the times of the membership.
	DefaultTickPeriod = 100 * time.Millisecond
	// DefaultFeedPeriod bounds the calls to the store while much changes, and how late a change is known.
	DefaultWatchPeriod = 900 * time.Millisecond
	// DefaultFeedWait keeps a quiet watch short enough to know soon that a connection went silent.
	DefaultWatchWait = 1200 * time.Millisecond
	// DefaultRenewPeriod is a third of the shortest useful lease.
	DefaultRenewPeriod = time.Second
	// quietFactor times a period and a wait of the feed is longer than what lies between two confirmations in quiet
	// times, also while the store answers slowly. A view that is older has lost the store.
	storeLostFactor = 1.3
	// DefaultStoreFollowers leaves one that follows the store in each failure domain when two fail at once.
	DefaultStoreWatchers = 3
	// peerAgeFactor times a period and a wait of the feed is the age of a view above which it is not told to VMs that
	// follow this one: an answer of the store is overdue.
	maxServedAgeFactor = 1.1
	// peerFeedFactor is how many times as often as the store another VM is asked at most: that costs the store nothing.
	upstreamPollFactor = 4
	// shunTime is how long a VM follows the store itself after another VM did not answer.
	upstreamRetryDelay = 5 * time.Second
	// DefaultCatchUpPeriod bounds what a VM without the store asks of the others.
	DefaultCatchUpPeriod  = 500 * time.Millisecond
	DefaultCatchUpTimeout = time.Second
	// DefaultStaleAfter is the age from which a VM that reaches nobody stops acting on what it knows.
	DefaultStaleAfter = 15 * time.Second
	// DefaultAloneAfter is longer than the time between two exchanges with other VMs.
	DefaultPeerTimeout = 4 * time.Second
)

// Options are the settings of a Follower.
type Options struct {
	Self      clementineport.Member
	Source    clementineport.FleetSource
	Registrar clementineport.Registrar
	// Seeds are VMs that may be asked before any is known.
	Seeds []clementineport.VM
	// Dial returns the port to another VM; it does not block.
	Dial func(clementineport.VM) clementineport.Peer
	// NewPort returns the port to a target with a number of connections.
	NewTargetClient func(d clementineport.TargetInstance, connections int) clementineport.OpaqueTarget
	// OnRoutes is told of each new version of the routes.
	OnRoutes func(*clementineport.RouteTable)
	Clock    clementineport.Clock
	Log      *zap.Logger
	Seed     uint64
	Catalog  []cpcatalog.Option
	Member   []cpmembership.Option
	// TickPeriod is the time between two looks at what is due.
	TickPeriod time.Duration
	// FeedPeriod is the least time between two calls to the store, FeedWait how long a watch may wait.
	WatchPeriod time.Duration
	WatchWait   time.Duration
	// RenewPeriod is the time between two renewals of the registration.
	RenewPeriod time.Duration
	// StoreFollowers is the number of VMs of a failure domain that follow the store; the others follow them.
	StoreWatchers int
	// CatchUpPeriod is the time between two questions to other VMs while the store does not answer.
	CatchUpPeriod  time.Duration
	CatchUpTimeout time.Duration
	// StaleAfter and AloneAfter say when a VM is isolated.
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
		TickPeriod:     DefaultTickPeriod,
		WatchPeriod:    DefaultWatchPeriod,
		WatchWait:      DefaultWatchWait,
		RenewPeriod:    DefaultRenewPeriod,
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

// LostAfter returns the age of a view that has lost the store: from then on other VMs are asked, and registrations that
// are gone at its return may only have lapsed.
func (o *Options) StoreLostAfter() time.Duration {
	return time.Duration(storeLostFactor * float64(o.WatchPeriod+o.WatchWait))
}

// PeerAge returns the age of a view that is too old to be told to VMs that follow this one.
func (o *Options) MaxServedAge() time.Duration {
	return time.Duration(maxServedAgeFactor * float64(o.WatchPeriod+o.WatchWait))
}

// WithStoreFollowers sets the number of VMs of a failure domain that follow the store.
func WithStoreWatchers(n int) Option { return func(o *Options) { o.StoreWatchers = n } }

// WithSelf sets what this VM says about itself.
func WithSelf(m clementineport.Member) Option { return func(o *Options) { o.Self = m } }

// WithFeed sets where news comes from.
func WithSource(f clementineport.FleetSource) Option { return func(o *Options) { o.Source = f } }

// WithRegistrar sets how this VM makes itself known.
func WithRegistrar(r clementineport.Registrar) Option { return func(o *Options) { o.Registrar = r } }

// WithSeeds sets VMs that may be asked before any is known.
func WithSeeds(vms ...clementineport.VM) Option { return func(o *Options) { o.Seeds = vms } }

// WithDial sets how other VMs are reached.
func WithDial(dial func(clementineport.VM) clementineport.Peer) Option {
	return func(o *Options) { o.Dial = dial }
}

// WithNewPort sets how targets are reached.
func WithTargetClient(f func(d clementineport.TargetInstance, connections int) clementineport.OpaqueTarget) Option {
	return func(o *Options) { o.NewTargetClient = f }
}

// WithClock sets the clock.
func WithClock(c clementineport.Clock) Option { return func(o *Options) { o.Clock = c } }

// WithLog sets the log.
func WithLog(l *zap.Logger) Option { return func(o *Options) { o.Log = l } }

// WithSeed seeds the choice of peers.
func WithSeed(seed uint64) Option { return func(o *Options) { o.Seed = seed } }

// WithStale sets when a VM is isolated.
func WithIsolation(staleAfter, aloneAfter time.Duration) Option {
	return func(o *Options) { o.StaleAfter, o.PeerTimeout = staleAfter, aloneAfter }
}

// WithRenewPeriod sets the time between two renewals of the registration.
func WithRenewPeriod(d time.Duration) Option { return func(o *Options) { o.RenewPeriod = d } }

// WithOnRoutes sets what is told of each new version of the routes.
func WithOnRoutes(f func(*clementineport.RouteTable)) Option {
	return func(o *Options) { o.OnRoutes = f }
}

// WithFeedTimes sets the least time between two calls to the store, and how long a watch may wait.
func WithWatchTimes(period, wait time.Duration) Option {
	return func(o *Options) { o.WatchPeriod, o.WatchWait = period, wait }
}

// WithCatchUpPeriod sets the time between two questions to other VMs while the store does not answer.
func WithCatchUpPeriod(d time.Duration) Option { return func(o *Options) { o.CatchUpPeriod = d } }

// WithCatalog sets options of the catalog.
func WithCatalog(opts ...cpcatalog.Option) Option { return func(o *Options) { o.Catalog = opts } }
