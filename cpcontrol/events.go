package cpcontrol

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconfigsync"
	"github.com/clementineport/clementineport/cpview"
)

type exchangeKind uint8

const (
	exchangeMember exchangeKind = iota
	exchangeSpread
)

// exchanged is the result of an exchange that this VM began.
type exchanged struct {
	peer    clementineport.VMID
	began   time.Time
	timeout time.Duration
	kind    exchangeKind
	digest  *clementineport.Digest
	err     error
}

func (e exchanged) apply(ctx context.Context, c *Control, now time.Time) {
	if e.err != nil {
		c.metrics.ExchangeFailures.Inc()
		c.peers.HangUp(e.peer)
		c.member.HandleFailure(now, e.peer, e.began, clementineport.FaultOf(e.err))
		return
	}
	c.metrics.DigestReceived(e.digest)
	c.member.HandleResponse(now, e.peer, e.began, e.digest)
	c.spread.RecordContact(e.began)
	c.spread.RecordFreshness(e.began, e.digest.Revision, e.digest.Staleness)
	c.seen(ctx, now, e.peer, e.digest.Revision)
}

// seen takes a revision that a peer announced, and fetches it at once if it is newer.
func (c *Control) seen(ctx context.Context, now time.Time, from clementineport.VMID, r clementineport.Revision) {
	if r <= c.spread.Revision() {
		return
	}
	if c.View().Member(from) == nil {
		c.publish()
	}
	c.spread.ObserveRevision(now, from, r)
	c.spreadTick(ctx, now)
}

// stored is the result of a read or watch of the store.
type stored struct {
	action  cpconfigsync.Action
	version uint64
	cfg     *clementineport.Config
	table   *clementineport.Table
	err     error
}

func (e stored) apply(ctx context.Context, c *Control, now time.Time) {
	if e.err != nil {
		c.spread.HandleFailure(now, e.action)
		if e.version > 0 {
			c.metrics.ConfigRejected(e.err)
		}
		return
	}
	var r clementineport.Revision
	if e.cfg != nil {
		r = e.cfg.Revision
	}
	before := c.spread.Lowered()
	verdict := c.spread.HandleStored(now, e.action, e.version, r)
	c.put(ctx, now, verdict, e.cfg, e.table)
	c.RecordContact(e.action.Began)
	if c.spread.Lowered() != before {
		c.dirty = true
		c.metrics.StoreRevisionLowered(c.spread.Lowered(), c.spread.Restored(), c.spread.Revision())
	}
}

// put puts a newer configuration in force.
func (c *Control) put(ctx context.Context, now time.Time, v cpconfigsync.Outcome, cfg *clementineport.Config, table *clementineport.Table) {
	if v != cpconfigsync.OutcomeNewer || table == nil {
		return
	}
	c.inForce(cfg, table)
	c.spreadTick(ctx, now)
}

// fetched is the result of asking a peer for its configuration.
type fetched struct {
	action cpconfigsync.Action
	cfg    *clementineport.Config
	table  *clementineport.Table
	err    error
	// rejected is true when the peer answered with a configuration that can't be compiled.
	rejected bool
}

func (e fetched) apply(ctx context.Context, c *Control, now time.Time) {
	if e.err != nil {
		c.metrics.FetchFailures.Inc()
		if e.rejected {
			c.newest.Store(0)
			c.metrics.ConfigRejected(e.err)
		}
		c.spread.HandleFailure(now, e.action)
		c.spreadTick(ctx, now)
		return
	}
	var r clementineport.Revision
	if e.cfg != nil {
		r = e.cfg.Revision
	}
	c.put(ctx, now, c.spread.HandleFetched(now, e.action, r), e.cfg, e.table)
	c.RecordContact(e.action.Began)
}

// listed is the platform's list of VMs.
type listed struct {
	vms []clementineport.VM
	err error
}

func (e listed) apply(_ context.Context, c *Control, now time.Time) {
	c.listing = false
	c.peers.HangUpUnused(now)
	if e.err != nil {
		c.metrics.ListFailures.Inc()
		c.joinThroughSeeds(now)
		return
	}
	if len(e.vms) > c.listed {
		c.listed = len(e.vms)
		c.dirty = true
	}
	c.member.SetListed(now, e.vms)
}

// joinThroughSeeds asks the seeds for members while no other VM is known. The ids of seeds are not known
// before they answer, so their addresses stand in for them.
func (c *Control) joinThroughSeeds(now time.Time) {
	if len(c.View().Members) > 1 {
		return
	}
	var vms []clementineport.VM
	for _, address := range c.options.Seeds {
		if address != c.options.Self.Peer {
			vms = append(vms, clementineport.VM{ID: clementineport.VMID(address), Peer: address})
		}
	}
	c.member.SetListed(now, vms)
}

// heard is a peer's digest; the loop answers with its own.
type heard struct {
	digest *clementineport.Digest
	answer chan<- *clementineport.Digest
}

func (e heard) apply(ctx context.Context, c *Control, now time.Time) {
	c.named(e.digest.Revision)
	c.metrics.DigestReceived(e.digest)
	d := c.member.HandleDigest(now, e.digest)
	d.Staleness = now.Sub(c.spread.FreshAt())
	c.metrics.DigestSent(d)
	e.answer <- d
	c.seen(ctx, now, e.digest.From.ID, e.digest.Revision)
}

// noticed is a revision that a call between VMs carried.
type noticed struct {
	revision clementineport.Revision
	from     clementineport.VMID
}

func (e noticed) apply(ctx context.Context, c *Control, now time.Time) {
	c.seen(ctx, now, e.from, e.revision)
}

// accepted is a configuration whose submission this VM has carried out.
type accepted struct {
	cfg   *clementineport.Config
	table *clementineport.Table
}

func (e accepted) apply(ctx context.Context, c *Control, now time.Time) {
	c.chaseUntil = now.Add(c.options.ConfirmFor)
	c.put(ctx, now, c.spread.Accept(now, e.cfg.Revision), e.cfg, e.table)
}

// change is a change of what this VM says about itself.
type change func(c *Control, now time.Time)

func (e change) apply(_ context.Context, c *Control, now time.Time) {
	e(c, now)
	c.dirty = true
}

// asked is a request for the status.
type asked struct {
	answer chan<- *cpview.Status
}

func (e asked) apply(_ context.Context, c *Control, now time.Time) {
	s := &cpview.Status{
		Revision: c.spread.Revision(),
		Fresh:    now.Sub(c.spread.FreshAt()),
		Contact:  c.freshness.Age(),
		Watcher:  c.spread.Watcher(),
		Restored: c.spread.Restored(),
		Lowered:  c.spread.Lowered(),
		Health:   c.member.Health(),
	}
	for _, m := range c.member.Members() {
		s.Rows = append(s.Rows, c.row(&m, now))
	}
	e.answer <- s
}
