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

// Bounds of the time between two failed calls to the store.
const (
	initialRetryDelay = 150 * time.Millisecond
	maxRetryDelay     = 1500 * time.Millisecond
	// longestFirstRetry bounds it for a VM that has no routes yet and can serve nothing without them.
	maxRetryDelayWithoutRoutes = 500 * time.Millisecond
)

// newBackoff returns the delays between failed calls to the store.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialRetryDelay, maxRetryDelay
	return b
}

// feed follows the store's news until ctx ends.
func (w *Watcher) watchStore(ctx context.Context) {
	delays := newBackoff()
	loaded, reached := false, true
	var asOf clementineport.Revision
	for ctx.Err() == nil {
		requestedAt := w.options.Clock.Now()
		if vm, ok := w.upstream(requestedAt); ok && loaded {
			if next, ok := w.fetchFromUpstream(ctx, vm, requestedAt, asOf); ok {
				asOf = next
				w.sleep(ctx, w.options.WatchPeriod/upstreamPollFactor-w.options.Clock.Now().Sub(requestedAt))
				continue
			}
			requestedAt = w.options.Clock.Now()
		}
		update, err := w.fetchFromStore(ctx, loaded, asOf)
		if err != nil {
			loaded = loaded && clementineport.FaultOf(err) != clementineport.FaultHistory
			if reached {
				w.options.Log.Warn(string(cplogevent.StoreLost), cplog.Cause("Error", err), zap.Uint64("AsOf", uint64(asOf)))
			}
			reached = false
			w.sleep(ctx, w.retryDelay(delays))
			continue
		}
		if !reached {
			w.options.Log.Info(string(cplogevent.StoreRegained), zap.Uint64("AsOf", uint64(update.AsOf)))
		}
		took := w.options.Clock.Now().Sub(requestedAt)
		confirmedAt := requestedAt
		if loaded && !update.HasChanges() && took >= w.options.WatchWait {
			confirmedAt = requestedAt.Add(w.options.WatchWait) // nothing had changed until the store answered
		}
		loaded, reached, asOf = true, true, update.AsOf
		delays.Reset()
		w.enqueue(ctx, func(_ context.Context, w *Watcher, now time.Time) { w.apply(now, confirmedAt, update, storeSource) })
		w.sleep(ctx, w.options.WatchPeriod-took)
	}
}

// follow asks another VM for its news and returns the revision up to which it is known. When that VM does not answer, or
// has lost the store, this one follows the store itself for a while.
func (w *Watcher) fetchFromUpstream(ctx context.Context, vm clementineport.VM, requestedAt time.Time, asOf clementineport.Revision) (clementineport.Revision, bool) {
	update, err := w.fetchUpdate(ctx, vm, asOf)
	if err == nil && update.AsOf < asOf {
		err = errBehind
	}
	if err != nil {
		w.avoidUpstreamUntil = w.options.Clock.Now().Add(upstreamRetryDelay)
		w.enqueue(ctx, func(_ context.Context, w *Watcher, _ time.Time) { w.peers.HangUp(vm.ID) })
		w.options.Log.Info(string(cplogevent.FollowFailed), zap.String("VM", string(vm.ID)), cplog.Cause("Error", err))
		return 0, false
	}
	w.enqueue(ctx, func(_ context.Context, w *Watcher, now time.Time) { w.apply(now, requestedAt, update, string(vm.ID)) })
	return update.AsOf, true
}

// retryDelay returns the time until the store is called again.
func (w *Watcher) retryDelay(delays *backoff.ExponentialBackOff) time.Duration {
	d := delays.NextBackOff()
	if w.View().Router == nil {
		return min(d, maxRetryDelayWithoutRoutes)
	}
	return d
}

// ask reads everything, or what has changed.
func (w *Watcher) fetchFromStore(ctx context.Context, loaded bool, asOf clementineport.Revision) (*clementineport.FleetUpdate, error) {
	if !loaded {
		return w.options.Source.Load(ctx)
	}
	return w.options.Source.Next(ctx, asOf, w.options.WatchWait)
}

// pause waits for a time.
func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-w.options.Clock.After(d):
	}
}

// register keeps this VM registered in the store until ctx ends, from when it has routes.
func (w *Watcher) register(ctx context.Context) {
	if w.options.Registrar == nil {
		return
	}
	registered, failing := false, false
	delays := newBackoff()
	for ctx.Err() == nil {
		if w.View().Router == nil {
			w.sleep(ctx, w.options.TickPeriod)
			continue
		}
		err := w.registerOrRenew(ctx, registered)
		if err == nil {
			if !registered || failing {
				w.options.Log.Info(string(cplogevent.Registered))
			}
			registered, failing = true, false
			delays.Reset()
			w.sleep(ctx, w.options.RenewPeriod)
			continue
		}
		if !failing {
			w.options.Log.Warn(string(cplogevent.RegistrationFailed), cplog.Cause("Error", err))
		}
		failing = true
		registered = registered && clementineport.FaultOf(err) != clementineport.FaultNotFound
		w.sleep(ctx, delays.NextBackOff())
	}
}

// registration registers this VM, or renews that. A lease that is alive but has lost its entry is begun anew.
func (w *Watcher) registerOrRenew(ctx context.Context, registered bool) error {
	if registered && w.View().Listed {
		return w.options.Registrar.Renew(ctx)
	}
	return w.options.Registrar.Register(ctx, w.options.Self.VM)
}

// catchUp asks another VM for its news while the store does not answer this one.
func (w *Watcher) catchUp(ctx context.Context, now time.Time) {
	if w.catchingUp || now.Before(w.nextCatchUp) || w.Age() < w.options.StoreLostAfter() {
		return
	}
	vm, ok := cpupstream.RandomPeer(w.options.Self.ID, w.membership.Members(), w.options.Seeds, rand.IntN)
	if !ok {
		return
	}
	w.catchingUp = true
	w.nextCatchUp = now.Add(w.options.CatchUpPeriod)
	peer := w.peers.Get(now, vm)
	go func() {
		call, cancel := context.WithTimeout(ctx, w.options.CatchUpTimeout)
		defer cancel()
		cfg, err := peer.Config(call, 0)
		w.enqueue(ctx, func(_ context.Context, w *Watcher, at time.Time) { w.handleCatchUp(at, now, vm.ID, cfg, err) })
	}()
}

// caughtUp takes the answer of another VM.
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
		w.peers.HangUp(from)
		w.options.Log.Info(string(cplogevent.CatchUpFailed), zap.String("VM", string(from)), cplog.Cause("Error", err))
		return
	}
	w.apply(now, requestedAt, update, string(from))
}

var (
	// errNoNews is the error of a VM that has no routes to tell.
	errNoRoutes = errors.New("the VM has no news")
	// errBehind is the error of a VM that knows less than the one that asked it.
	errBehind = errors.New("the VM knows an earlier revision")
)
