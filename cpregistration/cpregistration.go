// Package cpregistration keeps a VM registered in the platform's store: it renews the registration, and registers the VM
// again when the store has lost it.
package cpregistration

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cplog"
	"github.com/clementineport/clementineport/cplogevent"
)

// Keeper keeps one VM registered. Its methods are safe for concurrent use.
type Keeper struct {
	options Options
	// lost signals that the store has lost the registration.
	lost    chan struct{}
	stopped atomic.Bool
}

// New returns a Keeper that Run starts.
func New(opts ...Option) *Keeper {
	return &Keeper{options: NewOptions(opts...), lost: make(chan struct{}, 1)}
}

// Lost makes the VM register again. It does not block.
func (k *Keeper) Lost() {
	select {
	case k.lost <- struct{}{}:
	default: // a signal is already waiting
	}
}

// Stop ends the renewals; a call in flight goes on. It does not end the registration.
func (k *Keeper) Stop() { k.stopped.Store(true) }

// Run keeps the VM registered until ctx ends or Stop is called. It starts once the VM has routes. Without a registrar it
// returns at once.
func (k *Keeper) Run(ctx context.Context) {
	if k.options.Registrar == nil {
		return
	}
	registered, failing := false, false
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialRetryDelay, maxRetryDelay
	for ctx.Err() == nil && !k.stopped.Load() {
		if k.options.View().Router == nil {
			clementineport.Sleep(ctx, k.options.Clock, k.options.PollPeriod)
			continue
		}
		err := k.registerOrRenew(ctx, registered)
		if err == nil {
			if !registered || failing {
				k.options.Log.Info(string(cplogevent.Registered))
			}
			failing = false
			delays.Reset()
			registered = !k.lostWithin(ctx, k.options.RenewPeriod)
			continue
		}
		if !failing {
			k.options.Log.Warn(string(cplogevent.RegistrationFailed), cplog.Cause("Error", err))
		}
		failing = true
		registered = registered && clementineport.FaultOf(err) != clementineport.FaultNotFound
		clementineport.Sleep(ctx, k.options.Clock, delays.NextBackOff())
	}
}

// lostWithin waits for d, or until the store has lost the registration and a random part of the time over which the VMs
// spread theirs has passed. It reports whether the registration was lost.
func (k *Keeper) lostWithin(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
	case <-k.options.Clock.After(d):
	case <-k.lost:
		clementineport.Sleep(ctx, k.options.Clock, time.Duration(rand.Int64N(1+int64(k.options.Spread(k.options.View().VMs)))))
		return true
	}
	return false
}

// registerOrRenew registers the VM, or renews its lease. It registers again when the store doesn't list the VM, since a
// lease can outlive its entry.
func (k *Keeper) registerOrRenew(ctx context.Context, registered bool) error {
	if registered && k.options.View().Listed {
		return k.options.Registrar.Renew(ctx)
	}
	return k.options.Registrar.Register(ctx, k.options.VM)
}
