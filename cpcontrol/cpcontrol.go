// Package cpcontrol runs the control state of one VM: membership, configuration, ownership and advice.
//
// One goroutine owns the state and publishes it as an immutable View. Calls run in other goroutines that
// send their results to it as events, so the loop never waits for the network. The decisions are made
// in cpmembership, cpconfigsync, cpowner and cpentrylist; this package only carries them out.
package cpcontrol

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconfigsync"
	"github.com/clementineport/clementineport/cpcontrol/cpmetrics"
	"github.com/clementineport/clementineport/cpentrylist"
	"github.com/clementineport/clementineport/cpmembership"
	"github.com/clementineport/clementineport/cpowner"
	"github.com/clementineport/clementineport/cppeerconns"
	"github.com/clementineport/clementineport/cpview"
)

// eventBacklog is the number of events that may wait for the loop.
const eventBacklog = 1024

// Control is the control state of one VM. Its exported methods are safe for concurrent use.
type Control struct {
	options   Options
	metrics   *cpmetrics.Metrics
	view      atomic.Pointer[cpview.View]
	freshness *cpconfigsync.Freshness
	// newest is the highest revision that a peer has named, but for those that could not be compiled.
	newest atomic.Uint64
	events chan event

	// The fields below belong to the loop.
	member     *cpmembership.Membership
	spread     *cpconfigsync.Syncer
	owner      *cpowner.Assigner
	peers      *cppeerconns.Peers
	config     *clementineport.Config
	table      *clementineport.Table
	targets    clementineport.TargetView
	published  uint64
	dirty      bool
	listing    bool
	nextList   time.Time
	listed     int
	chaseUntil time.Time
	nextChase  time.Time
}

// event is something that happened outside of the loop.
type event interface {
	apply(ctx context.Context, c *Control, now time.Time)
}

// New returns a control state that knows nothing yet; Serve runs it.
func New(opts ...Option) *Control {
	options := NewOptions(opts...)
	member := append([]cpmembership.Option{cpmembership.WithSeed(options.Seed)}, options.Membership...)
	spread := append([]cpconfigsync.Option{cpconfigsync.WithSeed(options.Seed)}, options.ConfigSync...)
	c := &Control{
		options:   options,
		freshness: cpconfigsync.NewFreshness(options.Clock, cpconfigsync.NewOptions(spread...).StaleAfter),
		events:    make(chan event, eventBacklog),
		member:    cpmembership.New(options.Self, member...),
		spread:    cpconfigsync.New(options.Self.ID, spread...),
		owner:     cpowner.New(),
		peers:     cppeerconns.New(options.Dial),
	}
	c.metrics = cpmetrics.New(options.Metrics, options.Log, c.View, c.freshness.Age, options.Size)
	c.publish()
	return c
}

// View returns the newest view.
func (c *Control) View() *cpview.View { return c.view.Load() }

// MaySend returns nil when new work may be sent now, or a FaultStale error.
// It is called just before each send, since the process may have been paused.
func (c *Control) MaySend() error { return c.freshness.MaySend() }

// Serve runs the loop until ctx ends; it implements suture.Service.
func (c *Control) Serve(ctx context.Context) error {
	c.step(ctx, c.options.Clock.Now())
	tick := c.options.Clock.After(c.options.TickPeriod)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-c.events:
			e.apply(ctx, c, c.options.Clock.Now())
		case <-tick:
			c.step(ctx, c.options.Clock.Now())
			tick = c.options.Clock.After(c.options.TickPeriod)
		}
		if c.dirty {
			c.publish()
		}
	}
}

// step carries out what the decisions ask for at this time.
func (c *Control) step(ctx context.Context, now time.Time) {
	c.list(ctx, now)
	for _, a := range c.member.Tick(now) {
		c.exchange(ctx, exchanged{peer: a.Peer.ID, began: a.Began, timeout: a.Timeout, kind: exchangeMember}, a.Peer)
	}
	c.chase(now)
	c.spreadTick(ctx, now)
	if c.member.Version() != c.published {
		c.dirty = true
	}
}

// spreadTick carries out what the spread of the configuration asks for.
func (c *Control) spreadTick(ctx context.Context, now time.Time) {
	for _, a := range c.spread.Tick(now) {
		switch a.Kind {
		case cpconfigsync.KindRead, cpconfigsync.KindWatch:
			c.askStore(ctx, a)
		case cpconfigsync.KindFetch:
			c.fetch(ctx, a)
		default:
			c.exchangeWith(ctx, a, now)
		}
	}
	c.freshness.SetMinority(c.spread.Minority())
}

// chase asks members for a while whether they have a revision that was accepted here.
func (c *Control) chase(now time.Time) {
	if now.After(c.chaseUntil) || now.Before(c.nextChase) {
		return
	}
	c.nextChase = now.Add(chasePeriod)
	c.spread.NotifyUnconfirmed(now, chaseMembers)
}

const (
	// chasePeriod is the time between two rounds of asking for confirmation.
	chasePeriod = 500 * time.Millisecond
	// chaseMembers is the number of members asked in one round.
	chaseMembers = 64
)

// inForce puts a configuration in force and publishes it at once.
func (c *Control) inForce(cfg *clementineport.Config, table *clementineport.Table) {
	c.config, c.table = cfg, table
	if c.options.Picker != nil {
		c.targets = c.options.Picker.View(table)
	}
	c.member.SetRevision(cfg.Revision)
	c.metrics.ConfigInForce(cfg)
	c.publish()
}

// publish makes a new view of the state.
func (c *Control) publish() {
	c.dirty = false
	c.published = c.member.Version()
	members := c.member.Members()
	c.spread.SetMembers(members, c.listed)
	c.freshness.SetSingleVM(c.spread.SingleVM())
	v := &cpview.View{
		Self:     c.options.Self.ID,
		Members:  members,
		Restored: c.spread.Restored(),
		Config:   c.config,
		Table:    c.table,
		Targets:  c.targets,
	}
	out := &clementineport.OutOfService{}
	if c.table != nil {
		v.Revision = c.config.Revision
		assignment := c.owner.Assign(c.table, members)
		v.Owners, v.Deputies = assignment.Owners, assignment.Standbys
		out = &c.table.OutOfService
	}
	v.Adviser = cpentrylist.New(c.options.Self.ID, members, out, c.options.EntryList...)
	c.view.Store(v)
	c.metrics.Publications.Inc()
	c.metrics.LogMemberStates(members)
	c.options.OnView(v)
}
