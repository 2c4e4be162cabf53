package cpfleetwatch

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpupstream"
)

// storeSource is the Source field of log lines for updates from the store.
const storeSource = "Store"

// upstream returns the VM to get updates from, or false when this VM watches the store itself.
func (w *Watcher) upstream(now time.Time) (clementineport.VM, bool) {
	if now.Before(w.avoidUpstreamUntil) {
		return clementineport.VM{}, false
	}
	return cpupstream.Choose(&w.options.Self, w.View().Members, w.options.StoreWatchers)
}

// fetchUpdate gets the changes after a position from another VM.
func (w *Watcher) fetchUpdate(ctx context.Context, vm clementineport.VM, after clementineport.StorePosition, timeout time.Duration) (*clementineport.FleetUpdate, error) {
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	peer, err := w.peer(call, vm)
	if err != nil {
		return nil, err
	}
	cfg, err := peer.Config(call, after)
	if err != nil {
		return nil, err
	}
	return decodeUpdate(cfg)
}

// peer gets the client for another VM from the loop.
func (w *Watcher) peer(ctx context.Context, vm clementineport.VM) (clementineport.Peer, error) {
	answer := make(chan clementineport.Peer, 1)
	w.enqueue(ctx, func(_ context.Context, w *Watcher, now time.Time) { answer <- w.peers.Get(now, vm) })
	select {
	case p := <-answer:
		return p, nil
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultCanceled, "asking %s was given up: %v", vm.ID, ctx.Err())
	}
}
