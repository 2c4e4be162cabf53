package cpfleetwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplog"
	"github.com/clementineport/clementineport/cplogevent"
	"github.com/clementineport/clementineport/cpupstream"
)

// Bounds of the delay between failed calls to the store.
const (
	initialRetryDelay = 150 * time.Millisecond
	maxRetryDelay     = 1500 * time.Millisecond
	// maxRetryDelayWithoutRoutes is lower because a VM can't serve requests before it has routes.
	maxRetryDelayWithoutRoutes = 500 * time.Millisecond
)

// noWait is the wait of a watch that only asks whether there are changes.
const noWait = time.Millisecond

// newBackoff returns the delays between failed calls to the store.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialRetryDelay, maxRetryDelay
	return b
}

// watch is the state of the calls for updates, to an upstream VM or to the store.
type watch struct {
	delays *backoff.ExponentialBackOff
	// loaded is true once the full state was loaded, and reached unless the latest call to the store failed.
	loaded, reached bool
	// asOf is the position of the latest update, and confirmed when it was current. It may not have been applied yet.
	asOf      clementineport.StorePosition
	confirmed time.Time
	// partial is true if the store may have left changes out of its latest answer.
	partial bool
}

// watchStore gets updates, from an upstream VM or from the store, until ctx ends.
func (w *Watcher) watchStore(ctx context.Context) {
	s := &watch{delays: newBackoff(), reached: true}
	for ctx.Err() == nil {
		if vm, ok := w.upstream(w.options.Clock.Now()); ok && s.loaded {
			w.setSource(string(vm.ID))
			if w.nextFromUpstream(ctx, s, vm) {
				continue
			}
		}
		w.setSource(storeSource)
		w.nextFromStore(ctx, s)
	}
}

// nextFromUpstream gets the next update from another VM and waits until the next call is due. It reports whether it got one.
func (w *Watcher) nextFromUpstream(ctx context.Context, s *watch, vm clementineport.VM) bool {
	requestedAt := w.options.Clock.Now()
	update, ok := w.fetchFromUpstream(ctx, vm, requestedAt, s.asOf, w.age(requestedAt, s.confirmed))
	if !ok {
		return false
	}
	s.asOf, s.confirmed = update.AsOf, requestedAt.Add(-update.Age)
	clementineport.Sleep(ctx, w.options.Clock, w.options.WatchPeriod/upstreamPollFactor-w.options.Clock.Now().Sub(requestedAt))
	return true
}

// nextFromStore gets the next update from the store and waits until the next call is due.
func (w *Watcher) nextFromStore(ctx context.Context, s *watch) {
	requestedAt := w.options.Clock.Now()
	wait := w.watchWait(w.age(requestedAt, s.confirmed), s.partial)
	update, err := w.fetchFromStore(ctx, s.loaded, s.asOf, wait)
	if err != nil {
		s.loaded = s.loaded && clementineport.FaultOf(err) != clementineport.FaultHistory
		if s.reached {
			w.options.Log.Warn(string(cplogevent.StoreLost), cplog.Cause("Error", err), cplog.Position(s.asOf))
		}
		s.reached = false
		clementineport.Sleep(ctx, w.options.Clock, w.retryDelay(s.delays))
		return
	}
	if !s.reached {
		w.options.Log.Info(string(cplogevent.StoreRegained), cplog.Position(update.AsOf))
	}
	took := w.options.Clock.Now().Sub(requestedAt)
	confirmedAt := requestedAt
	if s.loaded && !update.HasChanges() && took >= wait {
		confirmedAt = requestedAt.Add(wait) // the store saw no change during the full wait
	}
	s.loaded, s.reached, s.asOf, s.partial = true, true, update.AsOf, update.Partial
	s.delays.Reset()
	w.enqueue(ctx, func(_ context.Context, w *Watcher, now time.Time) { w.apply(now, confirmedAt, update, storeSource) })
	if !update.Partial {
		s.confirmed = confirmedAt
		clementineport.Sleep(ctx, w.options.Clock, w.options.WatchPeriod-took)
	}
}

// age returns the age of the view once the latest update, which was current at confirmed, is applied.
func (w *Watcher) age(now, confirmed time.Time) time.Duration {
	return min(w.Age(), now.Sub(confirmed))
}

// watchWait returns how long the store may hold the next watch open: until WatchWait after the view was last confirmed, so that the
// pause after a change doesn't add to the age of the view. After a partial answer it returns noWait, since only an answer without
// changes, or a small one, confirms the view.
func (w *Watcher) watchWait(age time.Duration, partial bool) time.Duration {
	if partial {
		return noWait
	}
	return max(w.options.WatchWait-age, w.options.MinWatchWait())
}

// setSource records where this VM gets its updates from, a VM or the store, and logs it if that has changed.
func (w *Watcher) setSource(source string) {
	if before := *w.source.Swap(&source); before != source {
		w.options.Log.Info(string(cplogevent.SourceChanged), zap.String("Source", source), zap.String("Before", before),
			zap.Duration("ViewAge", w.Age()))
	}
}

// fetchFromUpstream gets an update from another VM. If that VM fails, its position is before asOf, or this VM's view, of the given
// age, reaches MaxFollowedAge, this VM watches the store itself for upstreamRetryDelay.
func (w *Watcher) fetchFromUpstream(ctx context.Context, vm clementineport.VM, requestedAt time.Time, asOf clementineport.StorePosition, age time.Duration) (*clementineport.FleetUpdate, bool) {
	update, err := w.fetchUpdate(ctx, vm, asOf, w.options.MaxFollowedAge()-age)
	if err == nil && update.AsOf.Before(asOf) {
		err = errBehind
	}
	if err != nil {
		w.avoidUpstreamUntil = w.options.Clock.Now().Add(upstreamRetryDelay)
		w.enqueue(ctx, func(_ context.Context, w *Watcher, _ time.Time) { w.peers.Close(vm.ID) })
		w.options.Log.Info(string(cplogevent.FollowFailed), zap.String("VM", string(vm.ID)),
			zap.Duration("Waited", w.options.Clock.Now().Sub(requestedAt)), zap.Duration("ViewAge", w.Age()), cplog.Cause("Error", err))
		return nil, false
	}
	w.enqueue(ctx, func(_ context.Context, w *Watcher, now time.Time) { w.apply(now, requestedAt, update, string(vm.ID)) })
	return update, true
}

// retryDelay returns the delay before the next call to the store.
func (w *Watcher) retryDelay(delays *backoff.ExponentialBackOff) time.Duration {
	d := delays.NextBackOff()
	if w.View().Router == nil {
		return min(d, maxRetryDelayWithoutRoutes)
	}
	return d
}

// fetchFromStore loads the full state, or the changes after asOf once it is loaded.
func (w *Watcher) fetchFromStore(ctx context.Context, loaded bool, asOf clementineport.StorePosition, wait time.Duration) (*clementineport.FleetUpdate, error) {
	if !loaded {
		return w.options.Source.Load(ctx)
	}
	return w.options.Source.Next(ctx, asOf, wait)
}

// changePeriods is the number of watch periods in which a change reaches a VM that gets its updates from another one: each of the
// two makes one call a period.
const changePeriods = 2

// newerRoutes is a VM that has stated a newer version of the routes than this VM's.
type newerRoutes struct {
	vm      clementineport.VM
	version clementineport.Revision
	// since is when such a VM was first seen.
	since time.Time
}

// observeRoutes records the version of the routes that another VM has stated.
func (w *Watcher) observeRoutes(now time.Time, vm clementineport.VM, version clementineport.Revision) {
	if version <= max(w.routesVersion(), w.newerRoutes.version) {
		return
	}
	if w.newerRoutes.version <= w.routesVersion() {
		w.newerRoutes.since = now
	}
	w.newerRoutes.vm, w.newerRoutes.version = vm, version
}

// NewerRoutes records that another VM handles requests by a version of the routes, and gets its full state at once if that version is
// newer than this VM's. It does not block.
func (w *Watcher) NewerRoutes(vm clementineport.VM, version clementineport.Revision) {
	observe := func(ctx context.Context, w *Watcher, now time.Time) {
		if version > w.routesVersion() {
			w.newerRoutes = newerRoutes{vm: vm, version: version}
			w.catchUp(ctx, now)
		}
	}
	go func() { w.events <- observe }()
}

// catchUpFrom returns the VM to request the full state from, if that is needed: any VM when this VM's view is older than
// MaxFollowedAge, or a VM with newer routes when the store has not provided them for longer than a change takes, since a
// restore has lost them.
func (w *Watcher) catchUpFrom(now time.Time) (clementineport.VM, bool) {
	if w.Age() >= w.options.MaxFollowedAge() {
		return cpupstream.RandomPeer(w.options.Self.ID, w.membership.Members(), w.options.Seeds, rand.IntN)
	}
	newer := &w.newerRoutes
	return newer.vm, newer.version > w.routesVersion() && now.Sub(newer.since) >= changePeriods*w.options.WatchPeriod
}

// catchUp requests the full state from another VM if that is needed.
func (w *Watcher) catchUp(ctx context.Context, now time.Time) {
	if w.catchingUp || now.Before(w.nextCatchUp) {
		return
	}
	vm, ok := w.catchUpFrom(now)
	if !ok {
		return
	}
	w.newerRoutes = newerRoutes{} // a VM that does not answer is replaced by the next one that states newer routes
	w.catchingUp = true
	w.nextCatchUp = now.Add(w.options.CatchUpPeriod)
	peer := w.peers.Get(now, vm)
	go func() {
		call, cancel := context.WithTimeout(ctx, w.options.CatchUpTimeout)
		defer cancel()
		cfg, err := peer.Config(call, clementineport.StorePosition{})
		w.enqueue(ctx, func(_ context.Context, w *Watcher, at time.Time) { w.handleCatchUp(at, now, vm.ID, cfg, err) })
	}()
}

// handleCatchUp handles the result of catchUp.
func (w *Watcher) handleCatchUp(now, requestedAt time.Time, from clementineport.VMID, cfg *clementineport.Config, err error) {
	w.catchingUp = false
	if err == nil {
		w.lastPeerContact.Store(&now)
	}
	var update *clementineport.FleetUpdate
	if err == nil {
		update, err = decodeUpdate(cfg)
	}
	if err != nil {
		w.peers.Close(from)
		w.options.Log.Info(string(cplogevent.CatchUpFailed), zap.String("VM", string(from)), cplog.Cause("Error", err))
		return
	}
	replaced := w.catalog.Confirmed()
	w.apply(now, requestedAt, update, string(from))
	if w.catalog.ApplyRoutes(update.Routes) {
		// A restore of the store has lost this version, so the other VM may have it from an earlier position than this VM's.
		w.dirty = true
		w.logRoutes(now, replaced, string(from))
	}
}

var (
	// errNoRoutes is returned for a VM that has no routes yet.
	errNoRoutes = errors.New("the VM has no routes yet")
	// errBehind is returned for a VM whose position in the store's history is before that of the requesting VM.
	errBehind = errors.New("the VM has an older revision")
)
