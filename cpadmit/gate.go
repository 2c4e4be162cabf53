package cpadmit

import (
	"math/rand/v2"
	"time"

	"github.com/clementineport/clementineport"
)

// Ticket numbers an admitted or waiting query.
type Ticket uint64

// Arrival is a query that asks to start.
type Arrival struct {
	Service  clementineport.ServiceID
	Class    clementineport.Class
	Deadline time.Time
}

// Outcome says how a query ended.
type Outcome struct {
	// Shed is true when targets refused a part of the query because of load.
	Shed bool
	// Failed is true when the query failed or was given up.
	Failed bool
	// Queued is the part of its time that the query waited for others.
	Queued time.Duration
}

// Kind says what became of an arrival.
type Kind uint8

const (
	// KindAdmitted means that the query may start.
	KindAdmitted Kind = iota
	// KindQueued means that the query waits for its start.
	KindQueued
	// KindRefused means that the query is refused.
	KindRefused
)

// Decision is what became of an arrival.
type Decision struct {
	Kind   Kind
	Ticket Ticket
	// WaitUntil is when a waiting query must be withdrawn.
	WaitUntil time.Time
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// runningQuery is an admitted query.
type runningQuery struct {
	arrival Arrival
	started time.Time
}

// Gate decides which queries start. It is pure: the time is passed in, and the jitter comes from a seed.
// It is not safe for use from many goroutines.
type Gate struct {
	opts    Options
	rand    *rand.Rand
	limit   *adaptiveLimit
	queues  [clementineport.NumClasses]*classQueue
	running map[Ticket]runningQuery
	last    Ticket
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

// Limit returns the present limit on queries in progress.
func (g *Gate) Limit() int { return int(g.limit.value) }

// InProgress returns the number of queries in progress.
func (g *Gate) InProgress() int { return len(g.running) }

// Offer decides on a new query: it starts, waits for a short part of its time, or is refused at once.
func (g *Gate) Offer(now time.Time, a Arrival) Decision {
	g.limit.tick(now)
	a.Class = min(a.Class, clementineport.NumClasses-1)
	if g.opts.Unlimited || (g.queues[a.Class].length == 0 && g.hasCapacity(a.Class)) {
		return g.start(now, a)
	}
	g.limit.markLimited(a.Class)
	until := now.Add(time.Duration(g.opts.MaxWaitShare * float64(a.Deadline.Sub(now))))
	start := now.Add(g.estimateWait(a))
	if start.After(until) || start.Add(g.serviceTime(a.Service)).After(a.Deadline) {
		return g.refuse(a.Class)
	}
	g.last++
	g.queues[a.Class].push(waitingQuery{ticket: g.last, arrival: a, waitUntil: until})
	return Decision{Kind: KindQueued, Ticket: g.last, WaitUntil: until}
}

// Done records the end of an admitted query and returns the waiting queries that start now.
func (g *Gate) Done(now time.Time, t Ticket, o Outcome) []Ticket {
	r, known := g.running[t]
	if !known {
		return nil
	}
	delete(g.running, t)
	g.limit.sample(now, r.arrival.Service, now.Sub(r.started), o)
	return g.dispatch(now)
}

// Cancel refuses a waiting query whose wait has run out or whose caller has gone.
// A query that has started in the meantime stays admitted.
func (g *Gate) Cancel(t Ticket, a Arrival) Decision {
	a.Class = min(a.Class, clementineport.NumClasses-1)
	if g.queues[a.Class].remove(a.Service, t) {
		return g.refuse(a.Class)
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
	g.limit.peak = max(g.limit.peak, len(g.running))
}

// hasCapacity reports whether a query of the class may start within the class's share of the limit.
func (g *Gate) hasCapacity(c clementineport.Class) bool {
	return float64(len(g.running)+1) <= max(g.limit.value*g.opts.ClassShare[c], 1)
}

func (g *Gate) dispatch(now time.Time) []Ticket {
	var started []Ticket
	for {
		w, found := g.pop(now)
		if !found {
			return started
		}
		g.run(now, w.ticket, w.arrival)
		started = append(started, w.ticket)
	}
}

// pop takes the next waiting query: a lower class goes first unless a higher one is owed its least share.
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

// creditWaiting credits the classes that waited while a query of the given class started.
func (g *Gate) creditWaiting(started clementineport.Class) {
	for c, q := range g.queues {
		if q.length > 0 && clementineport.Class(c) != started {
			q.credit = min(q.credit+g.opts.ClassMinShare[c], 1)
		}
	}
}

// estimateWait estimates how long a new query of the arrival's class and service waits for its start.
func (g *Gate) estimateWait(a Arrival) time.Duration {
	ahead := 1
	for c := range a.Class {
		ahead += g.queues[c].length
	}
	ahead += g.queues[a.Class].ahead(a.Service)
	return time.Duration(float64(ahead) * g.limit.latency / g.limit.value * float64(time.Second))
}

// serviceTime returns how long a query of the service takes without queueing.
func (g *Gate) serviceTime(id clementineport.ServiceID) time.Duration {
	return time.Duration(g.limit.serviceTimes[id] * float64(time.Second))
}

// refuse returns a refusal; the time to come back grows with the refusals for each query that is served,
// and its spread keeps the refused from returning together.
func (g *Gate) refuse(c clementineport.Class) Decision {
	g.limit.refused++
	excess := g.limit.refusalRate / max(g.limit.completionRate, 1)
	after := float64(g.opts.MinRetryAfter) * (1 + excess) * float64(c+1)
	after = min(after, float64(g.opts.MaxRetryAfter)/1.5)
	after *= 0.5 + g.rand.Float64()
	return Decision{Kind: KindRefused, RetryAfter: time.Duration(after)}
}
