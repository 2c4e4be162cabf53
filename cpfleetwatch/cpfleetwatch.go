// Package cpfleetwatch keeps a VM's view of the fleet current: the routes, the targets that registered themselves, the
// failure domains that are out of service, and the other VMs.
//
// One goroutine owns the state and publishes it as an immutable View. The news comes from the platform's store or,
// when this VM can't reach it, from other VMs. What follows from the news is decided in cpcatalog and cpmembership;
// this package only carries it out.
package cpfleetwatch

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcatalog"
	"github.com/clementineport/clementineport/cpchangelog"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cpmembership"
	"github.com/clementineport/clementineport/cppeerconns"
	"github.com/clementineport/clementineport/cpquota"
)

// eventBacklog is the number of events that may wait for the loop.
const eventQueueSize = 256

// Follower is the control state of one VM. Its exported methods are safe for concurrent use.
type Watcher struct {
	options Options
	view    atomic.Pointer[cpfleetstate.View]
	events  chan event
	// confirmed is when the catalog was last known to be complete, as a time that traffic reads.
	confirmed atomic.Pointer[time.Time]
	// contacted is when another VM last answered.
	lastPeerContact atomic.Pointer[time.Time]
	// heardOf is closed and replaced when there was news, also that nothing has changed.
	updated atomic.Pointer[chan struct{}]
	// shunPeers is until when this VM follows the store because another VM did not answer; it belongs to the feed.
	avoidUpstreamUntil time.Time

	// The fields below belong to the loop.
	catalog          *cpcatalog.Catalog
	history          *cpchangelog.History
	membership       *cpmembership.Membership
	peers            *cppeerconns.Peers
	vms              cpquota.VMs
	states           map[clementineport.TargetID]*cpfleetstate.Target
	publishedVersion uint64
	vmCount          int
	dirty            bool
	catchingUp       bool
	nextCatchUp      time.Time
}

// event is something that happened outside of the loop.
type event func(ctx context.Context, w *Watcher, now time.Time)

// New returns a follower that knows nothing yet; Serve runs it.
func New(opts ...Option) *Watcher {
	options := NewOptions(opts...)
	w := &Watcher{
		options:    options,
		events:     make(chan event, eventQueueSize),
		catalog:    cpcatalog.New(append([]cpcatalog.Option{cpcatalog.WithOutageAfter(options.StoreLostAfter())}, options.Catalog...)...),
		membership: cpmembership.New(options.Self, append([]cpmembership.Option{cpmembership.WithSeed(options.Seed)}, options.Member...)...),
		peers:      cppeerconns.New(options.Dial),
		history:    cpchangelog.New(),
		states:     map[clementineport.TargetID]*cpfleetstate.Target{},
	}
	zero := time.Time{}
	w.confirmed.Store(&zero)
	w.lastPeerContact.Store(&zero)
	none := make(chan struct{})
	w.updated.Store(&none)
	w.publish(options.Clock.Now())
	return w
}

// View returns the newest view.
func (w *Watcher) View() *cpfleetstate.View { return w.view.Load() }

// Age returns how long ago the view was known to be complete.
func (w *Watcher) Age() time.Duration { return w.options.Clock.Now().Sub(*w.confirmed.Load()) }

// Isolated reports whether this VM must not act on what it knows: it is too old, and no other VM has answered
// lately either. In an outage of the store the other VMs answer, so that the fleet goes on with what it knows.
func (w *Watcher) Isolated() bool {
	now := w.options.Clock.Now()
	return now.Sub(*w.confirmed.Load()) > w.options.StaleAfter && now.Sub(*w.lastPeerContact.Load()) > w.options.PeerTimeout
}

// Leave tells the other VMs that this VM is shutting down.
func (w *Watcher) Leave() {
	w.events <- func(_ context.Context, w *Watcher, _ time.Time) { w.membership.Leave() }
}

// Serve runs the loop until ctx ends; it implements suture.Service.
func (w *Watcher) Serve(ctx context.Context) error {
	go w.watchStore(ctx)
	go w.register(ctx)
	tick := w.options.Clock.After(w.options.TickPeriod)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-w.events:
			e(ctx, w, w.options.Clock.Now())
		case <-tick:
			w.runDue(ctx, w.options.Clock.Now())
			tick = w.options.Clock.After(w.options.TickPeriod)
		}
		if w.dirty {
			w.publish(w.options.Clock.Now())
		}
	}
}

// step carries out what is due.
func (w *Watcher) runDue(ctx context.Context, now time.Time) {
	if w.catalog.Tick(now) {
		w.dirty = true
	}
	for _, a := range w.membership.Tick(now) {
		w.exchange(ctx, a)
	}
	w.catchUp(ctx, now)
	if w.membership.Version() != w.publishedVersion || w.vms.Seen(now, w.activeVMs()) != w.vmCount {
		w.dirty = true
	}
}

// send gives an event to the loop.
func (w *Watcher) enqueue(ctx context.Context, e event) {
	select {
	case w.events <- e:
	case <-ctx.Done():
	}
}

// heard takes news that was asked for at a time.
func (w *Watcher) apply(now, requestedAt time.Time, update *clementineport.FleetUpdate, source string) {
	before, version := w.catalog.AsOf(), w.routesVersion()
	cooled := w.newlyCold(now, update)
	changed := w.catalog.Apply(now, requestedAt, update)
	confirmed := w.catalog.Confirmed()
	w.confirmed.Store(&confirmed)
	if w.catalog.AsOf() != before {
		w.history.Add(before, update)
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
		w.options.Log.Info(string(cplogevent.RoutesChanged), zap.Uint64("Version", uint64(w.routesVersion())),
			zap.Int("Routes", len(w.catalog.Routes().Routes)), zap.String("Source", source))
	}
	w.options.Log.Info(string(cplogevent.FleetChanged), zap.Uint64("From", uint64(before)), zap.Uint64("AsOf", uint64(w.catalog.AsOf())),
		zap.Int("Targets", len(w.catalog.Targets())), zap.Int("VMs", len(w.catalog.VMs())),
		zap.Int("Registered", len(update.Targets)), zap.Int("Gone", len(update.Gone)), zap.String("Source", source))
}

// cooled returns the targets that are known as warm and that news tells to be cold.
func (w *Watcher) newlyCold(now time.Time, update *clementineport.FleetUpdate) (cold []*clementineport.TargetInstance) {
	for i := range update.Targets {
		d := &update.Targets[i]
		if current := w.catalog.Targets()[d.ID]; d.ColdLeft > 0 && current != nil && !current.Cold(now) {
			cold = append(cold, d)
		}
	}
	return cold
}

// routesVersion returns the version of the routes, or zero.
func (w *Watcher) routesVersion() clementineport.Revision {
	if w.catalog.Routes() == nil {
		return 0
	}
	return w.catalog.Routes().Version
}

// listed tells the membership which VMs the store lists.
func (w *Watcher) updateMembership(now time.Time) {
	registered := w.catalog.VMs()
	vms := make([]clementineport.VM, 0, len(registered))
	for _, vm := range registered {
		vms = append(vms, vm)
	}
	w.membership.SetListed(now, vms)
	for _, m := range w.membership.Members() {
		if _, ok := registered[m.ID]; !ok && m.State == clementineport.MemberAlive {
			w.membership.RequestProbe(now, m.ID)
		}
	}
}
