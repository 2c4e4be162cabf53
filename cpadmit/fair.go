package cpadmit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
)

// Parameters of fair queueing.
const (
	// routeWeight is the ratio of the shares of two routes of a workspace of which one is the next more urgent. The less urgent
	// one of two keeps a third, so that a flood of the other does not stop it.
	routeWeight = 2
	// maxRank bounds the rank of a route, and so the ratio of shares.
	maxRank = 4
	// idleRetention is how long a workspace without requests is kept. It exceeds the longest Retry-After, so that a caller that
	// honours it finds the state of its workspace.
	idleRetention = 2 * DefaultMaxRetryAfter
	// rateSpan is the time constant of the moving average of the served requests of a workspace.
	rateSpan = time.Second
	// waitFactorRise is the factor by which a query that leaves the queue without starting raises the wait factor of its
	// workspace, up to maxWaitFactor, and waitFactorFall the one by which a query that starts lowers it. The ratio of the two
	// steps is about the share of the waiting queries that may leave without starting.
	waitFactorRise = 1.1
	waitFactorFall = 0.99
	maxWaitFactor  = 4
	// minServedRate is the lowest rate that is assumed for a workspace, so that Retry-After stays finite if few of its requests
	// were served.
	minServedRate = 1 // requests per second
)

// fairQueue holds the waiting queries of one class by start-time fair queueing of their cost: by workspace with equal shares, and
// within a workspace by route. Within a route, the query with the earliest deadline goes first.
type fairQueue struct {
	flows map[clementineport.WorkspaceID]*workspaceFlow
	// virtual is the start tag of the query that started last.
	virtual float64
	length  int
	swept   time.Time
}

// workspaceFlow is the state of one workspace in a fairQueue.
type workspaceFlow struct {
	// tag is the start tag of its next query, on the scale of fairQueue.virtual.
	tag float64
	// since is the ticket of the query that found no other one of the workspace waiting. It decides between equal tags.
	since Ticket
	// virtual is the start tag of the route whose query started last.
	virtual float64
	routes  map[clementineport.ServiceID]*routeFlow
	// length and cost are the number and the total cost in seconds of its waiting queries.
	length int
	cost   float64
	// waitFactor is the ratio of actual to estimated waits, at least one. Waits exceed the estimate if queries of workspaces with
	// less use arrive later and start earlier.
	waitFactor float64
	// served is the number of started queries, which decays exponentially with rateSpan. lastSeen is the time of the
	// latest arrival, when it decayed last.
	served   float64
	lastSeen time.Time
	// nextRetry is the latest time for which a refused caller was told to retry, without jitter.
	nextRetry time.Time
}

// routeFlow is the state of one route of a workspace.
type routeFlow struct {
	// tag is the start tag of its next query, on the scale of workspaceFlow.virtual.
	tag  float64
	rank int
	// cost is the total cost of the waiting queries in seconds.
	cost float64
	// waiting is sorted by deadline.
	waiting []waitingQuery
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[clementineport.WorkspaceID]*workspaceFlow)}
}

// weight returns the weight of the route within its workspace.
func (r *routeFlow) weight() float64 { return math.Pow(routeWeight, -float64(r.rank)) }

// flow returns the state of a workspace and a route, which it creates if necessary. It also removes idle workspaces.
func (q *fairQueue) flow(now time.Time, a *Arrival) (*workspaceFlow, *routeFlow) {
	q.sweep(now)
	w := q.flows[a.Workspace]
	if w == nil {
		w = &workspaceFlow{routes: make(map[clementineport.ServiceID]*routeFlow), lastSeen: now, waitFactor: 1}
		q.flows[a.Workspace] = w
	}
	w.decay(now)
	r := w.routes[a.Service]
	if r == nil {
		r = &routeFlow{}
		w.routes[a.Service] = r
	}
	r.rank = min(max(a.Rank, 0), maxRank)
	return w, r
}

// decay applies the exponential decay to the count of served queries.
func (w *workspaceFlow) decay(now time.Time) {
	if elapsed := now.Sub(w.lastSeen); elapsed > 0 {
		w.served *= math.Exp(-float64(elapsed) / float64(rateSpan))
		w.lastSeen = now
	}
}

// sweep removes workspaces that have been idle for idleRetention, so that the memory is bounded by those in use. A removed
// workspace that returns begins at the virtual time.
func (q *fairQueue) sweep(now time.Time) {
	if now.Sub(q.swept) < idleRetention {
		return
	}
	q.swept = now
	for id, w := range q.flows {
		if w.length == 0 && now.Sub(w.lastSeen) >= idleRetention {
			delete(q.flows, id)
		}
	}
}

// push adds a waiting query. A workspace or route without waiting queries begins at the virtual time, so that it gains nothing
// by having been idle.
func (q *fairQueue) push(now time.Time, item waitingQuery) {
	w, r := q.flow(now, &item.arrival)
	if w.length == 0 {
		w.tag, w.since = max(w.tag, q.virtual), item.ticket
	}
	if len(r.waiting) == 0 {
		r.tag = max(r.tag, w.virtual)
	}
	at, _ := slices.BinarySearchFunc(r.waiting, item, func(a, b waitingQuery) int {
		return cmp.Or(a.arrival.Deadline.Compare(b.arrival.Deadline), cmp.Compare(a.ticket, b.ticket))
	})
	r.waiting = slices.Insert(r.waiting, at, item)
	w.add(r, item.arrival.Cost, 1)
	q.length++
}

// add changes the number and cost of the waiting queries.
func (w *workspaceFlow) add(r *routeFlow, cost float64, n int) {
	w.length, w.cost, r.cost = w.length+n, w.cost+float64(n)*cost, r.cost+float64(n)*cost
}

// pop removes and returns the next query whose maximum wait has not passed.
func (q *fairQueue) pop(now time.Time) (waitingQuery, bool) {
	var w *workspaceFlow
	for _, other := range q.flows {
		if other.ready(now) && (w == nil || cmp.Or(cmp.Compare(other.tag, w.tag), cmp.Compare(other.since, w.since)) < 0) {
			w = other
		}
	}
	if w == nil {
		return waitingQuery{}, false
	}
	r := w.next(now)
	i := r.first(now)
	item := r.waiting[i]
	r.waiting = slices.Delete(r.waiting, i, i+1)
	w.add(r, item.arrival.Cost, -1)
	q.length--
	w.waitFactor = max(w.waitFactor*waitFactorFall, 1)
	q.charge(w, r, item.arrival.Cost)
	return item, true
}

// start accounts for a query that starts without waiting.
func (q *fairQueue) start(now time.Time, a *Arrival) {
	w, r := q.flow(now, a)
	w.tag, r.tag = max(w.tag, q.virtual), max(r.tag, w.virtual)
	q.charge(w, r, a.Cost)
}

// charge advances the tags for a query that starts.
func (q *fairQueue) charge(w *workspaceFlow, r *routeFlow, cost float64) {
	q.virtual, w.virtual = max(q.virtual, w.tag), max(w.virtual, r.tag)
	w.tag += cost
	r.tag += cost / r.weight()
	w.served++
}

// ready reports whether the workspace has a query that may start.
func (w *workspaceFlow) ready(now time.Time) bool { return w.length > 0 && w.next(now) != nil }

// next returns the route whose query is next, or nil. Of routes with equal tags the more urgent one goes first.
func (w *workspaceFlow) next(now time.Time) (best *routeFlow) {
	for _, r := range w.routes {
		first := r.first(now)
		if first < 0 {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(r.tag, best.tag), cmp.Compare(r.rank, best.rank),
			cmp.Compare(r.waiting[first].ticket, best.waiting[best.first(now)].ticket)) < 0 {
			best = r
		}
	}
	return best
}

// first returns the index of the first query whose maximum wait has not passed, or -1.
func (r *routeFlow) first(now time.Time) int {
	return slices.IndexFunc(r.waiting, func(w waitingQuery) bool { return now.Before(w.waitUntil) })
}

// remove removes a query from the queue and reports whether it was there.
func (q *fairQueue) remove(t Ticket, a *Arrival) bool {
	w := q.flows[a.Workspace]
	if w == nil || w.routes[a.Service] == nil {
		return false
	}
	r := w.routes[a.Service]
	i := slices.IndexFunc(r.waiting, func(w waitingQuery) bool { return w.ticket == t })
	if i < 0 {
		return false
	}
	w.add(r, r.waiting[i].arrival.Cost, -1)
	r.waiting = slices.Delete(r.waiting, i, i+1)
	q.length--
	w.waitFactor = min(w.waitFactor*waitFactorRise, maxWaitFactor)
	return true
}

// waitFactor returns the ratio of actual to estimated waits of a workspace.
func (q *fairQueue) waitFactor(id clementineport.WorkspaceID) float64 {
	if w := q.flows[id]; w != nil {
		return w.waitFactor
	}
	return 1
}

// ahead returns the cost in seconds of the queries that start before a new one, including its own. Shares are equal, so while a
// workspace is served a cost, each other one with waiting queries is served as much, or all that it has.
func (q *fairQueue) ahead(a *Arrival) float64 {
	own := a.Cost
	if w := q.flows[a.Workspace]; w != nil {
		own = w.ahead(a)
	}
	total := own
	for id, w := range q.flows {
		if id != a.Workspace {
			total += min(w.cost, own)
		}
	}
	return total
}

// ahead returns the cost in seconds of the queries of the workspace that start before a new one, including its own. Routes count
// by their weights.
func (w *workspaceFlow) ahead(a *Arrival) float64 {
	own := routeFlow{rank: min(max(a.Rank, 0), maxRank)}
	if r := w.routes[a.Service]; r != nil {
		own.cost = r.cost
	}
	own.cost += a.Cost
	total := own.cost
	for id, r := range w.routes {
		if id != a.Service {
			total += min(r.cost, own.cost*r.weight()/own.weight())
		}
	}
	return total
}

// retryAfter returns the time after which a refused caller of a workspace may retry, at least wait and at most most. Each refused
// caller gets a later time than the one before it, at the rate at which the workspace is served, so that the queue will have
// room for it.
func (q *fairQueue) retryAfter(now time.Time, a *Arrival, wait, most time.Duration) time.Duration {
	w, _ := q.flow(now, a)
	if earliest := now.Add(wait); w.nextRetry.Before(earliest) {
		w.nextRetry = earliest
	}
	w.nextRetry = w.nextRetry.Add(time.Duration(float64(time.Second) / max(w.served/rateSpan.Seconds(), minServedRate)))
	if latest := now.Add(most); w.nextRetry.After(latest) {
		w.nextRetry = latest
	}
	return w.nextRetry.Sub(now)
}
