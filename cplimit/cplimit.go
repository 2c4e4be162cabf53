// Package cplimit limits the concurrent calls to the targets that this VM owns. It counts slots, keeps a
// short queue ordered by class and deadline, and raises the limit of cold targets gradually. TargetLimiter is a
// deterministic state machine for one target; Limiter is safe for concurrent use and blocks callers while their
// calls wait. The package opens no connections and chooses no targets.
package cplimit

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpslowstart"
)

// Limiter limits the concurrent calls to the targets that this VM owns.
type Limiter struct {
	opts Options

	mu      sync.RWMutex
	entries map[clementineport.TargetID]*targetEntry
	groups  map[clementineport.GroupID]*cpslowstart.Average
}

// targetEntry holds the limiter of one target and the calls that wait for it.
type targetEntry struct {
	mu         sync.Mutex
	limiter    *TargetLimiter
	lastTicket Ticket
	waiters    map[Ticket]chan error
}

// New returns a Limiter without targets.
func New(opts ...Option) *Limiter {
	return &Limiter{
		opts:    NewOptions(opts...),
		entries: map[clementineport.TargetID]*targetEntry{},
		groups:  map[clementineport.GroupID]*cpslowstart.Average{},
	}
}

// Update applies a new table and the ownership of its targets. Queued calls to targets that are removed, out of service
// or no longer owned are refused immediately.
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
		e.limiter.Open(now)
		e.deliver(e.limiter.Resize(now, t.Group.Slots, t.Group.Queue), 0)
	}
}

func (l *Limiter) add(now time.Time, t *clementineport.TargetRow) *targetEntry {
	warmLatency := l.groups[t.Group.Name]
	if warmLatency == nil {
		warmLatency = &cpslowstart.Average{}
		l.groups[t.Group.Name] = warmLatency
	}
	e := &targetEntry{
		limiter: NewTargetLimiter(&l.opts, xxhash.Sum64String(string(t.ID)), &t.Group, warmLatency, now),
		waiters: map[Ticket]chan error{},
	}
	l.entries[t.ID] = e
	return e
}

func (l *Limiter) entry(id clementineport.TargetID) *targetEntry {
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
	return e.limiter.InUse() + e.limiter.Queued()
}

// SuspectRestart records that a target may have restarted, for example because it closed a connection.
func (l *Limiter) SuspectRestart(id clementineport.TargetID) {
	if e := l.entry(id); e != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.limiter.SuspectRestart(l.opts.Clock.Now())
	}
}

// WasDraining reports whether the target was draining when it last answered, so that its state must be checked before
// it gets work.
func (l *Limiter) WasDraining(id clementineport.TargetID) bool {
	e := l.entry(id)
	if e == nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.limiter.drainingUntil.IsZero()
}

// ColdTargets returns the number of owned targets that are in slow start or may have restarted.
func (l *Limiter) ColdTargets() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	n := 0
	for _, e := range l.entries {
		e.mu.Lock()
		if e.limiter.closed == clementineport.FaultUnknown && e.limiter.Cold() {
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

// offer returns a nil channel if the call may start immediately.
func (e *targetEntry) offer(now time.Time, c *clementineport.Call) (Ticket, chan error, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastTicket++
	id := e.lastTicket
	decided, err := e.deliver(e.limiter.Offer(now, Request{id, c.Class, c.Deadline}), id)
	if decided {
		return id, nil, err
	}
	ready := make(chan error, 1)
	e.waiters[id] = ready
	return id, ready, nil
}

// deliver sends decisions to the waiting calls and returns the decision on the call own.
func (e *targetEntry) deliver(decisions []Decision, own Ticket) (decided bool, err error) {
	for _, d := range decisions {
		if d.Ticket == own {
			decided, err = true, d.Err
			continue
		}
		if ready, ok := e.waiters[d.Ticket]; ok {
			delete(e.waiters, d.Ticket)
			ready <- d.Err
		}
	}
	return decided, err
}

// wait blocks until the call is admitted or refused, or its context ends.
func (l *Limiter) wait(ctx context.Context, e *targetEntry, id Ticket, ready chan error) error {
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

// cancel removes a call from the queue. If the call was admitted in the meantime, cancel frees its slot.
func (e *targetEntry) cancel(now time.Time, id Ticket, ready chan error, cause error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, waiting := e.waiters[id]; waiting {
		delete(e.waiters, id)
		e.deliver(e.limiter.Cancel(now, id), 0)
	} else if err := <-ready; err == nil {
		e.deliver(e.limiter.Done(now, id, &clementineport.CallResult{Err: errCanceledInQueue}), 0)
	}
	return &clementineport.Error{Fault: clementineport.FaultDeadline, Reason: "given up in the queue", Err: cause}
}

var errCanceledInQueue = clementineport.Fail(clementineport.FaultDeadline, "given up in the queue")

func (e *targetEntry) timeUntilNextEvent(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	next, ok := e.limiter.NextEvent(now)
	if !ok {
		return time.Second
	}
	return max(next.Sub(now), time.Millisecond)
}

func (e *targetEntry) tick(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliver(e.limiter.Tick(now), 0)
}

func (e *targetEntry) done(now time.Time, id Ticket, r *clementineport.CallResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliver(e.limiter.Done(now, id, r), 0)
}

func (e *targetEntry) close(now time.Time, f clementineport.Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deliver(e.limiter.Close(now, f), 0)
}
