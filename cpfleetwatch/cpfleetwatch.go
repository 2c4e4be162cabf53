// Package cpfleetwatch keeps a VM's view of the fleet current: the routes, the targets that registered themselves, the
// failure domains that are out of service, and the other VMs.
//
// One goroutine owns the state and publishes it as an immutable View. Updates come from the platform's store, either
// directly or through another VM. Packages cpcatalog and cpmembership decide how an update changes the state; this
// package makes the calls and applies the results.
package cpfleetwatch

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpactiveset"
	"github.com/clementineport/clementineport/cpcatalog"
	"github.com/clementineport/clementineport/cpchangelog"
	"github.com/clementineport/clementineport/cpcrash"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cplog"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cpmembership"
	"github.com/clementineport/clementineport/cppeerconns"
	"github.com/clementineport/clementineport/cpquota"
	"github.com/clementineport/clementineport/cpreach"
	"github.com/clementineport/clementineport/cpregistration"
	"github.com/clementineport/clementineport/cprollout"
)

// eventQueueSize is the number of events that can wait for the loop.
const eventQueueSize = 256

// Watcher maintains the fleet view of one VM. Its exported methods are safe for concurrent use.
type Watcher struct {
	options Options
	view    atomic.Pointer[cpfleetstate.View]
	events  chan event
	// confirmed is when the catalog was last known to be complete; requests read it concurrently.
	confirmed atomic.Pointer[time.Time]
	// lastPeerContact is when another VM last called or answered.
	lastPeerContact atomic.Pointer[time.Time]
	// updated is closed and replaced after each update, including one that reports no change.
	updated atomic.Pointer[chan struct{}]
	// source is where this VM gets its updates from: storeSource or the id of a VM. Only watchStore sets it.
	source atomic.Pointer[string]
	// avoidUpstreamUntil is the time until which this VM watches the store itself because its upstream VM failed.
	// Only watchStore accesses it.
	avoidUpstreamUntil time.Time
	registration       *cpregistration.Keeper

	// The fields below are owned by the loop.
	catalog          *cpcatalog.Catalog
	crashes          *cpcrash.Tracker
	reach            *cpreach.Statements
	history          *cpchangelog.History
	membership       *cpmembership.Membership
	peers            *cppeerconns.Peers
	vms              cpquota.VMCount
	states           map[clementineport.TargetID]*cpfleetstate.Target
	notices          map[clementineport.TargetRun]clementineport.TargetNotice
	publishedVersion uint64
	vmCount          int
	dirty            bool
	catchingUp       bool
	nextCatchUp      time.Time
	newerRoutes      newerRoutes
	probing          bool
	nextProbe        time.Time
	loads            *cpactiveset.Loads
	active           *cpactiveset.Tracker
	nextActive       time.Time
	// loggedActive is the set of the latest log line.
	loggedActive *cpactiveset.Set
	// lostAt is when this VM found that it reaches no target, or zero while it reaches some.
	lostAt time.Time
	// ownsFrom is when the others know that this VM reaches targets again, so that they leave its cold targets to it.
	ownsFrom time.Time
	// reports, rollouts and nextRollouts belong to rollouts.
	reports      *cprollout.Reports
	rollouts     map[clementineport.ServiceID]*rolloutWatch
	nextRollouts time.Time
}

// event is a function that another goroutine passes to the loop to run there.
type event func(ctx context.Context, w *Watcher, now time.Time)

// New returns a watcher with an empty view; Serve runs it.
func New(opts ...Option) *Watcher {
	options := NewOptions(opts...)
	w := &Watcher{
		options:    options,
		events:     make(chan event, eventQueueSize),
		catalog:    cpcatalog.New(append([]cpcatalog.Option{cpcatalog.WithOutageAfter(options.StoreLostAfter())}, options.Catalog...)...),
		membership: cpmembership.New(options.Self, append([]cpmembership.Option{cpmembership.WithSeed(options.Seed)}, options.Membership...)...),
		peers:      cppeerconns.New(options.Dial),
		history:    cpchangelog.New(),
		crashes:    cpcrash.New(),
		reach:      cpreach.NewStatements(),
		loads:      cpactiveset.NewLoads(),
		active:     cpactiveset.NewTracker(cpactiveset.WithSelf(options.Self.ID)),
		states:     map[clementineport.TargetID]*cpfleetstate.Target{},
		notices:    map[clementineport.TargetRun]clementineport.TargetNotice{},
		reports:    cprollout.NewReports(),
		rollouts:   map[clementineport.ServiceID]*rolloutWatch{},
	}
	zero := time.Time{}
	w.confirmed.Store(&zero)
	w.lastPeerContact.Store(&zero)
	none := make(chan struct{})
	w.updated.Store(&none)
	source := storeSource
	w.source.Store(&source)
	w.registration = cpregistration.New(append([]cpregistration.Option{
		cpregistration.WithVM(options.Self.VM), cpregistration.WithView(w.View), cpregistration.WithClock(options.Clock),
		cpregistration.WithLog(options.Log),
	}, options.Registration...)...)
	w.publish(options.Clock.Now())
	return w
}

// View returns the latest view.
func (w *Watcher) View() *cpfleetstate.View { return w.view.Load() }

// StoreEra returns the era of the store that the latest view is from.
func (w *Watcher) StoreEra() clementineport.StoreEra { return w.View().AsOf.Era }

// Age returns the time since the view was last known to be complete.
func (w *Watcher) Age() time.Duration { return w.options.Clock.Now().Sub(*w.confirmed.Load()) }

// Isolated reports whether this VM must not act on its view: the view is stale, and there was no recent contact with
// another VM. During a store outage the VMs still reach each other, so the fleet keeps serving with its last view.
func (w *Watcher) Isolated() bool {
	now := w.options.Clock.Now()
	return now.Sub(*w.confirmed.Load()) > w.options.StaleAfter && now.Sub(*w.lastPeerContact.Load()) > w.options.PeerTimeout
}

// Leave announces to the other VMs that this VM is shutting down, and ends the renewals of its registration.
func (w *Watcher) Leave() {
	w.registration.Stop()
	w.events <- func(_ context.Context, w *Watcher, _ time.Time) { w.membership.Leave() }
}

// Serve runs the loop until ctx ends; it implements suture.Service.
func (w *Watcher) Serve(ctx context.Context) error {
	go w.watchStore(ctx)
	go w.registration.Run(ctx)
	tick := w.options.Clock.After(w.options.TickPeriod)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-w.events:
			e(ctx, w, w.options.Clock.Now())
			w.runWaiting(ctx)
		case <-tick:
			w.runDue(ctx, w.options.Clock.Now())
			tick = w.options.Clock.After(w.options.TickPeriod)
		}
		if w.dirty {
			w.publish(w.options.Clock.Now())
		}
	}
}

// runWaiting runs the events that are waiting, so that one view is published for all of them.
func (w *Watcher) runWaiting(ctx context.Context) {
	for range eventQueueSize {
		select {
		case e := <-w.events:
			e(ctx, w, w.options.Clock.Now())
		default:
			return
		}
	}
}

// runDue runs the periodic work that is due.
func (w *Watcher) runDue(ctx context.Context, now time.Time) {
	if w.catalog.Tick(now) {
		w.dirty = true
	}
	if w.crashes.Tick(now) {
		w.dirty = true
	}
	presuming := w.membership.Presuming()
	for _, a := range w.membership.Tick(now) {
		w.exchange(ctx, a)
	}
	if presuming && !w.membership.Presuming() {
		w.logFleetKnown()
	}
	w.catchUp(ctx, now)
	w.checkReach(ctx, now)
	w.checkActive(now)
	w.checkRollouts(ctx, now)
	if w.membership.Version() != w.publishedVersion || w.vms.Observe(now, w.activeVMs()) != w.vmCount {
		w.dirty = true
	}
}

// enqueue passes an event to the loop.
func (w *Watcher) enqueue(ctx context.Context, e event) {
	select {
	case w.events <- e:
	case <-ctx.Done():
	}
}

// apply applies an update that was requested at requestedAt and logs what changed.
func (w *Watcher) apply(now, requestedAt time.Time, update *clementineport.FleetUpdate, source string) {
	before, version, replaced := w.catalog.AsOf(), w.routesVersion(), w.catalog.Confirmed()
	cooled := w.newlyCold(now, update)
	w.applyNews(now, &update.TargetNews, source)
	changed := w.catalog.Apply(now, requestedAt, update)
	confirmed := w.catalog.Confirmed()
	w.confirmed.Store(&confirmed)
	if w.catalog.AsOf() != before {
		w.history.Add(before, update)
	}
	if w.catalog.AsOf().Era != before.Era && !before.IsZero() {
		w.storeRestored(before, source)
	}
	w.notifyWaiters()
	if len(update.Faults) > 0 {
		w.options.Log.Warn(string(cplogevent.EntriesRejected), zap.Strings("Faults", update.Faults), zap.String("Source", source))
	}
	if !changed {
		return
	}
	w.dirty = true
	w.updateMembership(now)
	for _, d := range cooled {
		w.options.Log.Info(string(cplogevent.TargetCold), zap.String("Target", string(d.ID)), zap.String("Service", string(d.Service)),
			zap.Duration("ColdLeft", d.ColdLeft))
	}
	if w.routesVersion() != version {
		w.logRoutes(now, replaced, source)
	}
	w.options.Log.Info(string(cplogevent.FleetChanged), zap.Uint64("From", uint64(before.Revision)), cplog.Position(w.catalog.AsOf()),
		zap.Int("Targets", len(w.catalog.Targets())), zap.Int("VMs", len(w.catalog.VMs())),
		zap.Int("Registered", len(update.Targets)), zap.Int("Gone", len(update.Gone)), zap.String("Source", source))
}

// logRoutes logs the version of the routes that is now in force. The store has had it since replaced at the earliest, when the view
// was last known to be complete before; zero means that there was none.
func (w *Watcher) logRoutes(now, replaced time.Time, source string) {
	fields := []zap.Field{
		zap.Uint64("Version", uint64(w.routesVersion())), zap.Int("Routes", len(w.catalog.Routes().Routes)), zap.String("Source", source),
	}
	if !replaced.IsZero() {
		fields = append(fields, zap.Duration("ViewAge", now.Sub(replaced)))
	}
	w.options.Log.Info(string(cplogevent.RoutesChanged), fields...)
}

// logFleetKnown logs which VMs this VM knows when it stops presuming that the listed ones are alive.
func (w *Watcher) logFleetKnown() {
	members := w.membership.Members()
	known := map[clementineport.VMID]bool{}
	for i := range members {
		known[members[i].ID] = true
	}
	unreached := 0
	for id := range w.catalog.VMs() {
		if !known[id] {
			unreached++
		}
	}
	w.options.Log.Info(string(cplogevent.FleetKnown), zap.Int("Members", len(members)), zap.Int("Unreached", unreached))
}

// storeRestored logs that the store was restored and makes this VM register again.
func (w *Watcher) storeRestored(before clementineport.StorePosition, source string) {
	w.options.Log.Warn(string(cplogevent.StoreRestored), zap.Uint64("FromEra", uint64(before.Era)), zap.Uint64("From", uint64(before.Revision)),
		cplog.Position(w.catalog.AsOf()), zap.String("Source", source))
	w.registration.Lost()
}

// newlyCold returns the targets that the catalog has as warm and the update reports as cold.
func (w *Watcher) newlyCold(now time.Time, update *clementineport.FleetUpdate) (cold []*clementineport.TargetInstance) {
	for i := range update.Targets {
		d := &update.Targets[i]
		if current := w.catalog.Targets()[d.ID]; d.ColdLeft > 0 && current != nil && !current.Cold(now) {
			cold = append(cold, d)
		}
	}
	return cold
}

// routesVersion returns the version of the routes, or zero without routes.
func (w *Watcher) routesVersion() clementineport.Revision {
	if w.catalog.Routes() == nil {
		return 0
	}
	return w.catalog.Routes().Version
}

// updateMembership passes the VMs that the store lists to the membership, and requests a probe of each live member that
// the store doesn't list, unless these are so many that the store must have lost them.
func (w *Watcher) updateMembership(now time.Time) {
	registered := w.catalog.VMs()
	vms := make([]clementineport.VM, 0, len(registered))
	for _, vm := range registered {
		vms = append(vms, vm)
	}
	w.membership.SetListed(now, vms)
	members := w.membership.Members()
	var unlisted []clementineport.VMID
	for i := range members {
		if _, ok := registered[members[i].ID]; !ok && members[i].State == clementineport.MemberAlive {
			unlisted = append(unlisted, members[i].ID)
		}
	}
	if float64(len(unlisted)) > maxUnlistedShare*float64(len(members)) {
		return
	}
	for _, id := range unlisted {
		w.membership.RequestProbe(now, id)
	}
}
