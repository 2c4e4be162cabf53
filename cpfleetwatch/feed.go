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
	firstRetry   = 150 * time.Millisecond
	longestRetry = 1500 * time.Millisecond
	// longestFirstRetry bounds it for a VM that has no routes yet and can serve nothing without them.
	longestFirstRetry = 500 * time.Millisecond
)

// newBackoff returns the delays between failed calls to the store.
func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstRetry, longestRetry
	return b
}

// feed follows the store's news until ctx ends.
func (f *Watcher) feed(ctx context.Context) {
	delays := newBackoff()
	loaded, reached := false, true
	var asOf clementineport.Revision
	for ctx.Err() == nil {
		asked := f.options.Clock.Now()
		if vm, ok := f.followed(asked); ok && loaded {
			if next, ok := f.follow(ctx, vm, asked, asOf); ok {
				asOf = next
				f.pause(ctx, f.options.FeedPeriod/peerFeedFactor-f.options.Clock.Now().Sub(asked))
				continue
			}
			asked = f.options.Clock.Now()
		}
		news, err := f.ask(ctx, loaded, asOf)
		if err != nil {
			loaded = loaded && clementineport.FaultOf(err) != clementineport.FaultHistory
			if reached {
				f.options.Log.Warn(string(cplogevent.StoreLost), cplog.Cause("Error", err), zap.Uint64("AsOf", uint64(asOf)))
			}
			reached = false
			f.pause(ctx, f.retryDelay(delays))
			continue
		}
		if !reached {
			f.options.Log.Info(string(cplogevent.StoreRegained), zap.Uint64("AsOf", uint64(news.AsOf)))
		}
		took := f.options.Clock.Now().Sub(asked)
		known := asked
		if loaded && !news.HasChanges() && took >= f.options.FeedWait {
			known = asked.Add(f.options.FeedWait) // nothing had changed until the store answered
		}
		loaded, reached, asOf = true, true, news.AsOf
		delays.Reset()
		f.send(ctx, func(_ context.Context, f *Watcher, now time.Time) { f.heard(now, known, news, storeSource) })
		f.pause(ctx, f.options.FeedPeriod-took)
	}
}

// follow asks another VM for its news and returns the revision up to which it is known. When that VM does not answer, or
// has lost the store, this one follows the store itself for a while.
func (f *Watcher) follow(ctx context.Context, vm clementineport.VM, asked time.Time, asOf clementineport.Revision) (clementineport.Revision, bool) {
	news, err := f.askPeer(ctx, vm, asOf)
	if err == nil && news.AsOf < asOf {
		err = errBehind
	}
	if err != nil {
		f.shunPeers = f.options.Clock.Now().Add(shunTime)
		f.send(ctx, func(_ context.Context, f *Watcher, _ time.Time) { f.peers.HangUp(vm.ID) })
		f.options.Log.Info(string(cplogevent.FollowFailed), zap.String("VM", string(vm.ID)), cplog.Cause("Error", err))
		return 0, false
	}
	f.send(ctx, func(_ context.Context, f *Watcher, now time.Time) { f.heard(now, asked, news, string(vm.ID)) })
	return news.AsOf, true
}

// retryDelay returns the time until the store is called again.
func (f *Watcher) retryDelay(delays *backoff.ExponentialBackOff) time.Duration {
	d := delays.NextBackOff()
	if f.View().Router == nil {
		return min(d, longestFirstRetry)
	}
	return d
}

// ask reads everything, or what has changed.
func (f *Watcher) ask(ctx context.Context, loaded bool, asOf clementineport.Revision) (*clementineport.FleetUpdate, error) {
	if !loaded {
		return f.options.Feed.Load(ctx)
	}
	return f.options.Feed.Next(ctx, asOf, f.options.FeedWait)
}

// pause waits for a time.
func (f *Watcher) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.options.Clock.After(d):
	}
}

// register keeps this VM registered in the store until ctx ends, from when it has routes.
func (f *Watcher) register(ctx context.Context) {
	if f.options.Registrar == nil {
		return
	}
	registered, failing := false, false
	delays := newBackoff()
	for ctx.Err() == nil {
		if f.View().Router == nil {
			f.pause(ctx, f.options.TickPeriod)
			continue
		}
		err := f.registration(ctx, registered)
		if err == nil {
			if !registered || failing {
				f.options.Log.Info(string(cplogevent.Registered))
			}
			registered, failing = true, false
			delays.Reset()
			f.pause(ctx, f.options.RenewPeriod)
			continue
		}
		if !failing {
			f.options.Log.Warn(string(cplogevent.RegistrationFailed), cplog.Cause("Error", err))
		}
		failing = true
		registered = registered && clementineport.FaultOf(err) != clementineport.FaultNotFound
		f.pause(ctx, delays.NextBackOff())
	}
}

// registration registers this VM, or renews that. A lease that is alive but has lost its entry is begun anew.
func (f *Watcher) registration(ctx context.Context, registered bool) error {
	if registered && f.View().Listed {
		return f.options.Registrar.Renew(ctx)
	}
	return f.options.Registrar.Register(ctx, f.options.Self.VM)
}

// catchUp asks another VM for its news while the store does not answer this one.
func (f *Watcher) catchUp(ctx context.Context, now time.Time) {
	if f.catching || now.Before(f.nextCatch) || f.Age() < f.options.StoreLostAfter() {
		return
	}
	vm, ok := cpupstream.RandomPeer(f.options.Self.ID, f.member.Members(), f.options.Seeds, rand.IntN)
	if !ok {
		return
	}
	f.catching = true
	f.nextCatch = now.Add(f.options.CatchUpPeriod)
	peer := f.peers.Get(now, vm)
	go func() {
		call, cancel := context.WithTimeout(ctx, f.options.CatchUpTimeout)
		defer cancel()
		cfg, err := peer.Config(call, 0)
		f.send(ctx, func(_ context.Context, f *Watcher, at time.Time) { f.caughtUp(at, now, vm.ID, cfg, err) })
	}()
}

// caughtUp takes the answer of another VM.
func (f *Watcher) caughtUp(now, asked time.Time, from clementineport.VMID, cfg *clementineport.Config, err error) {
	f.catching = false
	if err == nil {
		f.contacted.Store(&now)
	}
	var news *clementineport.FleetUpdate
	if err == nil {
		news, err = decodeNews(cfg)
	}
	if err != nil {
		f.peers.HangUp(from)
		f.options.Log.Info(string(cplogevent.CatchUpFailed), zap.String("VM", string(from)), cplog.Cause("Error", err))
		return
	}
	f.heard(now, asked, news, string(from))
}

var (
	// errNoNews is the error of a VM that has no routes to tell.
	errNoNews = errors.New("the VM has no news")
	// errBehind is the error of a VM that knows less than the one that asked it.
	errBehind = errors.New("the VM knows an earlier revision")
)
