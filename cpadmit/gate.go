package cpadmit

import (
	"math/rand/v2"
	"time"

	"github.com/clementineport/clementineport"
)

// Ticket identifies an admitted or waiting query.
type Ticket uint64

// Arrival is a query that requests admission.
type Arrival struct {
	Service  clementineport.ServiceID
	Class    clementineport.Class
	Deadline time.Time
	// Workspace is the customer that the query is for. Workspace, Cost and Rank are used only while the gate shares its starts
	// among workspaces (SetFair).
	Workspace clementineport.WorkspaceID
	// Cost is the expected time in seconds that the query takes at targets.
	Cost float64
	// Rank is the place of the route in the order of urgency. The most urgent one has 0.
	Rank int
}

// Reason is the reason of a refusal.
type Reason uint8

const (
	// ReasonQueue means that the query would have to wait for longer than it may.
	ReasonQueue Reason = iota
	// ReasonDeadline means that the query would not end before its deadline.
	ReasonDeadline
	// ReasonWaited means that the query has waited for its maximum wait, or that its caller has canceled it.
	ReasonWaited
	// NumReasons is the number of reasons.
	NumReasons
)

// String returns the value of the reason in metrics.
func (r Reason) String() string {
	return [...]string{ReasonQueue: "queue", ReasonDeadline: "deadline", ReasonWaited: "waited"}[r]
}

// Outcome describes how a query ended.
type Outcome struct {
	// Shed is true when overloaded targets refused a part of the query.
	Shed bool
	// Failed is true when the query failed or was canceled.
	Failed bool
	// Queued is the time that the query spent waiting for other queries.
	Queued time.Duration
}

// Kind is the kind of a Decision.
type Kind uint8

const (
	// KindAdmitted means that the query may start.
	KindAdmitted Kind = iota
	// KindQueued means that the query waits in the queue.
	KindQueued
	// KindRefused means that the query is refused.
	KindRefused
)

// Decision is the result of offering or canceling a query.
type Decision struct {
	Kind   Kind
	Ticket Ticket
	// WaitUntil is when a query that still waits must be canceled.
	WaitUntil time.Time
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter time.Duration
	// Reason is set if the query is refused.
	Reason Reason
}

// runningQuery is an admitted query.
type runningQuery struct {
	arrival Arrival
	started time.Time
}

// Gate decides which queries start. It is deterministic: callers pass in the time, and the jitter comes from a seeded
// random source. It is not safe for concurrent use.
type Gate struct {
	opts    Options
	rand    *rand.Rand
	limit   *adaptiveLimit
	queues  [clementineport.NumClasses]*classQueue
	running map[Ticket]runningQuery
	last    Ticket
	// fair is nil while starts are not shared among workspaces.
	fair *fairGate
}

// NewGate returns a gate without queries.
func NewGate(o Options) *Gate {
	g := &Gate{
		opts:    o,
		rand:    rand.New(rand.NewPCG(o.Seed, 0)),
		running: make(map[Ticket]runningQuery),
	}
	g.limit = newLimit(&g.opts)
	for c := range g.queues {
		g.queues[c] = newClassQueue()
	}
	return g
}

// Limit returns the current limit on queries in progress.
func (g *Gate) Limit() int { return int(g.limit.value) }

// InProgress returns the number of queries in progress.
func (g *Gate) InProgress() int { return len(g.running) }

// Offer admits, queues or refuses a new query. A queued query waits for at most a share of its time left.
func (g *Gate) Offer(now time.Time, a Arrival) Decision {
	g.limit.tick(now)
	a.Class = min(a.Class, clementineport.NumClasses-1)
	if g.fair != nil && !g.opts.Unlimited {
		return g.offerFair(now, a)
	}
	if g.opts.Unlimited || (g.queues[a.Class].length == 0 && g.hasCapacity(a.Class)) {
		return g.start(now, a)
	}
	g.limit.markLimited(a.Class)
	until := now.Add(time.Duration(g.opts.MaxWaitShare * float64(a.Deadline.Sub(now))))
	start := now.Add(g.estimateWait(a))
	if reason, late := g.late(start, until, &a); late {
		return g.refuse(a.Class, reason)
	}
	g.last++
	g.queues[a.Class].push(waitingQuery{ticket: g.last, arrival: a, waitUntil: until})
	return Decision{Kind: KindQueued, Ticket: g.last, WaitUntil: until}
}

// late reports whether a query that would start at a given time would exceed its maximum wait, which ends at until, or its deadline.
func (g *Gate) late(start, until time.Time, a *Arrival) (Reason, bool) {
	if start.After(until) {
		return ReasonQueue, true
	}
	return ReasonDeadline, start.Add(g.serviceTime(a.Service)).After(a.Deadline)
}

// Done records the end of an admitted query and returns the waiting queries that are admitted in its place.
func (g *Gate) Done(now time.Time, t Ticket, o Outcome) []Ticket {
	r, known := g.running[t]
	if !known {
		return nil
	}
	delete(g.running, t)
	if g.fair != nil {
		g.observeEnd(now, &r.arrival, o)
	}
	g.limit.sample(now, r.arrival.Service, now.Sub(r.started), o)
	return g.dispatch(now)
}

// Cancel refuses a waiting query whose maximum wait has passed or whose caller has canceled it.
// A query that has been admitted in the meantime stays admitted.
func (g *Gate) Cancel(now time.Time, t Ticket, a Arrival) Decision {
	a.Class = min(a.Class, clementineport.NumClasses-1)
	if g.fair != nil && g.fair.queues[a.Class].remove(t, &a) {
		return g.refuseFair(now, &a, ReasonWaited)
	}
	if g.queues[a.Class].remove(a.Service, t) {
		return g.refuse(a.Class, ReasonWaited)
	}
	return Decision{Kind: KindAdmitted, Ticket: t}
}

func (g *Gate) start(now time.Time, a Arrival) Decision {
	g.last++
	g.run(now, g.last, a)
	return Decision{Kind: KindAdmitted, Ticket: g.last}
}

func (g *Gate) run(now time.Time, t Ticket, a Arrival) {
	g.running[t] = runningQuery{a, now}
	if g.fair != nil {
		g.fair.running[a.Class]++
	}
	g.limit.peak = max(g.limit.peak, len(g.running))
}

// hasCapacity reports whether one more query fits in the class's share of the limit.
func (g *Gate) hasCapacity(c clementineport.Class) bool {
	if g.fair != nil && g.fair.atLimit(c) {
		return false
	}
	return float64(len(g.running)+1) <= max(g.limit.value*g.opts.ClassShare[c], 1)
}

func (g *Gate) dispatch(now time.Time) []Ticket {
	var started []Ticket
	for {
		w, found := g.popNext(now)
		if !found {
			return started
		}
		g.run(now, w.ticket, w.arrival)
		started = append(started, w.ticket)
	}
}

// popNext removes and returns the next waiting query.
func (g *Gate) popNext(now time.Time) (waitingQuery, bool) {
	if g.fair != nil {
		return g.popFair(now)
	}
	return g.pop(now)
}

// pop removes and returns the next waiting query. A lower class goes first unless a higher one has enough credit for
// its minimum share.
func (g *Gate) pop(now time.Time) (waitingQuery, bool) {
	for c := range clementineport.NumClasses {
		q := g.queues[c]
		if q.length > 0 && q.credit >= 1 && g.hasCapacity(0) {
			if w, found := q.pop(now); found {
				q.credit--
				return w, true
			}
		}
	}
	for c := range clementineport.NumClasses {
		if g.queues[c].length == 0 || !g.hasCapacity(c) {
			continue
		}
		if w, found := g.queues[c].pop(now); found {
			g.creditWaiting(c)
			return w, true
		}
	}
	return waitingQuery{}, false
}

// creditWaiting credits the other classes with waiting queries when a query of the given class starts.
func (g *Gate) creditWaiting(started clementineport.Class) {
	for c, q := range g.queues {
		if q.length > 0 && clementineport.Class(c) != started {
			q.credit = min(q.credit+g.opts.ClassMinShare[c], 1)
		}
	}
}

// estimateWait estimates how long the arrival would wait in the queue.
func (g *Gate) estimateWait(a Arrival) time.Duration {
	ahead := 1
	for c := range a.Class {
		ahead += g.queues[c].length
	}
	ahead += g.queues[a.Class].ahead(a.Service)
	return time.Duration(float64(ahead) * g.limit.latency / g.limit.value * float64(time.Second))
}

// serviceTime returns how long a query of the service takes, without the queueing delay.
func (g *Gate) serviceTime(id clementineport.ServiceID) time.Duration {
	return time.Duration(g.limit.serviceTimes[id] * float64(time.Second))
}

// refuse returns a refusal. RetryAfter grows with the ratio of refused to served queries, and has jitter so that refused
// callers do not retry at the same time.
func (g *Gate) refuse(c clementineport.Class, reason Reason) Decision {
	g.limit.refused++
	excess := g.limit.refusalRate / max(g.limit.completionRate, 1)
	after := float64(g.opts.MinRetryAfter) * (1 + excess) * float64(c+1)
	after = min(after, float64(g.opts.MaxRetryAfter)/1.5)
	after *= 0.5 + g.rand.Float64()
	return Decision{Kind: KindRefused, RetryAfter: time.Duration(after), Reason: reason}
}
