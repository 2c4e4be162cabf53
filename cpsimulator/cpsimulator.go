// Package cpsimulator runs the decisions about requests in virtual time against modelled searchers and callers, so that
// policies can be compared in seconds. It uses the product's own decision packages; what it models are targets (slots,
// queues, pauses, speeds, refusals) and callers (rates, deadlines, one retry), not a cluster: all VMs know everything.
package cpsimulator

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cpplan"
	"github.com/clementineport/clementineport/cpquota"
)

// Targets describes the targets of a model.
type Targets struct {
	Shards int
	// Replicas is the number of targets of each shard.
	Replicas int
	Slots    int
	Queue    int
	// Pause is how long each target stands still, and PauseEvery the time from one pause to the next.
	Pause      time.Duration
	PauseEvery time.Duration
}

// Kind describes a kind of request.
type Kind struct {
	Name     string
	Priority int
	// Rate is the number of first attempts a second.
	Rate float64
	// ServiceTime is the mean time that a target works on one call.
	ServiceTime time.Duration
	Objective   time.Duration
	Deadline    time.Duration
	// MinCoverage is the share of shards below which an answer is no success.
	MinCoverage float64
}

// Disruption is something that happens to targets or callers for a while.
type Disruption struct {
	From time.Duration
	To   time.Duration
	// Affects reports whether it concerns a copy of a shard; nil concerns none.
	Affects func(shard, n int) bool
	// Slowdown multiplies the work of targets.
	Slowdown float64
	// Unresponsive targets answer nothing.
	Unresponsive bool
	// RefusedShare is the share of calls that targets refuse without running.
	RefusedShare float64
	// ResetShare is the share of calls that run and get no answer.
	ResetShare float64
	// Flood multiplies the requests of the kind with that name.
	Kind       string
	RateFactor float64
}

// Config describes a model.
type Config struct {
	Seed        uint64
	VMs         int
	Duration    time.Duration
	Targets     Targets
	Kinds       []Kind
	Disruptions []Disruption
	// NetworkDelay is the time from a VM to a target or caller.
	NetworkDelay time.Duration
	// Retries bounds the extra calls of all VMs to the targets of a shard.
	Retries cpquota.RetryBound
	// NoAdmission admits every request at once, and NoHedges sends no second call beside one that is slow; they are
	// for comparisons.
	NoAdmission bool
	NoHedges    bool
	// FanoutOptions changes the course of requests, for comparisons.
	FanoutOptions []cpfanout.Option
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// events is a heap of events in order of time.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Model is one run.
type Model struct {
	cfg     Config
	random  *rand.Rand
	now     time.Time
	start   time.Time
	queue   events
	seq     int
	targets [][]*target
	vms     []*vm
	results []Result
	planner *cpplan.Planner
}

// Run runs a model and returns what became of each kind of request.
func Run(cfg Config) []Result {
	start := time.Unix(0, 0)
	m := &Model{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)), now: start, start: start,
		results: make([]Result, len(cfg.Kinds)), planner: cpplan.New(),
	}
	for shard := range cfg.Targets.Shards {
		var copies []*target
		for n := range cfg.Targets.Replicas {
			copies = append(copies, newTarget(m, shard, n))
		}
		m.targets = append(m.targets, copies)
	}
	for i := range cfg.VMs {
		m.vms = append(m.vms, newVM(m, i))
	}
	for i := range cfg.Kinds {
		m.results[i].Kind = cfg.Kinds[i].Name
		m.scheduleArrival(i)
	}
	for len(m.queue) > 0 {
		e := heap.Pop(&m.queue).(event)
		m.now = e.at
		e.run()
	}
	return m.results
}

// at runs something at a time.
func (m *Model) at(t time.Time, run func()) {
	m.seq++
	heap.Push(&m.queue, event{at: t, seq: m.seq, run: run})
}

// after runs something after a delay.
func (m *Model) after(d time.Duration, run func()) { m.at(m.now.Add(d), run) }

// activeDisruptions calls f with the activeDisruptions of this moment.
func (m *Model) activeDisruptions(f func(*Disruption)) {
	elapsed := m.now.Sub(m.start)
	for i := range m.cfg.Disruptions {
		if t := &m.cfg.Disruptions[i]; elapsed >= t.From && elapsed < t.To {
			f(t)
		}
	}
}

// scheduleArrival makes the next request of a kind, and the one after it.
func (m *Model) scheduleArrival(kind int) {
	k := &m.cfg.Kinds[kind]
	rate := k.Rate
	m.activeDisruptions(func(t *Disruption) {
		if t.RateFactor > 0 && t.Kind == k.Name {
			rate *= t.RateFactor
		}
	})
	wait := time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
	m.after(wait, func() {
		if m.now.Sub(m.start) >= m.cfg.Duration {
			return
		}
		m.results[kind].Requests++
		c := &caller{m: m, kind: kind, began: m.now, deadline: m.now.Add(k.Deadline)}
		c.attempt()
		m.scheduleArrival(kind)
	})
}

// route returns the route of a kind.
func (m *Model) route(kind int) *clementineport.Route {
	k := &m.cfg.Kinds[kind]
	r := &clementineport.Route{
		Name: clementineport.RouteID(k.Name), Idempotent: true, MaxAttempts: 2, Timeout: k.Deadline, Objective: k.Objective,
		Priority: k.Priority, LeastCoverage: k.MinCoverage,
	}
	for shard := range m.cfg.Targets.Shards {
		r.Shards = append(r.Shards, service(shard))
	}
	return r
}

// service names the service of a shard.
func service(shard int) clementineport.ServiceID {
	return clementineport.ServiceID(fmt.Sprint(shard))
}

// newGate returns the admission of a VM.
func (m *Model) newGate() *cpadmit.Gate {
	opts := append(cpplan.AdmissionOptions(), cpadmit.WithSeed(m.cfg.Seed))
	if m.cfg.NoAdmission {
		opts = append(opts, cpadmit.WithoutLimit())
	}
	return cpadmit.NewGate(cpadmit.NewOptions(opts...))
}

// inFlightLimit returns the requests that a VM may have on their way to a target.
func (m *Model) inFlightLimit() int { return cpquota.InFlightLimit(m.cfg.Targets.Slots, m.cfg.VMs) }
