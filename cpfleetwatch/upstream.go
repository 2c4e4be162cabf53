package cpfleetwatch

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpupstream"
)

// storeSource names the store as the source of news.
const storeSource = "Store"

// followed returns the VM whose news this one follows, or false when it follows the store itself.
func (f *Watcher) followed(now time.Time) (clementineport.VM, bool) {
	if now.Before(f.shunPeers) {
		return clementineport.VM{}, false
	}
	return cpupstream.Choose(&f.options.Self, f.View().Members, f.options.StoreWatchers)
}

// askPeer asks a VM for what has changed after a revision.
func (f *Watcher) askPeer(ctx context.Context, vm clementineport.VM, after clementineport.Revision) (*clementineport.FleetUpdate, error) {
	call, cancel := context.WithTimeout(ctx, f.options.MaxServedAge()+f.options.CatchUpTimeout)
	defer cancel()
	peer, err := f.peer(call, vm)
	if err != nil {
		return nil, err
	}
	cfg, err := peer.Config(call, after)
	if err != nil {
		return nil, err
	}
	return decodeNews(cfg)
}

// peer returns the port to another VM from the loop.
func (f *Watcher) peer(ctx context.Context, vm clementineport.VM) (clementineport.Peer, error) {
	answer := make(chan clementineport.Peer, 1)
	f.send(ctx, func(_ context.Context, f *Watcher, now time.Time) { answer <- f.peers.Get(now, vm) })
	select {
	case p := <-answer:
		return p, nil
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultCanceled, "asking %s was given up: %v", vm.ID, ctx.Err())
	}
}
