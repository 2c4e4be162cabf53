package cpsimulator

import (
	"slices"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cplatency"
	"github.com/clementineport/clementineport/cpplan"
	"github.com/clementineport/clementineport/cpquota"
)

// cancelDelay is how long after its end a request's outstanding calls are canceled.
const cancelDelay = 150 * time.Millisecond

// vm simulates one VM.
type vm struct {
	m          *Model
	gate       *cpadmit.Gate
	chooser    *cpbalancer.Chooser
	budgets    *cpquota.Budgets
	candidates map[clementineport.ServiceID][]cpbalancer.Candidate
	targets    map[*cpbalancer.Target]*target
	stats      []*kindStats
	waiting    map[cpadmit.Ticket]func()
	// freeAt is when the processor has done all work that is queued.
	freeAt time.Time
}

// kindStats holds the measurements for a kind of request at one VM.
type kindStats struct {
	latency *cplatency.Window
	maxWait time.Duration
}

func newVM(m *Model, n int) *vm {
	v := &vm{
		m: m, gate: m.newGate(), chooser: cpbalancer.New(cpbalancer.WithSeed(m.cfg.Seed + uint64(n))),
		budgets:    cpquota.NewBudgets(m.now, m.cfg.Retries),
		candidates: map[clementineport.ServiceID][]cpbalancer.Candidate{}, targets: map[*cpbalancer.Target]*target{},
		waiting: map[cpadmit.Ticket]func(){},
	}
	for shard, replicas := range m.targets {
		for i, t := range replicas {
			state := cpbalancer.NewTarget(clementineport.TargetInstance{Service: service(shard), Slots: m.cfg.Targets.Slots})
			v.targets[state] = t
			v.candidates[service(shard)] = append(v.candidates[service(shard)], cpbalancer.Candidate{
				Target: state, SameDomain: i == n%len(replicas), InFlightLimit: m.inFlightLimit(),
			})
		}
	}
	for range m.cfg.Kinds {
		v.stats = append(v.stats, &kindStats{latency: cplatency.New()})
	}
	return v
}

// request is one attempt of a caller, at the VM that handles it.
type request struct {
	v      *vm
	kind   int
	route  *clementineport.Route
	opaque *clementineport.OpaqueRequest
	fanout *cpfanout.Fanout
	ticket cpadmit.Ticket
	// calls are the calls without a result, in the order in which they were sent.
	calls []pending
	// timerID identifies the latest timer; earlier ones are ignored.
	timerID int
	// reply sends the answer and is called once.
	reply func(reply)
}

// pending is a call without a result.
type pending struct {
	call   *call
	target *target
	state  *cpbalancer.Target
	sent   time.Time
}

// reply is the answer to a caller.
type reply struct {
	ok bool
	// share is the share of shards that a successful answer covers.
	share      float64
	refused    bool
	retryAfter time.Duration
}

// receive admits, queues or refuses a request.
func (v *vm) receive(kind int, f *clementineport.OpaqueRequest, answer func(reply)) {
	s := v.stats[kind]
	s.maxWait = max(s.maxWait, f.MaxWait)
	r := &request{v: v, kind: kind, route: v.m.route(kind), opaque: f, reply: answer}
	measured := v.routeStats(kind)
	arrival := cpadmit.Arrival{
		Service:  clementineport.ServiceID(r.route.Name),
		Class:    cpplan.Class(r.route, clementineport.Class(min(r.route.Priority, int(clementineport.NumClasses)-1)), f, measured),
		Deadline: v.m.planner.SoftDeadline(r.route, f, measured),
	}
	d := v.gate.Offer(v.m.now, arrival)
	r.ticket = d.Ticket
	switch d.Kind {
	case cpadmit.KindAdmitted:
		r.start()
	case cpadmit.KindRefused:
		answer(reply{refused: true, retryAfter: d.RetryAfter})
	default:
		v.waiting[d.Ticket] = r.start
		v.m.at(d.WaitUntil, func() { r.expire(arrival) })
	}
}

// expire refuses a request that has waited too long for admission.
func (r *request) expire(arrival cpadmit.Arrival) {
	if _, waits := r.v.waiting[r.ticket]; !waits {
		return
	}
	delete(r.v.waiting, r.ticket)
	d := r.v.gate.Cancel(r.v.m.now, r.ticket, arrival)
	r.reply(reply{refused: true, retryAfter: d.RetryAfter})
}

// routeStats returns the measurements that plans are based on.
func (v *vm) routeStats(kind int) cpplan.RouteStats {
	s := v.stats[kind]
	return cpplan.RouteStats{HighLatency: s.latency.High(), TypicalLatency: s.latency.Typical(), MaxWait: s.maxWait}
}

// start starts an admitted request.
func (r *request) start() {
	delete(r.v.waiting, r.ticket)
	for _, s := range r.route.Shards {
		r.v.budgets.Earn(r.v.m.now, s, cpquota.Equal(r.v.m.cfg.VMs))
	}
	plan := r.v.m.planner.Plan(r.route, r.route.Shards, r.opaque, r.v.routeStats(r.kind))
	if r.v.m.cfg.NoHedges {
		plan.HedgeAfter = 0
	}
	r.fanout = cpfanout.New(plan, r, append([]cpfanout.Option{cpfanout.WithRandom(r.v.m.random.Float64)}, r.v.m.cfg.FanoutOptions...)...)
	r.step(r.fanout.Start(r.v.m.now))
}

// step makes the calls and schedules the next tick, or ends the request.
func (r *request) step(sends []cpfanout.Send) {
	for _, s := range append([]cpfanout.Send(nil), sends...) {
		r.send(s)
	}
	if r.fanout.Ended() {
		r.end()
		return
	}
	r.timerID++
	id := r.timerID
	r.v.m.at(r.fanout.Wake(), func() {
		if id == r.timerID && !r.fanout.Ended() {
			r.step(r.fanout.Tick(r.v.m.now))
		}
	})
}

// send makes one call.
func (r *request) send(s cpfanout.Send) {
	m, t := r.v.m, r.v.targets[s.Target]
	c := &call{serviceTime: m.cfg.Kinds[r.kind].ServiceTime}
	sent := m.now
	s.Target.Sent(sent)
	r.calls = append(r.calls, pending{call: c, target: t, state: s.Target, sent: sent})
	c.done = func(o outcome) {
		m.after(m.cfg.NetworkDelay, func() { r.v.process(func() { r.done(s, c, sent, o) }) })
	}
	r.v.process(func() {
		m.after(m.cfg.NetworkDelay, func() {
			if c.done != nil {
				t.receive(c)
			}
		})
	})
}

// process calls f once the processor of the VM has done the work that is queued and CallTime of its own.
func (v *vm) process(f func()) {
	if v.m.cfg.CallTime == 0 {
		f()
		return
	}
	if v.freeAt.Before(v.m.now) {
		v.freeAt = v.m.now
	}
	v.freeAt = v.freeAt.Add(v.m.cfg.CallTime)
	v.m.at(v.freeAt, f)
}

// done handles the result of a call.
func (r *request) done(s cpfanout.Send, c *call, sent time.Time, o outcome) {
	i := slices.IndexFunc(r.calls, func(p pending) bool { return p.call == c })
	if i < 0 {
		return
	}
	r.calls = slices.Delete(r.calls, i, i+1)
	now, window := r.v.m.now, r.v.stats[r.kind].latency
	result := &cpfanout.Result{Shard: s.Shard, Attempt: s.Attempt}
	observed := cpbalancer.Outcome{Elapsed: now.Sub(sent), TypicalLatency: window.Typical(), VMs: r.v.m.cfg.VMs}
	switch o {
	case answered:
		result.Part = &clementineport.OpaqueResponse{Status: 200}
		observed.OK = true
		window.Add(now, observed.Elapsed)
	case refused:
		result.Fault = clementineport.FaultShed
	default:
		result.Fault = clementineport.FaultReset
	}
	observed.Fault = result.Fault
	s.Target.Done(now, sent, &observed)
	if !r.fanout.Ended() {
		r.step(r.fanout.Done(now, result))
	}
}

// end answers the caller, starts the requests that can be admitted now and schedules cancel.
func (r *request) end() {
	m := r.v.m
	o := r.fanout.Outcome(m.now)
	m.after(cancelDelay, r.cancel)
	for _, ticket := range r.v.gate.Done(m.now, r.ticket, cpadmit.Outcome{Queued: o.Stats.Queued}) {
		if start, waits := r.v.waiting[ticket]; waits {
			start()
		}
	}
	m.results[r.kind].Extra += o.Stats.Hedges + o.Stats.Retries
	m.results[r.kind].Calls += o.Stats.Sends
	if len(o.Parts) == 0 {
		r.reply(reply{})
		return
	}
	r.reply(reply{ok: true, share: float64(len(o.Parts)) / float64(o.Stats.Shards)})
}

// cancel cancels the calls that have no result yet.
func (r *request) cancel() {
	now := r.v.m.now
	for _, p := range r.calls {
		p.target.cancel(p.call)
		p.state.Done(now, p.sent, &cpbalancer.Outcome{
			Fault: clementineport.FaultCanceled, Elapsed: now.Sub(p.sent), TypicalLatency: r.v.stats[r.kind].latency.Typical(), VMs: r.v.m.cfg.VMs,
		})
	}
	r.calls = nil
}

// Choose implements cpfanout.Targets.
func (r *request) Choose(now time.Time, s clementineport.ServiceID, purpose cpfanout.Purpose, excluded func(*cpbalancer.Target) bool) (*cpbalancer.Target, cpfanout.Availability) {
	t, busy := r.v.chooser.Choose(now, r.v.candidates[s], &cpbalancer.Request{
		TypicalLatency: r.v.stats[r.kind].latency.Typical(), VMs: r.v.m.cfg.VMs, Excluded: excluded,
		PickBest: purpose == cpfanout.Hedge || purpose == cpfanout.Retry, FreeSlotOnly: purpose == cpfanout.Hedge || purpose == cpfanout.Late,
	})
	switch {
	case t != nil:
		return t, cpfanout.Available
	case busy:
		return nil, cpfanout.Busy
	default:
		return nil, cpfanout.Unavailable
	}
}

// Latency implements cpfanout.Targets.
func (r *request) Latency(now time.Time, s clementineport.ServiceID) time.Duration {
	return cpbalancer.ExpectedLatency(now, r.v.candidates[s], &cpbalancer.Request{
		TypicalLatency: r.v.stats[r.kind].latency.Typical(), VMs: r.v.m.cfg.VMs,
	})
}

// SpendExtraCall implements cpfanout.Targets.
func (r *request) SpendExtraCall(s clementineport.ServiceID, value float64) bool {
	return r.v.budgets.Spend(r.v.m.now, s, value)
}
