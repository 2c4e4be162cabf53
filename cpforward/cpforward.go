// Package cpforward carries out forwarded requests: it runs the calls that cpfanout asks for and gives the results back
// to it. One goroutine runs a request, and one each of its calls.
package cpforward

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cplatency"
	"github.com/clementineport/clementineport/cpplan"
	"github.com/clementineport/clementineport/cpquota"
)

// Forwarder forwards requests. Its methods may be called from many goroutines.
type Forwarder struct {
	options Options
	budgets *cpquota.Budgets

	mu      sync.Mutex
	chooser *cpbalancer.Chooser
	cold    map[clementineport.TargetID]time.Time
	routes  map[clementineport.RouteID]*routeStats
	pools   *pools
}

// routeStats is what the requests of a route have shown.
type routeStats struct {
	latency *cplatency.Window
	// patience is the longest time in nanoseconds that a caller of the route has given, which is that of a first
	// attempt.
	patience atomic.Int64
}

// seen returns what plans are made by.
func (s *routeStats) seen() cpplan.RouteStats {
	return cpplan.RouteStats{HighLatency: s.latency.High(), TypicalLatency: s.latency.Typical(), MaxWait: time.Duration(s.patience.Load())}
}

// New returns a forwarder.
func New(opts ...Option) *Forwarder {
	options := NewOptions(opts...)
	return &Forwarder{
		options: options,
		budgets: cpquota.NewBudgets(options.Clock.Now(), options.RetryBound),
		chooser: cpbalancer.New(cpbalancer.WithSeed(options.Seed)),
		cold:    map[clementineport.TargetID]time.Time{},
		routes:  map[clementineport.RouteID]*routeStats{},
		pools:   newPools(append([]cpadmit.Option{cpadmit.WithClock(options.Clock), cpadmit.WithSeed(options.Seed)}, options.Admit...)),
	}
}

// Forward runs a request on a route and returns its answer. It returns at once when ctx ends.
func (f *Forwarder) Forward(ctx context.Context, route *clementineport.Route, r *clementineport.OpaqueRequest) *Result {
	view := f.options.View()
	shards := route.Shards
	if !route.Gathers() {
		shards = []clementineport.ServiceID{view.Router.Service(route)}
	}
	stats := f.stats(route.Name, r.MaxWait)
	run := &run{
		f: f, route: route, request: r, stats: stats, usual: stats.latency.Typical(),
		results: make(chan callResult, len(shards)*2),
	}
	done, refusal := f.admit(ctx, run, shards)
	if refusal != nil {
		return &Result{Err: refusal}
	}
	for _, s := range shards {
		f.budgets.Earn(run.now(), s, view.VMs)
	}
	run.calls, run.cancel = context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
	run.fan = cpfanout.New(f.options.Planner.Plan(route, shards, r, stats.seen()), run, f.options.Fanout...)
	answer := run.run(ctx)
	done(&clementineport.Answer{Stats: clementineport.GatherStats{Queued: answer.Stats.Queued}})
	return answer
}

// stats returns what is known of a route, and remembers the longest time that its callers give.
func (f *Forwarder) stats(name clementineport.RouteID, patience time.Duration) *routeStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.routes[name]
	if s == nil {
		s = &routeStats{latency: cplatency.New()}
		f.routes[name] = s
	}
	s.patience.Store(max(s.patience.Load(), int64(patience)))
	return s
}

// Budgets returns how many extra calls the budget of each service holds.
func (f *Forwarder) Budgets() map[clementineport.ServiceID]float64 { return f.budgets.Levels() }

// SetRoutes takes the order of priorities from a new version of the routes, and drops what is known of routes that are
// not in it.
func (f *Forwarder) SetRoutes(table *clementineport.RouteTable) {
	named := make(map[clementineport.RouteID]bool, len(table.Routes))
	for i := range table.Routes {
		named[table.Routes[i].Name] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pools.setRoutes(table)
	for name := range f.routes {
		if !named[name] {
			delete(f.routes, name)
		}
	}
}

// run is one request.
type run struct {
	f       *Forwarder
	route   *clementineport.Route
	request *clementineport.OpaqueRequest
	fan     *cpfanout.Fanout
	stats   *routeStats
	usual   time.Duration
	results chan callResult
	// calls is the context of the calls, which outlives the answer for a moment.
	calls  context.Context
	cancel context.CancelFunc
	// running counts the calls without a result.
	running int
}

// callResult is the end of one call.
type callResult struct {
	cpfanout.Result
	err error
}

// run runs the request until its answer is closed or its caller has gone.
func (r *run) run(ctx context.Context) *Result {
	timer := time.NewTimer(time.Until(r.request.Deadline))
	defer timer.Stop()
	r.send(r.fan.Start(r.now()))
	for !r.fan.Ended() {
		timer.Reset(max(0, r.fan.Wake().Sub(r.now())))
		select {
		case <-ctx.Done():
			r.cancel()
			r.drain(0)
			return r.gone(ctx)
		case result := <-r.results:
			r.running--
			r.send(r.fan.Done(r.now(), &result.Result))
		case <-timer.C:
			r.send(r.fan.Tick(r.now()))
		}
	}
	r.drain(r.f.options.UnneededCallTimeout)
	return r.answer()
}

// gone returns the answer to a caller that has left.
func (r *run) gone(ctx context.Context) *Result {
	return &Result{Err: &clementineport.Error{
		Fault: clementineport.FaultCanceled, Reason: "the caller has left", Err: context.Cause(ctx),
	}}
}

// drain lets the calls whose results are not needed end for a while, so that their connections can be kept, and
// then cancels them.
func (r *run) drain(d time.Duration) {
	if r.running == 0 || d == 0 {
		r.cancel()
		return
	}
	time.AfterFunc(d, r.cancel)
}

// answer returns the final answer.
func (r *run) answer() *Result {
	o := r.fan.Outcome(r.now())
	answer := &Result{Stats: o.Stats}
	switch {
	case len(o.Parts) > 0 && r.route.Gathers():
		answer.Gathered = gather(o.Parts, o.Missing, r.route.TopRecords)
	case len(o.Parts) > 0:
		answer.Part = o.Parts[0]
	case o.Failure != nil:
		answer.Part = o.Failure
	default:
		answer.Err = r.failure(&o)
	}
	return answer
}

// failure returns the error of a request without an answer, and, if it has not run, when to come back.
func (r *run) failure(o *cpfanout.Outcome) *clementineport.Error {
	e := clementineport.Fail(o.Fault, "%d of %d shards answered, %d are needed", o.Stats.Covered, o.Stats.Shards,
		cpfanout.MinShards(r.route.LeastCoverage, o.Stats.Shards))
	if o.Verdict == clementineport.NotRun {
		e.RetryAfter = r.f.options.RetryAfter
	}
	return e
}

func (r *run) now() time.Time { return r.f.options.Clock.Now() }

// send starts calls.
func (r *run) send(sends []cpfanout.Send) {
	for _, s := range sends {
		r.running++
		sent := r.now()
		s.Target.Sent(sent)
		go r.call(s, sent)
	}
}

// call makes one call and hands its result over; the channel has room for two results of each shard, and a call
// beyond those gives up when the request has ended.
func (r *run) call(s cpfanout.Send, sent time.Time) {
	result := callResult{Result: cpfanout.Result{Shard: s.Shard, Attempt: s.Attempt}}
	port := r.f.port(s.Target)
	if port == nil {
		result.Fault = clementineport.FaultUnsent
	} else {
		result.Part, result.err = port.Do(r.calls, r.request)
	}
	if result.err != nil {
		result.Fault = clementineport.FaultOf(result.err)
	}
	r.observe(s, sent, &result)
	select {
	case r.results <- result:
	case <-r.calls.Done():
	}
}

// observe records what a call showed of its target.
func (r *run) observe(s cpfanout.Send, sent time.Time, result *callResult) {
	now := r.now()
	outcome := cpbalancer.Outcome{
		Fault: result.Fault, Elapsed: now.Sub(sent), TypicalLatency: r.usual, VMs: r.f.options.View().VMs,
	}
	if result.Part != nil {
		outcome.OK = result.Part.Success()
		outcome.Failed = result.Part.Status >= 500
	}
	if change := s.Target.Done(now, sent, &outcome); change != cpbalancer.NoChange {
		r.f.options.OnTargetChange(&s.Target.TargetInstance, change)
	}
	if outcome.OK {
		r.stats.latency.Add(now, outcome.Elapsed)
	}
	if result.err != nil && !errors.Is(result.err, context.Canceled) {
		r.f.options.OnCallFailed(r.request.ID, s.Target.ID, result.err, outcome.Elapsed)
	}
}

// port returns the port of a target that is still known, or nil.
func (f *Forwarder) port(t *cpbalancer.Target) clementineport.OpaqueTarget {
	targets := f.options.View().Services[t.Service]
	for i := range targets {
		if targets[i].State == t {
			return targets[i].Port
		}
	}
	return nil
}
