// Package cplimit decides when a call to a target that this VM owns may start. It counts slots, keeps a
// small queue ordered by class and deadline, and ramps cold targets up. Target is the pure state
// machine, Limiter the adapter that blocks. The package opens no connection and chooses no target.
package cplimit

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpslowstart"
)

// Limiter bounds the calls to the targets that this VM owns.
type Limiter struct {
	opts Options

	mu      sync.RWMutex
	entries map[clementineport.TargetID]*entry
	groups  map[clementineport.GroupID]*cpslowstart.Average
}

// entry is the state of one target and the calls that wait for it.
type entry struct {
	mu         sync.Mutex
	limits     *TargetLimiter
	lastTicket Ticket
	waiters    map[Ticket]chan error
}

// New returns a limiter that owns no target.
func New(opts ...Option) *Limiter {
	return &Limiter{
		opts:    NewOptions(opts...),
		entries: map[clementineport.TargetID]*entry{},
		groups:  map[clementineport.GroupID]*cpslowstart.Average{},
	}
}

// Update takes in a new table and which of its targets this VM owns. Queued calls to targets that are
// taken out or no longer owned are refused at once.
func (l *Limiter) Update(t *clementineport.Table, owned func(clementineport.TargetID) bool) {
	now := l.opts.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range t.Targets {
		l.update(now, &t.Targets[i], owned(t.Targets[i].ID))
	}
	for id, e := range l.entries {
		if _, ok := t.ByID[id]; !ok {
			e.close(now, clementineport.FaultTakenOut)
			delete(l.entries, id)
		}
	}
}

func (l *Limiter) update(now time.Time, t *clementineport.TargetRow, owned bool) {
	e := l.entries[t.ID]
	if e == nil && owned {
		e = l.add(now, t)
	}
	switch {
	case e == nil:
	case t.OutOfService:
		e.close(now, clementineport.FaultTakenOut)
	case !owned:
		e.close(now, clementineport.FaultNotOwner)
	default:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.limits.Open(now)
		e.deliver(e.limits.Resize(now, t.Group.Slots, t.Group.Queue), 0)
	}
}

func (l *Limiter) add(now time.Time, t *clementineport.TargetRow) *entry {
	warmTime := l.groups[t.Group.Name]
	if warmTime == nil {
		warmTime = &cpslowstart.Average{}
		l.groups[t.Group.Name] = warmTime
	}
	e := &entry{
		limits:  NewTargetLimiter(&l.opts, xxhash.Sum64String(string(t.ID)), &t.Group, warmTime, now),
		waiters: map[Ticket]chan error{},
	}
	l.entries[t.ID] = e
	return e
}

func (l *Limiter) entry(id clementineport.TargetID) *entry {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.entries[id]
}

// Load implements clementineport.Limiter.
func (l *Limiter) Load(id clementineport.TargetID) int {
	e := l.entry(id)
	if e == nil {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limits.InUse() + e.limits.Queued()
}

// SuspectRestart says that a target may have restarted, such as when it closed a connection.
func (l *Limiter) SuspectRestart(id clementineport.TargetID) {
	if e := l.entry(id); e != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.limits.SuspectRestart(l.opts.Clock.Now())
	}
}

// WasDraining reports whether the target was draining when it last answered, so that it has to be asked whether it
// still is before it gets work.
func (l *Limiter) WasDraining(id clementineport.TargetID) bool {
	e := l.entry(id)
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.limits.drainingUntil.IsZero()
}

// ColdTargets returns the number of owned targets that are not allowed all their slots.
func (l *Limiter) ColdTargets() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	n := 0
	for _, e := range l.entries {
		e.mu.Lock()
		if e.limits.closed == clementineport.FaultUnknown && e.limits.Cold() {
			n++
		}
		e.mu.Unlock()
	}
	return n
}

// Acquire implements clementineport.Limiter.
func (l *Limiter) Acquire(ctx context.Context, c *clementineport.Call) (func(*clementineport.CallResult), error) {
	e := l.entry(c.Target)
	if e == nil {
		return nil, clementineport.Fail(clementineport.FaultNotOwner, "target %q is not owned here", c.Target)
	}
	id, ready, err := e.offer(l.opts.Clock.Now(), c)
	if err == nil && ready != nil {
		err = l.wait(ctx, e, id, ready)
	}
	if err != nil {
		return nil, err
	}
	return func(r *clementineport.CallResult) { e.done(l.opts.Clock.Now(), id, r) }, nil
}

// offer returns a nil channel if the call may start at once.
func (e *entry) offer(now time.Time, c *clementineport.Call) (Ticket, chan error, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastTicket++
	id := e.lastTicket
	granted, err := e.deliver(e.limits.Offer(now, Request{id, c.Class, c.Deadline}), id)
	if granted {
		return id, nil, err
	}
	ready := make(chan error, 1)
	e.waiters[id] = ready
	return id, ready, nil
}

// deliver hands out grants and returns the one for the call own.
func (e *entry) deliver(grants []Decision, own Ticket) (granted bool, err error) {
	for _, g := range grants {
		if g.Ticket == own {
			granted, err = true, g.Err
			continue
		}
		if ready, ok := e.waiters[g.Ticket]; ok {
			delete(e.waiters, g.Ticket)
			ready <- g.Err
		}
	}
	return granted, err
}

// wait blocks until the call is granted or refused, or its caller gives up.
func (l *Limiter) wait(ctx context.Context, e *entry, id Ticket, ready chan error) error {
	for {
		select {
		case err := <-ready:
			return err
		case <-ctx.Done():
			return e.cancel(l.opts.Clock.Now(), id, ready, ctx.Err())
		case <-l.opts.Clock.After(e.timeUntilNextEvent(l.opts.Clock.Now())):
			e.tick(l.opts.Clock.Now())
		}
	}
}

// cancel takes a call out of the queue; if it was granted meanwhile, the grant is given back.
func (e *entry) cancel(now time.Time, id Ticket, ready chan error, cause error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, waiting := e.waiters[id]; waiting {
		delete(e.waiters, id)
		e.deliver(e.limits.Cancel(now, id), 0)
	} else if err := <-ready; err == nil {
		e.deliver(e.limits.Done(now, id, &clementineport.CallResult{Err: errCanceledInQueue}), 0)
	}
	return &clementineport.Error{Fault: clementineport.FaultDeadline, Reason: "given up in the queue", Err: cause}
}

var errCanceledInQueue = clementineport.Fail(clementineport.FaultDeadline, "given up in the queue")

func (e *entry) timeUntilNextEvent(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	next, ok := e.limits.NextEvent(now)
	if !ok {
		return time.Second
	}
	return max(next.Sub(now), time.Millisecond)
}

func (e *entry) tick(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliver(e.limits.Tick(now), 0)
}

func (e *entry) done(now time.Time, id Ticket, r *clementineport.CallResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliver(e.limits.Done(now, id, r), 0)
}

func (e *entry) close(now time.Time, f clementineport.Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliver(e.limits.Close(now, f), 0)
}
