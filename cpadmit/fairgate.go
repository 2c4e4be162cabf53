package cpadmit

import (
	"time"

	"github.com/clementineport/clementineport"
)

// Parameters of a fair gate.
const (
	// leastServed is the minimum share of the starts of a class, as a part of its share of the arrivals. No class is then served
	// less than that often, compared with all queries.
	leastServed = 0.25
	// classWeight is the weight of one arrival or start in the moving averages of the shares of the classes.
	classWeight = 0.01
	// maxCredit bounds the starts that a class has in reserve, so that they don't delay the other classes for long.
	maxCredit = 2 // starts
	// costWeight is the weight of one start in the mean cost.
	costWeight = 0.05
)

// fairGate is the state of a gate that shares its starts among workspaces.
type fairGate struct {
	queues [clementineport.NumClasses]*fairQueue
	// credit is the number of starts that each class may have before more urgent ones.
	credit [clementineport.NumClasses]float64
	// arrivals and starts hold the share of each class in the arrivals and in the starts, as moving averages.
	arrivals shares
	starts   shares
	classLimits
	// cost is the mean cost of the started queries in seconds, a moving average.
	cost float64
}

// shares holds the share of each class in the recent events, as a moving average.
type shares [clementineport.NumClasses]float64

// add records an event of a class.
func (s *shares) add(class clementineport.Class) {
	for c := range s {
		s[c] *= 1 - classWeight
	}
	s[class] += classWeight
}

// SetFair sets whether the gate shares its starts among workspaces. Waiting queries keep their tickets and their maximum waits.
func (g *Gate) SetFair(now time.Time, fair bool) {
	if fair == (g.fair != nil) {
		return
	}
	if !fair {
		for _, q := range g.fair.queues {
			for _, w := range q.flows {
				for _, r := range w.routes {
					for _, item := range r.waiting {
						g.queues[item.arrival.Class].push(item)
					}
				}
			}
		}
		g.fair = nil
		return
	}
	g.fair = &fairGate{}
	for _, r := range g.running {
		g.fair.running[r.arrival.Class]++
	}
	for c := range g.queues {
		g.fair.queues[c] = newFairQueue()
		for _, queue := range g.queues[c].queues {
			for _, item := range queue {
				g.fair.queues[c].push(now, item)
			}
		}
		g.queues[c] = newClassQueue()
	}
}

// Waiting returns the number of waiting queries of a class.
func (g *Gate) Waiting(c clementineport.Class) int {
	if g.fair != nil {
		return g.fair.queues[c].length
	}
	return g.queues[c].length
}

// Workspaces returns the number of workspaces whose state the gate keeps. A workspace counts once in each class that it uses.
func (g *Gate) Workspaces() (n int) {
	if g.fair != nil {
		for _, q := range g.fair.queues {
			n += len(q.flows)
		}
	}
	return n
}

// offerFair admits, queues or refuses a new query of a fair gate.
func (g *Gate) offerFair(now time.Time, a Arrival) Decision {
	f := g.fair
	q := f.queues[a.Class]
	f.arrivals.add(a.Class)
	if q.length == 0 && g.hasCapacity(a.Class) {
		q.start(now, &a)
		g.observeStart(&a)
		return g.start(now, a)
	}
	g.limit.markLimited(a.Class)
	until := now.Add(time.Duration(g.opts.MaxWaitShare * float64(a.Deadline.Sub(now))))
	if reason, late := g.late(now.Add(g.estimateFairWait(&a)), until, &a); late {
		return g.refuseFair(now, &a, reason)
	}
	g.last++
	q.push(now, waitingQuery{ticket: g.last, arrival: a, waitUntil: until})
	return Decision{Kind: KindQueued, Ticket: g.last, WaitUntil: until}
}

// estimateFairWait estimates how long the arrival would wait in the queue.
func (g *Gate) estimateFairWait(a *Arrival) time.Duration {
	f, perStart := g.fair, g.limit.latency/g.limit.value*float64(time.Second)
	q := f.queues[a.Class]
	if f.credit[a.Class] >= float64(q.length+1) {
		return time.Duration(float64(q.length+1) * perStart)
	}
	ahead := 1.0
	if f.cost > 0 {
		ahead = max(1, q.ahead(a)/f.cost)
	}
	urgent := 0.0
	for c := range a.Class {
		ahead += float64(f.queues[c].length)
		urgent += f.starts[c]
	}
	// Queries of more urgent classes that arrive meanwhile start before it.
	return time.Duration(q.waitFactor(a.Workspace) * ahead * perStart / max(1-urgent, f.minShare(a.Class, &g.opts)))
}

// minShare returns the minimum share of the starts of a class. It is above zero, as estimateFairWait divides by it.
func (f *fairGate) minShare(c clementineport.Class, o *Options) float64 {
	return max(o.ClassMinShare[c], leastServed*f.arrivals[c], classWeight)
}

// popFair removes and returns the next waiting query. A lower class goes first unless a higher one has enough credit for its
// minimum share. A class with credit may use as much of the limit as the most urgent one, whatever its own limit.
func (g *Gate) popFair(now time.Time) (waitingQuery, bool) {
	for c, q := range g.fair.queues {
		if q.length > 0 && g.fair.credit[c] >= 1 && g.hasCapacity(0) {
			if w, found := q.pop(now); found {
				g.observeStart(&w.arrival)
				return w, true
			}
		}
	}
	for c, q := range g.fair.queues {
		if q.length == 0 || !g.hasCapacity(clementineport.Class(c)) {
			continue
		}
		if w, found := q.pop(now); found {
			g.observeStart(&w.arrival)
			return w, true
		}
	}
	return waitingQuery{}, false
}

// observeStart records the class and cost of a query that starts. Each class is credited with its minimum share of a start.
func (g *Gate) observeStart(a *Arrival) {
	f := g.fair
	f.cost = smooth(f.cost, a.Cost, costWeight)
	f.starts.add(a.Class)
	for c := range f.credit {
		f.credit[c] = min(f.credit[c]+f.minShare(clementineport.Class(c), &g.opts), maxCredit)
	}
	f.credit[a.Class] = max(f.credit[a.Class]-1, 0)
}

// refuseFair returns a refusal. RetryAfter has jitter so that refused callers do not retry at the same time; it is at most
// MaxRetryAfter with the jitter.
func (g *Gate) refuseFair(now time.Time, a *Arrival, reason Reason) Decision {
	g.limit.refused++
	g.fair.observeMiss(a.Class, true)
	most := time.Duration(float64(g.opts.MaxRetryAfter) / 1.5)
	after := g.fair.queues[a.Class].retryAfter(now, a, g.estimateFairWait(a), most)
	after = time.Duration(float64(max(after, g.opts.MinRetryAfter)) * (0.5 + g.rand.Float64()))
	return Decision{Kind: KindRefused, RetryAfter: after, Reason: reason}
}
