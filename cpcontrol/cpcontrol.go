// Package cpcontrol runs the control loop of one VM: membership, configuration, target ownership and entry lists.
//
// One goroutine owns the state and publishes it as an immutable View. Calls run in other goroutines, which
// send their results to the loop as events, so the loop never waits for the network. Decisions are made
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

// eventQueueSize is the number of events that can wait for the loop.
const eventQueueSize = 1024

// Control is the control state of one VM. Its exported methods are safe for concurrent use.
type Control struct {
	options   Options
	metrics   *cpmetrics.Metrics
	view      atomic.Pointer[cpview.View]
	freshness *cpconfigsync.Freshness
	// highestSeen is the highest revision that a peer has reported. It is reset when a fetched configuration
	// can't be compiled, so that a broken revision does not keep this VM stale.
	highestSeen atomic.Uint64
	events      chan event

	// The fields below are used by the loop's goroutine only.
	membership       *cpmembership.Membership
	syncer           *cpconfigsync.Syncer
	assigner         *cpowner.Assigner
	peers            *cppeerconns.Peers
	config           *clementineport.Config
	table            *clementineport.Table
	targets          clementineport.TargetView
	publishedVersion uint64
	dirty            bool
	listInProgress   bool
	nextList         time.Time
	maxListedVMs     int
	confirmUntil     time.Time
	nextConfirm      time.Time
}

// event is the result of a call or a request from another goroutine, to be handled by the loop.
type event interface {
	apply(ctx context.Context, c *Control, now time.Time)
}

// New returns a Control without members or configuration; Serve runs it.
func New(opts ...Option) *Control {
	options := NewOptions(opts...)
	membershipOptions := append([]cpmembership.Option{cpmembership.WithSeed(options.Seed)}, options.MembershipOptions...)
	syncOptions := append([]cpconfigsync.Option{cpconfigsync.WithSeed(options.Seed)}, options.ConfigSyncOptions...)
	c := &Control{
		options:    options,
		freshness:  cpconfigsync.NewFreshness(options.Clock, cpconfigsync.NewOptions(syncOptions...).StaleAfter),
		events:     make(chan event, eventQueueSize),
		membership: cpmembership.New(options.Self, membershipOptions...),
		syncer:     cpconfigsync.New(options.Self.ID, syncOptions...),
		assigner:   cpowner.New(),
		peers:      cppeerconns.New(options.Dial),
	}
	c.metrics = cpmetrics.New(options.Metrics, options.Log, c.View, c.freshness.Age, options.Size)
	c.publish()
	return c
}

// View returns the newest view.
func (c *Control) View() *cpview.View { return c.view.Load() }

// MaySend returns nil if new work may be sent now, or a FaultStale error.
// It must be called right before each send, since the process may have been paused in between.
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

// step starts the calls that are due at this time.
func (c *Control) step(ctx context.Context, now time.Time) {
	c.list(ctx, now)
	for _, a := range c.membership.Tick(now) {
		c.exchange(ctx, exchangeResult{peer: a.Peer.ID, began: a.Began, timeout: a.Timeout, kind: exchangeMembership}, a.Peer)
	}
	c.requestConfirmations(now)
	c.syncTick(ctx, now)
	if c.membership.Version() != c.publishedVersion {
		c.dirty = true
	}
}

// syncTick starts the calls that configuration sync has due.
func (c *Control) syncTick(ctx context.Context, now time.Time) {
	for _, a := range c.syncer.Tick(now) {
		switch a.Kind {
		case cpconfigsync.KindRead, cpconfigsync.KindWatch:
			c.callStore(ctx, a)
		case cpconfigsync.KindFetch:
			c.fetch(ctx, a)
		default:
			c.exchangeWith(ctx, a, now)
		}
	}
	c.freshness.SetMinority(c.syncer.Minority())
}

// requestConfirmations notifies members that have not confirmed a revision that was accepted through this VM.
// It repeats this each confirmPeriod until Options.ConfirmFor has passed since the acceptance.
func (c *Control) requestConfirmations(now time.Time) {
	if now.After(c.confirmUntil) || now.Before(c.nextConfirm) {
		return
	}
	c.nextConfirm = now.Add(confirmPeriod)
	c.syncer.NotifyUnconfirmed(now, confirmMembers)
}

const (
	// confirmPeriod is the time between two rounds of confirmation requests.
	confirmPeriod = 500 * time.Millisecond
	// confirmMembers is the maximum number of members notified in one round.
	confirmMembers = 64
)

// putInForce puts a configuration in force and publishes a view with it.
func (c *Control) putInForce(cfg *clementineport.Config, table *clementineport.Table) {
	c.config, c.table = cfg, table
	if c.options.Picker != nil {
		c.targets = c.options.Picker.View(table)
	}
	c.membership.SetRevision(cfg.Revision)
	c.metrics.ConfigInForce(cfg)
	c.publish()
}

// publish replaces the view by one of the current state.
func (c *Control) publish() {
	c.dirty = false
	c.publishedVersion = c.membership.Version()
	members := c.membership.Members()
	c.syncer.SetMembers(members, c.maxListedVMs)
	c.freshness.SetSingleVM(c.syncer.SingleVM())
	v := &cpview.View{
		Self:     c.options.Self.ID,
		Members:  members,
		Restored: c.syncer.Restored(),
		Config:   c.config,
		Table:    c.table,
		Targets:  c.targets,
	}
	out := &clementineport.OutOfService{}
	if c.table != nil {
		v.Revision = c.config.Revision
		assignment := c.assigner.Assign(c.table, members)
		v.Owners, v.StandbyOwners = assignment.Owners, assignment.Standbys
		out = &c.table.OutOfService
	}
	v.EntryList = cpentrylist.New(c.options.Self.ID, members, out, c.options.EntryListOptions...)
	c.view.Store(v)
	c.metrics.Publications.Inc()
	c.metrics.LogMemberStates(members)
	c.options.OnView(v)
}
