package cpcontrol

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconfigsync"
)

// vmsPerListPeriod is the number of VMs that one ListPeriod allows for: with n times as many VMs, the time between
// two reads of the platform's list is n periods.
const vmsPerListPeriod = 8

// startListDivisor divides ListPeriod while no other VM is known, so that a starting VM finds its peers sooner.
const startListDivisor = 10

// withTimeout returns a context that is canceled after d by the clock in Options, so that tests can use virtual time.
func (c *Control) withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	after := c.options.Clock.After(d)
	go func() {
		select {
		case <-after:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// enqueue queues an event for the loop; it blocks until there is room or ctx ends.
func (c *Control) enqueue(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// list starts a read of the platform's list of VMs if one is due.
func (c *Control) list(ctx context.Context, now time.Time) {
	if c.listInProgress || now.Before(c.nextList) || c.options.Directory == nil {
		return
	}
	c.listInProgress = true
	c.nextList = now.Add(listPeriod(c.options.ListPeriod, len(c.View().Members)))
	go func() {
		call, cancel := c.withTimeout(ctx, c.options.ListTimeout)
		defer cancel()
		vms, err := c.options.Directory.List(call)
		c.enqueue(ctx, listResult{vms: vms, err: err})
	}()
}

// listPeriod returns the time between two reads of the platform's list. It is proportional to the number of VMs,
// since the list grows with them too: the bytes that each VM reads per second and the reads per second of all VMs
// together then stay constant.
func listPeriod(period time.Duration, members int) time.Duration {
	if members <= 1 {
		return period / startListDivisor
	}
	return period * time.Duration(max(1, members/vmsPerListPeriod))
}

// exchange starts an exchange of digests with a peer.
func (c *Control) exchange(ctx context.Context, e exchangeResult, vm clementineport.VM) {
	p := c.peers.Get(c.options.Clock.Now(), vm)
	d := c.membership.Digest(vm.ID)
	d.Staleness = c.options.Clock.Now().Sub(c.syncer.FreshAt())
	c.metrics.DigestSent(d)
	go func() {
		call, cancel := c.withTimeout(ctx, e.timeout)
		defer cancel()
		e.digest, e.err = p.Exchange(call, d)
		if e.err == nil {
			c.raiseHighestSeen(e.digest.Revision)
			c.RecordContact(e.began)
		}
		c.enqueue(ctx, e)
	}()
}

// exchangeWith starts an exchange of digests that configuration sync requested.
func (c *Control) exchangeWith(ctx context.Context, a cpconfigsync.Action, now time.Time) {
	m := c.View().Member(a.Peer)
	if m == nil {
		return
	}
	c.exchange(ctx, exchangeResult{peer: a.Peer, began: now, timeout: a.Timeout, kind: exchangeConfigSync}, m.VM)
}

// callStore starts a read or watch of the configuration in the store.
func (c *Control) callStore(ctx context.Context, a cpconfigsync.Action) {
	go func() {
		call, cancel := c.withTimeout(ctx, a.Timeout)
		defer cancel()
		var item clementineport.Item
		var err error
		if a.Kind == cpconfigsync.KindWatch {
			c.metrics.StoreWatches.Inc()
			item, err = c.options.Store.Watch(call, c.options.ConfigKey, a.Seen, a.Wait)
		} else {
			c.metrics.StoreReads.Inc()
			item, err = c.options.Store.Get(call, c.options.ConfigKey)
		}
		if err != nil {
			c.metrics.StoreFailures.Inc()
			c.enqueue(ctx, storeResult{action: a, err: err})
			return
		}
		e := storeResult{action: a, version: item.Version}
		if item.Version > 0 {
			e.cfg, e.table, e.err = c.decodeNewer(item.Value)
		}
		if e.table == nil {
			c.RecordContact(a.Began)
		}
		c.enqueue(ctx, e)
	}()
}

// decodeNewer decodes a stored configuration and compiles it if it is newer than the one in force;
// otherwise the table is nil.
func (c *Control) decodeNewer(value []byte) (*clementineport.Config, *clementineport.Table, error) {
	cfg, err := c.options.Decode(value)
	if err != nil {
		return nil, nil, err
	}
	if cfg.Revision <= c.View().Revision {
		return cfg, nil, nil
	}
	table, err := c.options.Compile(cfg)
	if err != nil {
		return nil, nil, err
	}
	return cfg, table, nil
}

// fetch starts a call that requests a peer's configuration.
func (c *Control) fetch(ctx context.Context, a cpconfigsync.Action) {
	m := c.View().Member(a.Peer)
	if m == nil {
		c.syncer.HandleFailure(a.Began, a)
		return
	}
	p := c.peers.Get(c.options.Clock.Now(), m.VM)
	have := c.View().Revision
	c.metrics.Fetches.Inc()
	go func() {
		call, cancel := c.withTimeout(ctx, a.Timeout)
		defer cancel()
		e := fetchResult{action: a}
		e.cfg, e.err = p.Config(call, clementineport.StorePosition{Revision: have})
		if e.err == nil && e.cfg != nil && e.cfg.Revision > have {
			e.table, e.err = c.options.Compile(e.cfg)
			e.rejected = e.err != nil
		}
		c.enqueue(ctx, e)
	}()
}
