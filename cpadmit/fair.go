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
	// idleRetention is how long a workspace without requests is kept. Its Retry-After may be that far ahead.
	idleRetention = 2 * DefaultMaxRetryAfter
	// rateSpan is the span over which the served requests of a workspace are averaged.
	rateSpan = time.Second
	// Each query that has waited in vain raises the factor of the estimated waits of its workspace, up to maxWaitFactor, and each
	// that starts lowers it. The ratio of the two steps is about the share that may wait in vain.
	waitFactorRise = 1.1
	waitFactorFall = 0.99
	maxWaitFactor  = 4
	// minServedRate is the rate in requests per second that is assumed for a workspace of which few requests were served.
	minServedRate = 1
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
	// since is the ticket of the query with which it began to wait.
	since   Ticket
	virtual float64
	routes  map[clementineport.ServiceID]*routeFlow
	length  int
	cost    float64
	// waitFactor is the ratio of actual to estimated waits, at least one. Queries that arrive later may start earlier, if they are
	// of workspaces that use less.
	waitFactor float64
	// served is the number of started queries, decayed over rateSpan.
	served   float64
	lastSeen time.Time
	// nextRetry is the latest time for which a refused caller was told to retry, without jitter.
	nextRetry time.Time
}

// routeFlow is the state of one route of a workspace.
type routeFlow struct {
	tag     float64
	rank    int
	cost    float64
	waiting []waitingQuery
}

func newFairQueue() *fairQueue {
	return &fairQueue{flows: make(map[clementineport.WorkspaceID]*workspaceFlow)}
}

// weight returns the weight of the route within its workspace.
func (r *routeFlow) weight() float64 { return math.Pow(routeWeight, -float64(r.rank)) }

// flow returns the state of a workspace and a route. It forgets idle workspaces now and then.
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

// decay lets the count of served queries age.
func (w *workspaceFlow) decay(now time.Time) {
	if elapsed := now.Sub(w.lastSeen); elapsed > 0 {
		w.served *= math.Exp(-float64(elapsed) / float64(rateSpan))
		w.lastSeen = now
	}
}

// sweep forgets workspaces that have been idle for idleRetention, so that the memory is bounded by those in use. After that time
// their tags are of no importance: they would begin at the virtual time.
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

// push adds a waiting query. A workspace or route that has not waited begins at the virtual time.
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

// ahead returns the cost of the queries that start before a new one, including its own. By the time that a workspace has had a
// cost served, each of the others has had as much.
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

// ahead returns the cost of the queries of the workspace that start before a new one, including its own.
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

// retryAfter returns when a refused caller of a workspace may retry. Each refused caller gets a later time than the one before
// it, at the rate at which the workspace is served, so that the queue will have room for it.
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
