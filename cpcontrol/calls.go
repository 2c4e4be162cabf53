package cpcontrol

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconfigsync"
)

// listVMs is the number of VMs above which the list is read less often.
const listVMs = 8

// startListShare is the share of ListPeriod between two reads of the list while no other VM is known.
const startListShare = 10

// withTimeout ends a context by the clock that the decisions use.
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

// send gives an event to the loop.
func (c *Control) send(ctx context.Context, e event) {
	select {
	case c.events <- e:
	case <-ctx.Done():
	}
}

// list reads the platform's list of VMs.
func (c *Control) list(ctx context.Context, now time.Time) {
	if c.listing || now.Before(c.nextList) || c.options.Directory == nil {
		return
	}
	c.listing = true
	c.nextList = now.Add(listPeriod(c.options.ListPeriod, len(c.View().Members)))
	go func() {
		call, cancel := c.withTimeout(ctx, c.options.ListTimeout)
		defer cancel()
		vms, err := c.options.Directory.List(call)
		c.send(ctx, listed{vms: vms, err: err})
	}()
}

// listPeriod returns the time between two reads of the list. It grows with the number of VMs, as the list
// does, so that the bytes of a VM and the reads of all VMs stay the same.
func listPeriod(period time.Duration, members int) time.Duration {
	if members <= 1 {
		return period / startListShare
	}
	return period * time.Duration(max(1, members/listVMs))
}

// exchange swaps digests with a peer.
func (c *Control) exchange(ctx context.Context, e exchanged, vm clementineport.VM) {
	p := c.peers.Get(c.options.Clock.Now(), vm)
	d := c.member.Digest(vm.ID)
	d.Staleness = c.options.Clock.Now().Sub(c.spread.FreshAt())
	c.metrics.DigestSent(d)
	go func() {
		call, cancel := c.withTimeout(ctx, e.timeout)
		defer cancel()
		e.digest, e.err = p.Exchange(call, d)
		if e.err == nil {
			c.named(e.digest.Revision)
			c.RecordContact(e.began)
		}
		c.send(ctx, e)
	}()
}

// exchangeWith swaps digests with a peer to tell or renew.
func (c *Control) exchangeWith(ctx context.Context, a cpconfigsync.Action, now time.Time) {
	m := c.View().Member(a.Peer)
	if m == nil {
		return
	}
	c.exchange(ctx, exchanged{peer: a.Peer, began: now, timeout: a.Timeout, kind: exchangeSpread}, m.VM)
}

// askStore reads or watches the configuration in the store.
func (c *Control) askStore(ctx context.Context, a cpconfigsync.Action) {
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
			c.send(ctx, stored{action: a, err: err})
			return
		}
		e := stored{action: a, version: item.Version}
		if item.Version > 0 {
			e.cfg, e.table, e.err = c.read(item.Value)
		}
		if e.table == nil {
			c.RecordContact(a.Began)
		}
		c.send(ctx, e)
	}()
}

// read decodes a configuration and compiles it if it is newer than the one in force.
func (c *Control) read(value []byte) (*clementineport.Config, *clementineport.Table, error) {
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

// fetch asks a peer for its configuration.
func (c *Control) fetch(ctx context.Context, a cpconfigsync.Action) {
	m := c.View().Member(a.Peer)
	if m == nil {
		c.spread.HandleFailure(a.Began, a)
		return
	}
	p := c.peers.Get(c.options.Clock.Now(), m.VM)
	have := c.View().Revision
	c.metrics.Fetches.Inc()
	go func() {
		call, cancel := c.withTimeout(ctx, a.Timeout)
		defer cancel()
		e := fetched{action: a}
		e.cfg, e.err = p.Config(call, have)
		if e.err == nil && e.cfg != nil && e.cfg.Revision > have {
			e.table, e.err = c.options.Compile(e.cfg)
			e.rejected = e.err != nil
		}
		c.send(ctx, e)
	}()
}
