// Package cpadmit implements admission control for the queries of a VM. It adapts the limit on queries in progress to
// the measured queueing delay, orders waiting queries by class and deadline, and immediately refuses a query that
// cannot finish before its deadline. It has no knowledge of targets and makes no calls.
package cpadmit

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/clementineport/clementineport"
)

// Admitter is a Gate that is safe for concurrent use and blocks callers while their queries wait.
type Admitter struct {
	clock    clementineport.Clock
	mu       sync.Mutex
	gate     *Gate
	waiters  map[Ticket]chan struct{}
	admitted [clementineport.NumClasses]*metrics.Counter
	refused  [clementineport.NumClasses]*metrics.Counter
	refusals [NumReasons]uint64
	// onOverload is called with mu held.
	onOverload  func(bool)
	overloaded  bool
	lastRefusal time.Time
}

// overloadEnd is the time without refusals after which an overload has ended. It exceeds DefaultMaxRetryAfter, so that
// refused callers which return count as the same overload.
const overloadEnd = 5 * time.Second

var _ clementineport.Admitter = (*Admitter)(nil)

// New returns an Admitter without queries.
func New(opts ...Option) *Admitter {
	o := NewOptions(opts...)
	a := &Admitter{clock: o.Clock, gate: NewGate(o), waiters: make(map[Ticket]chan struct{}), onOverload: o.OnOverload}
	for c := range clementineport.NumClasses {
		a.admitted[c] = o.Metrics.GetOrCreateCounter(fmt.Sprintf(`clementineport_admit_admitted_total{class=%q}`, c))
		a.refused[c] = o.Metrics.GetOrCreateCounter(fmt.Sprintf(`clementineport_admit_refused_total{class=%q}`, c))
	}
	o.Metrics.GetOrCreateGauge("clementineport_admit_limit", func() float64 { return float64(a.Limit()) })
	o.Metrics.GetOrCreateGauge("clementineport_admit_in_progress", func() float64 { return float64(a.InProgress()) })
	return a
}

// Limit returns the current limit on queries in progress.
func (a *Admitter) Limit() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Limit()
}

// InProgress returns the number of queries in progress.
func (a *Admitter) InProgress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.InProgress()
}

// Admit implements clementineport.Admitter.
func (a *Admitter) Admit(
	ctx context.Context, s *clementineport.Service, q *clementineport.Query,
) (done func(*clementineport.Answer), err error) {
	return a.AdmitArrival(ctx, Arrival{Service: s.Name, Class: s.Class, Deadline: q.Deadline})
}

// AdmitArrival waits until the query may start. The error and done are as those of clementineport.Admitter.Admit.
func (a *Admitter) AdmitArrival(ctx context.Context, arrival Arrival) (done func(*clementineport.Answer), err error) {
	arrival.Class = min(arrival.Class, clementineport.NumClasses-1)
	d, granted := a.offer(arrival)
	if d.Kind == KindQueued {
		d = a.wait(ctx, arrival, d, granted)
	}
	if d.Kind == KindRefused {
		a.refused[arrival.Class].Inc()
		refusal := clementineport.Fail(clementineport.FaultShed, "overloaded; class %s", arrival.Class)
		refusal.RetryAfter = d.RetryAfter
		return nil, refusal
	}
	a.admitted[arrival.Class].Inc()
	var once sync.Once
	return func(answer *clementineport.Answer) {
		once.Do(func() { a.done(d.Ticket, outcomeOf(answer)) })
	}, nil
}

func (a *Admitter) offer(arrival Arrival) (Decision, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := a.gate.Offer(a.clock.Now(), arrival)
	a.record(d)
	if d.Kind != KindQueued {
		return d, nil
	}
	granted := make(chan struct{})
	a.waiters[d.Ticket] = granted
	return d, granted
}

// wait blocks until the query may start, its maximum wait has passed, or its caller has canceled it.
func (a *Admitter) wait(ctx context.Context, arrival Arrival, d Decision, granted <-chan struct{}) Decision {
	select {
	case <-granted:
		return Decision{Kind: KindAdmitted, Ticket: d.Ticket}
	case <-a.clock.After(max(d.WaitUntil.Sub(a.clock.Now()), time.Nanosecond)):
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.waiters, d.Ticket)
	d = a.gate.Cancel(a.clock.Now(), d.Ticket, arrival)
	a.record(d)
	return d
}

// record counts a refusal by its reason, and reports the begin and end of an overload. The caller holds mu.
func (a *Admitter) record(d Decision) {
	now := a.clock.Now()
	if d.Kind == KindRefused {
		a.refusals[d.Reason]++
		a.lastRefusal = now
	}
	if overloaded := a.overloaded && now.Sub(a.lastRefusal) < overloadEnd || d.Kind == KindRefused; overloaded != a.overloaded {
		a.overloaded = overloaded
		a.onOverload(overloaded)
	}
}

// SetFair sets whether starts are shared among workspaces.
func (a *Admitter) SetFair(fair bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.SetFair(a.clock.Now(), fair)
}

// Stats are the counts of an Admitter.
type Stats struct {
	// Waiting holds the number of waiting queries by class.
	Waiting    [clementineport.NumClasses]int
	InProgress int
	// Workspaces is the number of workspaces whose state is kept. A workspace counts once in each class that it uses.
	Workspaces int
	// Refusals holds the number of refused queries by reason.
	Refusals [NumReasons]uint64
}

// Stats returns the current counts.
func (a *Admitter) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Stats{InProgress: a.gate.InProgress(), Workspaces: a.gate.Workspaces(), Refusals: a.refusals}
	for c := range s.Waiting {
		s.Waiting[c] = a.gate.Waiting(clementineport.Class(c))
	}
	return s
}

func (a *Admitter) done(t Ticket, o Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, started := range a.gate.Done(a.clock.Now(), t, o) {
		if granted, found := a.waiters[started]; found {
			close(granted)
			delete(a.waiters, started)
		}
	}
}

// outcomeOf returns the queueing delay of an answer and whether targets shed a part of the query.
func outcomeOf(answer *clementineport.Answer) Outcome {
	if answer == nil {
		return Outcome{Failed: true}
	}
	o := Outcome{Queued: answer.Stats.Queued}
	for _, m := range answer.Missing {
		o.Shed = o.Shed || m.Fault == clementineport.FaultShed
	}
	return o
}
