// Package cpsimulator simulates the handling of requests in virtual time, so that policies can be compared in seconds.
// Admission, planning, balancing and fan-out are the code that VMs run. Targets (slots, queues, pauses, speeds,
// refusals) and callers (rates, deadlines, one retry) are simulated. The cluster is not: every VM knows all targets.
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

// Targets configures the targets.
type Targets struct {
	Shards int
	// Replicas is the number of targets of each shard.
	Replicas int
	Slots    int
	Queue    int
	// Connections is the connection limit of a target for all VMs together, or zero for none. A call takes one.
	Connections int
	// Pause is the duration of a pause of a target, and PauseEvery the time from the start of one to that of the next.
	Pause      time.Duration
	PauseEvery time.Duration
}

// Kind configures a kind of request.
type Kind struct {
	Name     string
	Priority int
	// Rate is the number of requests per second, without retries.
	Rate float64
	// ServiceTime is the mean time that a target takes to process one call.
	ServiceTime time.Duration
	Objective   time.Duration
	Deadline    time.Duration
	// MinCoverage is the minimum share of shards for a successful answer.
	MinCoverage float64
}

// Disruption changes the behavior of targets or callers for some time. From and To count from the start of the run.
type Disruption struct {
	From time.Duration
	To   time.Duration
	// Affects reports whether replica n of a shard is affected; if nil, no target is.
	Affects func(shard, n int) bool
	// Slowdown multiplies the service time.
	Slowdown float64
	// Unresponsive targets answer no calls.
	Unresponsive bool
	// RefusedShare is the share of calls that targets refuse without executing them.
	RefusedShare float64
	// ResetShare is the share of calls that targets execute but whose answers are lost.
	ResetShare float64
	// Kind names the kind of request whose rate is multiplied by RateFactor.
	Kind       string
	RateFactor float64
}

// Config configures a run of the model.
type Config struct {
	Seed        uint64
	VMs         int
	Duration    time.Duration
	Targets     Targets
	Kinds       []Kind
	Disruptions []Disruption
	// NetworkDelay is the one-way delay between a VM and a target.
	NetworkDelay time.Duration
	// CallerDelay is the one-way delay between a caller and a VM. If it is zero, NetworkDelay applies.
	CallerDelay time.Duration
	// CallTime is the time that a VM's processor takes to send a call, and again to receive its result.
	CallTime time.Duration
	// Retries limits the extra calls of all VMs to the targets of a shard.
	Retries cpquota.RetryBound
	// FairAdmission makes VMs share admission among workspaces. All requests belong to the same workspace.
	FairAdmission bool
	// NoAdmission disables admission control and NoHedges disables hedging, for comparison.
	NoAdmission bool
	NoHedges    bool
	// FanoutOptions changes the options of the fan-out, for comparison.
	FanoutOptions []cpfanout.Option
}

// event is a function to run at a time. seq orders events with equal times.
type event struct {
	at  time.Time
	seq int
	run func()
}

// events is a heap of events, ordered by time.
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

// Model is the state of one run.
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

// Run runs a model and returns the results of each kind of request.
func Run(cfg Config) []Result {
	start := time.Unix(0, 0)
	m := &Model{
		cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 1)), now: start, start: start,
		results: make([]Result, len(cfg.Kinds)), planner: cpplan.New(),
	}
	for shard := range cfg.Targets.Shards {
		var replicas []*target
		for n := range cfg.Targets.Replicas {
			replicas = append(replicas, newTarget(m, shard, n))
		}
		m.targets = append(m.targets, replicas)
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

// at schedules run for time t.
func (m *Model) at(t time.Time, run func()) {
	m.seq++
	heap.Push(&m.queue, event{at: t, seq: m.seq, run: run})
}

// after schedules run after a delay.
func (m *Model) after(d time.Duration, run func()) { m.at(m.now.Add(d), run) }

// activeDisruptions calls f for each disruption in progress.
func (m *Model) activeDisruptions(f func(*Disruption)) {
	elapsed := m.now.Sub(m.start)
	for i := range m.cfg.Disruptions {
		if d := &m.cfg.Disruptions[i]; elapsed >= d.From && elapsed < d.To {
			f(d)
		}
	}
}

// scheduleArrival schedules the next request of a kind, which in turn schedules the one after it.
func (m *Model) scheduleArrival(kind int) {
	k := &m.cfg.Kinds[kind]
	rate := k.Rate
	m.activeDisruptions(func(d *Disruption) {
		if d.RateFactor > 0 && d.Kind == k.Name {
			rate *= d.RateFactor
		}
	})
	wait := time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
	m.after(wait, func() {
		if m.now.Sub(m.start) >= m.cfg.Duration {
			return
		}
		m.results[kind].Requests++
		c := &caller{m: m, kind: kind, started: m.now, deadline: m.now.Add(k.Deadline)}
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

// service returns the service of a shard.
func service(shard int) clementineport.ServiceID {
	return clementineport.ServiceID(fmt.Sprint(shard))
}

// newGate returns the admission gate of a VM.
func (m *Model) newGate() *cpadmit.Gate {
	opts := append(cpplan.AdmissionOptions(), cpadmit.WithSeed(m.cfg.Seed))
	if m.cfg.NoAdmission {
		opts = append(opts, cpadmit.WithoutLimit())
	}
	gate := cpadmit.NewGate(cpadmit.NewOptions(opts...))
	gate.SetFair(m.now, m.cfg.FairAdmission)
	return gate
}

// inFlightLimit returns the limit for calls in flight from one VM to one target.
func (m *Model) inFlightLimit() int {
	limit := cpquota.InFlightLimit(m.cfg.Targets.Slots, m.cfg.VMs)
	if m.cfg.Targets.Connections > 0 {
		limit = min(limit, cpquota.ConnectionLimit(m.cfg.Targets.Connections, m.cfg.VMs))
	}
	return limit
}

// callerDelay returns the one-way delay between a caller and a VM.
func (m *Model) callerDelay() time.Duration {
	if m.cfg.CallerDelay > 0 {
		return m.cfg.CallerDelay
	}
	return m.cfg.NetworkDelay
}
