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
const eventBacklog = 256

// Follower is the control state of one VM. Its exported methods are safe for concurrent use.
type Watcher struct {
	options Options
	view    atomic.Pointer[cpfleetstate.View]
	events  chan event
	// confirmed is when the catalog was last known to be complete, as a time that traffic reads.
	confirmed atomic.Pointer[time.Time]
	// contacted is when another VM last answered.
	contacted atomic.Pointer[time.Time]
	// heardOf is closed and replaced when there was news, also that nothing has changed.
	heardOf atomic.Pointer[chan struct{}]
	// shunPeers is until when this VM follows the store because another VM did not answer; it belongs to the feed.
	shunPeers time.Time

	// The fields below belong to the loop.
	catalog   *cpcatalog.Catalog
	history   *cpchangelog.History
	member    *cpmembership.Membership
	peers     *cppeerconns.Peers
	vms       cpquota.VMs
	states    map[clementineport.TargetID]*cpfleetstate.Target
	published uint64
	divided   int
	dirty     bool
	catching  bool
	nextCatch time.Time
}

// event is something that happened outside of the loop.
type event func(ctx context.Context, f *Watcher, now time.Time)

// New returns a follower that knows nothing yet; Serve runs it.
func New(opts ...Option) *Watcher {
	options := NewOptions(opts...)
	f := &Watcher{
		options: options,
		events:  make(chan event, eventBacklog),
		catalog: cpcatalog.New(append([]cpcatalog.Option{cpcatalog.WithOutageAfter(options.StoreLostAfter())}, options.Catalog...)...),
		member:  cpmembership.New(options.Self, append([]cpmembership.Option{cpmembership.WithSeed(options.Seed)}, options.Member...)...),
		peers:   cppeerconns.New(options.Dial),
		history: cpchangelog.New(),
		states:  map[clementineport.TargetID]*cpfleetstate.Target{},
	}
	zero := time.Time{}
	f.confirmed.Store(&zero)
	f.contacted.Store(&zero)
	none := make(chan struct{})
	f.heardOf.Store(&none)
	f.publish(options.Clock.Now())
	return f
}

// View returns the newest view.
func (f *Watcher) View() *cpfleetstate.View { return f.view.Load() }

// Age returns how long ago the view was known to be complete.
func (f *Watcher) Age() time.Duration { return f.options.Clock.Now().Sub(*f.confirmed.Load()) }

// Isolated reports whether this VM must not act on what it knows: it is too old, and no other VM has answered
// lately either. In an outage of the store the other VMs answer, so that the fleet goes on with what it knows.
func (f *Watcher) Isolated() bool {
	now := f.options.Clock.Now()
	return now.Sub(*f.confirmed.Load()) > f.options.StaleAfter && now.Sub(*f.contacted.Load()) > f.options.PeerTimeout
}

// Leave tells the other VMs that this VM is shutting down.
func (f *Watcher) Leave() {
	f.events <- func(_ context.Context, f *Watcher, _ time.Time) { f.member.Leave() }
}

// Serve runs the loop until ctx ends; it implements suture.Service.
func (f *Watcher) Serve(ctx context.Context) error {
	go f.feed(ctx)
	go f.register(ctx)
	tick := f.options.Clock.After(f.options.TickPeriod)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-f.events:
			e(ctx, f, f.options.Clock.Now())
		case <-tick:
			f.step(ctx, f.options.Clock.Now())
			tick = f.options.Clock.After(f.options.TickPeriod)
		}
		if f.dirty {
			f.publish(f.options.Clock.Now())
		}
	}
}

// step carries out what is due.
func (f *Watcher) step(ctx context.Context, now time.Time) {
	if f.catalog.Tick(now) {
		f.dirty = true
	}
	for _, a := range f.member.Tick(now) {
		f.exchange(ctx, a)
	}
	f.catchUp(ctx, now)
	if f.member.Version() != f.published || f.vms.Seen(now, f.counted()) != f.divided {
		f.dirty = true
	}
}

// send gives an event to the loop.
func (f *Watcher) send(ctx context.Context, e event) {
	select {
	case f.events <- e:
	case <-ctx.Done():
	}
}

// heard takes news that was asked for at a time.
func (f *Watcher) heard(now, asked time.Time, news *clementineport.FleetUpdate, source string) {
	before, version := f.catalog.AsOf(), f.routesVersion()
	cooled := f.cooled(now, news)
	changed := f.catalog.Apply(now, asked, news)
	confirmed := f.catalog.Confirmed()
	f.confirmed.Store(&confirmed)
	if f.catalog.AsOf() != before {
		f.history.Add(before, news)
	}
	f.announce()
	if len(news.Faults) > 0 {
		f.options.Log.Warn(string(cplogevent.EntriesRejected), zap.Strings("Faults", news.Faults), zap.String("Source", source))
	}
	if !changed {
		return
	}
	f.dirty = true
	f.listed(now)
	for _, d := range cooled {
		f.options.Log.Info(string(cplogevent.TargetCold), zap.String("Target", string(d.ID)), zap.String("Service", string(d.Service)),
			zap.Duration("ColdLeft", d.ColdLeft))
	}
	if f.routesVersion() != version {
		f.options.Log.Info(string(cplogevent.RoutesChanged), zap.Uint64("Version", uint64(f.routesVersion())),
			zap.Int("Routes", len(f.catalog.Routes().Routes)), zap.String("Source", source))
	}
	f.options.Log.Info(string(cplogevent.FleetChanged), zap.Uint64("From", uint64(before)), zap.Uint64("AsOf", uint64(f.catalog.AsOf())),
		zap.Int("Targets", len(f.catalog.Targets())), zap.Int("VMs", len(f.catalog.VMs())),
		zap.Int("Registered", len(news.Targets)), zap.Int("Gone", len(news.Gone)), zap.String("Source", source))
}

// cooled returns the targets that are known as warm and that news tells to be cold.
func (f *Watcher) cooled(now time.Time, news *clementineport.FleetUpdate) (cooled []*clementineport.TargetInstance) {
	for i := range news.Targets {
		d := &news.Targets[i]
		if known := f.catalog.Targets()[d.ID]; d.ColdLeft > 0 && known != nil && !known.Cold(now) {
			cooled = append(cooled, d)
		}
	}
	return cooled
}

// routesVersion returns the version of the routes, or zero.
func (f *Watcher) routesVersion() clementineport.Revision {
	if f.catalog.Routes() == nil {
		return 0
	}
	return f.catalog.Routes().Version
}

// listed tells the membership which VMs the store lists.
func (f *Watcher) listed(now time.Time) {
	registered := f.catalog.VMs()
	vms := make([]clementineport.VM, 0, len(registered))
	for _, vm := range registered {
		vms = append(vms, vm)
	}
	f.member.SetListed(now, vms)
	for _, m := range f.member.Members() {
		if _, ok := registered[m.ID]; !ok && m.State == clementineport.MemberAlive {
			f.member.RequestProbe(now, m.ID)
		}
	}
}
