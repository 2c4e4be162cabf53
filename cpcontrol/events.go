package cpcontrol

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconfigsync"
	"github.com/clementineport/clementineport/cpview"
)

// exchangeKind says which part of the control state requested an exchange.
type exchangeKind uint8

const (
	exchangeMembership exchangeKind = iota
	exchangeConfigSync
)

// exchangeResult is the result of an exchange that this VM started.
type exchangeResult struct {
	peer    clementineport.VMID
	began   time.Time
	timeout time.Duration
	kind    exchangeKind
	digest  *clementineport.Digest
	err     error
}

func (e exchangeResult) apply(ctx context.Context, c *Control, now time.Time) {
	if e.err != nil {
		c.metrics.ExchangeFailures.Inc()
		c.peers.Close(e.peer)
		c.membership.HandleFailure(now, e.peer, e.began, clementineport.FaultOf(e.err))
		return
	}
	c.metrics.DigestReceived(e.digest)
	c.membership.HandleResponse(now, e.peer, e.began, e.digest)
	c.syncer.RecordContact(e.began)
	c.syncer.RecordFreshness(e.began, e.digest.Revision, e.digest.Staleness)
	c.handleRevision(ctx, now, e.peer, e.digest.Revision)
}

// handleRevision handles a revision that a peer reported and starts to fetch it if it is newer than the one in force.
func (c *Control) handleRevision(ctx context.Context, now time.Time, from clementineport.VMID, r clementineport.Revision) {
	if r <= c.syncer.Revision() {
		return
	}
	if c.View().Member(from) == nil {
		c.publish()
	}
	c.syncer.ObserveRevision(now, from, r)
	c.syncTick(ctx, now)
}

// storeResult is the result of a read or watch of the store.
type storeResult struct {
	action  cpconfigsync.Action
	version uint64
	cfg     *clementineport.Config
	table   *clementineport.Table
	err     error
}

func (e storeResult) apply(ctx context.Context, c *Control, now time.Time) {
	if e.err != nil {
		c.syncer.HandleFailure(now, e.action)
		if e.version > 0 {
			c.metrics.ConfigRejected(e.err)
		}
		return
	}
	var r clementineport.Revision
	if e.cfg != nil {
		r = e.cfg.Revision
	}
	before := c.syncer.Lowered()
	outcome := c.syncer.HandleStored(now, e.action, e.version, r)
	c.applyIfNewer(ctx, now, outcome, e.cfg, e.table)
	c.RecordContact(e.action.Began)
	if c.syncer.Lowered() != before {
		c.dirty = true
		c.metrics.StoreRevisionLowered(c.syncer.Lowered(), c.syncer.Restored(), c.syncer.Revision())
	}
}

// applyIfNewer puts a configuration in force if the outcome says that it is newer, and starts the calls that then are due.
func (c *Control) applyIfNewer(ctx context.Context, now time.Time, outcome cpconfigsync.Outcome, cfg *clementineport.Config, table *clementineport.Table) {
	if outcome != cpconfigsync.OutcomeNewer || table == nil {
		return
	}
	c.putInForce(cfg, table)
	c.syncTick(ctx, now)
}

// fetchResult is the result of requesting a peer's configuration.
type fetchResult struct {
	action cpconfigsync.Action
	cfg    *clementineport.Config
	table  *clementineport.Table
	err    error
	// rejected is true if the peer returned a configuration that can't be compiled.
	rejected bool
}

func (e fetchResult) apply(ctx context.Context, c *Control, now time.Time) {
	if e.err != nil {
		c.metrics.FetchFailures.Inc()
		if e.rejected {
			c.highestSeen.Store(0)
			c.metrics.ConfigRejected(e.err)
		}
		c.syncer.HandleFailure(now, e.action)
		c.syncTick(ctx, now)
		return
	}
	var r clementineport.Revision
	if e.cfg != nil {
		r = e.cfg.Revision
	}
	c.applyIfNewer(ctx, now, c.syncer.HandleFetched(now, e.action, r), e.cfg, e.table)
	c.RecordContact(e.action.Began)
}

// listResult is the result of a read of the platform's list of VMs.
type listResult struct {
	vms []clementineport.VM
	err error
}

func (e listResult) apply(_ context.Context, c *Control, now time.Time) {
	c.listInProgress = false
	c.peers.CloseUnused(now)
	if e.err != nil {
		c.metrics.ListFailures.Inc()
		c.joinThroughSeeds(now)
		return
	}
	if len(e.vms) > c.maxListedVMs {
		c.maxListedVMs = len(e.vms)
		c.dirty = true
	}
	c.membership.SetListed(now, e.vms)
}

// joinThroughSeeds adds the seeds as members to probe while no other VM is known. The id of a seed is not known
// until it answers, so its address is used as its id.
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
	c.membership.SetListed(now, vms)
}

// exchangeRequest is a digest received from a peer; the loop replies with its own.
type exchangeRequest struct {
	digest *clementineport.Digest
	answer chan<- *clementineport.Digest
}

func (e exchangeRequest) apply(ctx context.Context, c *Control, now time.Time) {
	c.raiseHighestSeen(e.digest.Revision)
	c.metrics.DigestReceived(e.digest)
	d := c.membership.HandleDigest(now, e.digest)
	d.Staleness = now.Sub(c.syncer.FreshAt())
	c.metrics.DigestSent(d)
	e.answer <- d
	c.handleRevision(ctx, now, e.digest.From.ID, e.digest.Revision)
}

// revisionObserved is a revision that a peer reported in a call.
type revisionObserved struct {
	revision clementineport.Revision
	from     clementineport.VMID
}

func (e revisionObserved) apply(ctx context.Context, c *Control, now time.Time) {
	c.handleRevision(ctx, now, e.from, e.revision)
}

// configAccepted is a configuration that was submitted through this VM and accepted by the store.
type configAccepted struct {
	cfg   *clementineport.Config
	table *clementineport.Table
}

func (e configAccepted) apply(ctx context.Context, c *Control, now time.Time) {
	c.confirmUntil = now.Add(c.options.ConfirmFor)
	c.applyIfNewer(ctx, now, c.syncer.Accept(now, e.cfg.Revision), e.cfg, e.table)
}

// membershipChange changes the membership, such as what this VM announces about itself, and has a new view published.
type membershipChange func(c *Control, now time.Time)

func (e membershipChange) apply(_ context.Context, c *Control, now time.Time) {
	e(c, now)
	c.dirty = true
}

// statusRequest requests the status that operators see.
type statusRequest struct {
	answer chan<- *cpview.Status
}

func (e statusRequest) apply(_ context.Context, c *Control, now time.Time) {
	s := &cpview.Status{
		Revision: c.syncer.Revision(),
		Fresh:    now.Sub(c.syncer.FreshAt()),
		Contact:  c.freshness.Age(),
		Watcher:  c.syncer.Watcher(),
		Restored: c.syncer.Restored(),
		Lowered:  c.syncer.Lowered(),
		Health:   c.membership.Health(),
	}
	for _, m := range c.membership.Members() {
		s.Rows = append(s.Rows, c.row(&m, now))
	}
	e.answer <- s
}
