package cpcontrol

import (
	"context"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpowner"
	"github.com/clementineport/clementineport/cpview"
)

// Exchange answers a peer's exchange.
func (c *Control) Exchange(ctx context.Context, d *clementineport.Digest) (*clementineport.Digest, error) {
	answer := make(chan *clementineport.Digest, 1)
	c.send(ctx, heard{digest: d, answer: answer})
	select {
	case r := <-answer:
		return r, nil
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultCanceled, "exchange given up: %v", ctx.Err())
	}
}

// Config returns the configuration in force if it is newer than have, or nil.
func (c *Control) Config(_ context.Context, have clementineport.Revision) (*clementineport.Config, error) {
	v := c.View()
	if v.Revision <= have {
		return nil, nil
	}
	return v.Config, nil
}

// ObserveRevision records the revision that a call from or to a peer carried; it does not block.
func (c *Control) ObserveRevision(r clementineport.Revision, from clementineport.VMID) {
	if r <= c.View().Revision {
		return
	}
	c.named(r)
	c.post(noticed{revision: r, from: from})
}

// ProbeSoon records that a peer did not answer a call, so that it is probed soon; it does not block.
func (c *Control) ProbeSoon(id clementineport.VMID) {
	c.post(change(func(c *Control, now time.Time) { c.member.RequestProbe(now, id) }))
}

// RecordContact records that a peer answered a call that was sent at began; it does not block.
// While a higher revision than the one in force is known to exist, contact does not count.
func (c *Control) RecordContact(began time.Time) {
	if c.newest.Load() <= uint64(c.View().Revision) {
		c.freshness.RecordContact(began)
	}
}

// named records the revision that a peer has in force.
func (c *Control) named(r clementineport.Revision) {
	for {
		old := c.newest.Load()
		if uint64(r) <= old || c.newest.CompareAndSwap(old, uint64(r)) {
			return
		}
	}
}

// Leave tells the peers that this VM is shutting down.
func (c *Control) Leave() {
	c.events <- change(func(c *Control, _ time.Time) { c.member.Leave() })
}

// SetTicket sets the ticket that this VM tells its peers.
func (c *Control) SetTicket(ticket string) {
	c.events <- change(func(c *Control, _ time.Time) { c.member.SetTicket(ticket) })
}

// ApplyAccepted puts a configuration in force whose submission this VM has carried out, and asks the
// other VMs for confirmation.
func (c *Control) ApplyAccepted(ctx context.Context, cfg *clementineport.Config) error {
	if cfg.Revision <= c.View().Revision {
		return nil
	}
	table, err := c.options.Compile(cfg)
	if err != nil {
		return err
	}
	c.send(ctx, accepted{cfg: cfg, table: table})
	return nil
}

// Status returns what an operator sees of this VM's control state.
func (c *Control) Status(ctx context.Context) (*cpview.Status, error) {
	answer := make(chan *cpview.Status, 1)
	c.send(ctx, asked{answer: answer})
	select {
	case s := <-answer:
		return s, nil
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultCanceled, "status given up: %v", ctx.Err())
	}
}

func (c *Control) row(m *clementineport.Member, now time.Time) cpview.Row {
	r := cpview.Row{
		VM:        m.VM,
		Start:     m.Start,
		State:     m.State,
		Revision:  m.Revision,
		Confirmed: m.Revision >= c.spread.Revision(),
		Answered:  -1,
	}
	if c.table != nil {
		r.Out = cpowner.IsOutOfService(&m.VM, &c.table.OutOfService)
	}
	if at := c.member.LastAnswer(m.ID); !at.IsZero() {
		r.Answered = now.Sub(at)
	}
	if m.ID == c.options.Self.ID {
		r.Answered = 0
	}
	return r
}

// post gives an event to the loop, or drops and counts it when the loop is behind.
func (c *Control) post(e event) {
	select {
	case c.events <- e:
	default:
		c.metrics.DroppedEvents.Inc()
	}
}
