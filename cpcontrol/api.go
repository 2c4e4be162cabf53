package cpcontrol

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpowner"
	"github.com/clementineport/clementineport/cpview"
)

// Exchange handles a digest from a peer and returns this VM's own.
func (c *Control) Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	answer := make(chan *clementineport.Digest, 1)
	c.enqueue(ctx, exchangeRequest{digest: d, answer: answer})
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultCanceled, "exchange given up: %v", ctx.Err())
	}
}

// Config returns the configuration in force if it is newer than have, or nil.
func (c *Control) Config(_ context.Context, have clementineport.StorePosition) (*clementineport.Config, error) {
	v := c.View()
	if v.Revision <= have.Revision {
		return nil, nil
	}
	return v.Config, nil
}

// ObserveRevision records a revision that a peer reported in a call in either direction. It does not block.
func (c *Control) ObserveRevision(r clementineport.Revision, from clementineport.VMID) {
	if r <= c.View().Revision {
		return
	}
	c.raiseHighestSeen(r)
	c.tryEnqueue(revisionObserved{revision: r, from: from})
}

// ProbeSoon schedules an early probe of a peer that did not answer a call. It does not block.
func (c *Control) ProbeSoon(id clementineport.VMID) {
	c.tryEnqueue(membershipChange(func(c *Control, now time.Time) { c.membership.RequestProbe(now, id) }))
}

// RecordContact records that a peer answered a call that was sent at began. It does not block.
// The contact is ignored while a revision higher than the one in force is known to exist, since this VM is then stale.
func (c *Control) RecordContact(began time.Time) {
	if c.highestSeen.Load() <= uint64(c.View().Revision) {
		c.freshness.RecordContact(began)
	}
}

// raiseHighestSeen raises highestSeen to a revision that a peer reported.
func (c *Control) raiseHighestSeen(r clementineport.Revision) {
	for {
		old := c.highestSeen.Load()
		if uint64(r) <= old || c.highestSeen.CompareAndSwap(old, uint64(r)) {
			return
		}
	}
}

// Leave announces to the peers that this VM is shutting down.
func (c *Control) Leave() {
	c.events <- membershipChange(func(c *Control, _ time.Time) { c.membership.Leave() })
}

// SetTicket sets the ticket that this VM announces to its peers.
func (c *Control) SetTicket(ticket string) {
	c.events <- membershipChange(func(c *Control, _ time.Time) { c.membership.SetTicket(ticket) })
}

// ApplyAccepted puts in force a configuration that was submitted through this VM and accepted by the store,
// and requests confirmation from the other VMs.
func (c *Control) ApplyAccepted(ctx context.Context, cfg *clementineport.Config) error {
	if cfg.Revision <= c.View().Revision {
		return nil
	}
	table, err := c.options.Compile(cfg)
	if err != nil {
		return err
	}
	c.enqueue(ctx, configAccepted{cfg: cfg, table: table})
	return nil
}

// Status returns the control state of this VM as operators see it.
func (c *Control) Status(ctx context.Context) (*cpview.Status, error) {
	answer := make(chan *cpview.Status, 1)
	c.enqueue(ctx, statusRequest{answer: answer})
	select {
	case s := <-answer:
		return s, nil
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultCanceled, "status given up: %v", ctx.Err())
	}
}

// row returns the status row of one member. Its Answered is negative if the member has never answered.
func (c *Control) row(m *clementineport.Member, now time.Time) cpview.Row {
	r := cpview.Row{
		VM:        m.VM,
		Start:     m.Start,
		State:     m.State,
		Revision:  m.Revision,
		Confirmed: m.Revision >= c.syncer.Revision(),
		Answered:  -1,
	}
	if c.table != nil {
		r.Out = cpowner.IsOutOfService(&m.VM, &c.table.OutOfService)
	}
	if at := c.membership.LastAnswer(m.ID); !at.IsZero() {
		r.Answered = now.Sub(at)
	}
	if m.ID == c.options.Self.ID {
		r.Answered = 0
	}
	return r
}

// tryEnqueue queues an event for the loop without blocking; it drops and counts the event if the queue is full.
func (c *Control) tryEnqueue(e event) {
	select {
	case c.events <- e:
	default:
		c.metrics.DroppedEvents.Inc()
	}
}
