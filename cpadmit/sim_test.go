package cpadmit_test

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
)

// Parameters of the simulation: back ends with a fixed number of slots and one queue, log-normal service times, and
// callers that time out at the deadline. Callers retry after the RetryAfter of a refusal, or after a backoff when they
// timed out.
const (
	simSlots       = 20
	simServiceTime = 40 * time.Millisecond
	simSigma       = 0.5
	simDeadline    = 250 * time.Millisecond
	simMaxAttempts = 10
	simBackoff     = 100 * time.Millisecond
	// simInsistentRetry is the time after which insistent callers retry.
	simInsistentRetry = 5 * time.Millisecond
	simCapacity       = float64(simSlots) / 0.040 // queries per second
)

// flow is the arrivals of one service, as a share of the capacity.
type flow struct {
	service clementineport.ServiceID
	class   clementineport.Class
	share   float64
	// route is the route of the workspace, or empty for one that only this flow has. workspace and rank matter to fair gates.
	route     clementineport.ServiceID
	workspace clementineport.WorkspaceID
	rank      int
	// work is a multiple of the service time, or zero for one.
	work float64
	// insistent callers retry at once, whatever Retry-After they get.
	insistent bool
}

// phase is a part of the run with constant flows; slowdown multiplies the service times.
type phase struct {
	length   time.Duration
	slowdown float64
	flows    []flow
}

func interactiveFlow(share float64) flow {
	return flow{service: "booking-desk", class: clementineport.ClassInteractive, share: share}
}

func batchFlow(share float64) flow {
	return flow{service: "certificate-sync", class: clementineport.ClassBatch, share: share}
}

type simQuery struct {
	cpadmit.Arrival
	ticket   cpadmit.Ticket
	gate     int
	called   time.Time
	queued   time.Duration
	offered  time.Time
	attempts int
	flow     *flow
}

// waitingKey identifies a waiting query of one VM.
type waitingKey struct {
	gate   int
	ticket cpadmit.Ticket
}

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim runs the simulation in virtual time.
type sim struct {
	now             time.Time
	rand            *rand.Rand
	gates           []*cpadmit.Gate
	events          events
	busy            int
	backlog         []*simQuery
	waiting         map[waitingKey]*simQuery
	slowdown        float64
	answered        map[clementineport.ServiceID][]time.Time
	latency         map[clementineport.ServiceID][]time.Duration
	slowestRefusal  time.Duration // from an arrival to its refusal
	delayedRefusals int           // refusals of queued queries
	retryAfters     []time.Duration
	retryAfterOf    map[clementineport.ServiceID][]time.Duration
	demand          map[clementineport.ServiceID]int // queries without retries
	refusals        int
}

var simStart = time.Unix(0, 0)

// newSim returns a simulation of VMs that share the back ends.
func newSim(seed uint64, vms int, opts ...cpadmit.Option) *sim {
	s := &sim{
		now:      simStart,
		rand:     rand.New(rand.NewPCG(seed, 1)),
		waiting:  make(map[waitingKey]*simQuery),
		answered: make(map[clementineport.ServiceID][]time.Time),
		latency:  make(map[clementineport.ServiceID][]time.Duration),

		retryAfterOf: make(map[clementineport.ServiceID][]time.Duration),
		demand:       make(map[clementineport.ServiceID]int),
	}
	for vm := range vms {
		seeded := cpadmit.WithSeed(seed + uint64(vm))
		s.gates = append(s.gates, cpadmit.NewGate(cpadmit.NewOptions(append(opts, seeded)...)))
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	heap.Push(&s.events, event{s.now.Add(d), do})
}

func (s *sim) run(phases ...phase) *sim {
	var begin time.Duration
	for _, p := range phases {
		s.after(begin, func() { s.slowdown = max(p.slowdown, 1) })
		for _, f := range p.flows {
			s.arrivals(f, begin, p.length)
		}
		begin += p.length
	}
	end := simStart.Add(begin)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *sim) arrivals(f flow, begin, length time.Duration) {
	if f.work == 0 {
		f.work = 1
	}
	for at := begin; f.share > 0; {
		at += time.Duration(s.rand.ExpFloat64() / (f.share * simCapacity / f.work) * float64(time.Second))
		if at >= begin+length {
			return
		}
		q := &simQuery{flow: &f, Arrival: cpadmit.Arrival{
			Service: cmp.Or(f.route, f.service), Class: f.class, Workspace: f.workspace, Rank: f.rank, Cost: f.work * simServiceTime.Seconds(),
		}}
		s.after(at, func() { s.demand[f.service]++; s.offer(q) })
	}
}

func (s *sim) offer(q *simQuery) {
	q.offered = s.now
	q.Deadline = s.now.Add(simDeadline)
	q.gate = s.rand.IntN(len(s.gates))
	d := s.gates[q.gate].Offer(s.now, q.Arrival)
	q.ticket = d.Ticket
	switch d.Kind {
	case cpadmit.KindAdmitted:
		s.call(q)
	case cpadmit.KindQueued:
		w := waitingKey{q.gate, d.Ticket}
		s.waiting[w] = q
		s.after(d.WaitUntil.Sub(s.now), func() { s.expire(q, w) })
	default:
		s.refuse(q, d)
	}
}

func (s *sim) expire(q *simQuery, w waitingKey) {
	if s.waiting[w] == nil {
		return
	}
	delete(s.waiting, w)
	s.refuse(q, s.gates[w.gate].Cancel(s.now, w.ticket, q.Arrival))
}

func (s *sim) refuse(q *simQuery, d cpadmit.Decision) {
	s.refusals++
	if delay := s.now.Sub(q.offered); delay > 0 {
		s.delayedRefusals++
		s.slowestRefusal = max(s.slowestRefusal, delay)
	}
	s.retryAfters = append(s.retryAfters, d.RetryAfter)
	s.retryAfterOf[q.flow.service] = append(s.retryAfterOf[q.flow.service], d.RetryAfter)
	if q.flow.insistent {
		d.RetryAfter = simInsistentRetry
	}
	s.retry(q, d.RetryAfter)
}

func (s *sim) retry(q *simQuery, after time.Duration) {
	if q.attempts++; q.attempts < simMaxAttempts {
		s.after(after, func() { s.offer(q) })
	}
}

func (s *sim) call(q *simQuery) {
	q.called = s.now
	s.backlog = append(s.backlog, q)
	s.serve()
}

func (s *sim) serve() {
	for s.busy < simSlots && len(s.backlog) > 0 {
		q := s.backlog[0]
		s.backlog = s.backlog[1:]
		s.busy++
		q.queued = s.now.Sub(q.called)
		mean := math.Log(simServiceTime.Seconds()) - simSigma*simSigma/2
		length := q.flow.work * s.slowdown * math.Exp(mean+simSigma*s.rand.NormFloat64())
		s.after(time.Duration(length*float64(time.Second)), func() { s.finish(q) })
	}
}

func (s *sim) finish(q *simQuery) {
	s.busy--
	if s.now.After(q.Deadline) {
		s.retry(q, simBackoff)
	} else {
		s.answered[q.flow.service] = append(s.answered[q.flow.service], s.now)
		s.latency[q.flow.service] = append(s.latency[q.flow.service], s.now.Sub(q.offered))
	}
	for _, t := range s.gates[q.gate].Done(s.now, q.ticket, cpadmit.Outcome{Queued: q.queued}) {
		w := waitingKey{q.gate, t}
		started := s.waiting[w]
		delete(s.waiting, w)
		s.call(started)
	}
	s.serve()
}

// goodput returns the rate of answers before the deadline between two times of the run, as a share of the capacity.
func (s *sim) goodput(id clementineport.ServiceID, from, to time.Duration) float64 {
	n := 0
	for _, at := range s.answered[id] {
		if since := at.Sub(simStart); since >= from && since < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds() / simCapacity
}

// p99 returns the 99th percentile of the latency of a service's answers.
func (s *sim) p99(id clementineport.ServiceID) time.Duration {
	sorted := slices.Sorted(slices.Values(s.latency[id]))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[len(sorted)*99/100]
}
