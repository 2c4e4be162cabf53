// Package cpforward executes forwarded requests: it sends the calls that cpfanout schedules and reports their results to
// it. Each request runs in its caller's goroutine, and each call in a goroutine of its own.
package cpforward

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpadmit"
	"github.com/clementineport/clementineport/cpbalancer"
	"github.com/clementineport/clementineport/cpfanout"
	"github.com/clementineport/clementineport/cpfleetstate"
	"github.com/clementineport/clementineport/cplatency"
	"github.com/clementineport/clementineport/cpplan"
	"github.com/clementineport/clementineport/cpquota"
	"github.com/clementineport/clementineport/cprollout"
)

// Forwarder forwards requests. Its methods are safe for concurrent use.
type Forwarder struct {
	options Options
	budgets *cpquota.Budgets

	mu      sync.Mutex
	chooser *cpbalancer.Chooser
	routes  map[clementineport.RouteID]*routeStats
	pools   *pools
	// trials holds the blocked requests that this VM has sent once more.
	trials map[clementineport.RequestKey]bool

	crashChecks   *rate.Limiter
	skippedChecks atomic.Uint64
}

// routeStats holds what is known from the requests of a route.
type routeStats struct {
	latency *cplatency.Window
	// maxWait is the longest time in nanoseconds that a caller of the route was willing to wait. It belongs to a first
	// attempt: callers wait less for a retry.
	maxWait atomic.Int64
}

// snapshot returns the current values for planning.
func (s *routeStats) snapshot() cpplan.RouteStats {
	return cpplan.RouteStats{HighLatency: s.latency.High(), TypicalLatency: s.latency.Typical(), MaxWait: time.Duration(s.maxWait.Load())}
}

// New returns a forwarder.
func New(opts ...Option) *Forwarder {
	options := NewOptions(opts...)
	return &Forwarder{
		options: options,
		budgets: cpquota.NewBudgets(options.Clock.Now(), options.RetryBound),
		chooser: cpbalancer.New(cpbalancer.WithSeed(options.Seed)),
		routes:  map[clementineport.RouteID]*routeStats{},
		trials:  map[clementineport.RequestKey]bool{},

		crashChecks: rate.NewLimiter(crashChecksPerSecond, crashChecksBurst),
		pools:       newPools(append([]cpadmit.Option{cpadmit.WithClock(options.Clock), cpadmit.WithSeed(options.Seed)}, options.Admit...), options.OnOverload),
	}
}

// Forward executes a request on a route and returns its result. It returns as soon as ctx is done.
func (f *Forwarder) Forward(ctx context.Context, route *clementineport.Route, r *clementineport.OpaqueRequest) *Result {
	return f.forward(ctx, route, r, false)
}

// Stay executes a request as Forward does, but goes on if this VM loses its path to the targets.
func (f *Forwarder) Stay(ctx context.Context, route *clementineport.Route, r *clementineport.OpaqueRequest) *Result {
	return f.forward(ctx, route, r, true)
}

func (f *Forwarder) forward(ctx context.Context, route *clementineport.Route, r *clementineport.OpaqueRequest, stay bool) *Result {
	if ctx.Err() != nil {
		return Failed(Unsent(ctx))
	}
	view, now := f.options.View(), f.options.Clock.Now()
	run := f.newRun(view, route, r)
	run.stay = stay
	refusal := f.refuseClosed(now, view, route, run.shards, r.Deadline)
	if refusal == nil {
		run.trial, refusal = f.refuseBlocked(now, view, route, run.key)
	}
	if refusal != nil {
		return Failed(refusal)
	}
	answer := f.execute(ctx, view, run)
	if run.trial {
		f.endTrial(run.key, answer)
	}
	if ctx.Err() == nil {
		run.markUnreached(answer)
	}
	return answer
}

// newRun returns the state of a request that has not started.
func (f *Forwarder) newRun(view *cpfleetstate.View, route *clementineport.Route, r *clementineport.OpaqueRequest) *run {
	shards := route.Shards
	if !route.Gathers() {
		shards = []clementineport.ServiceID{view.Router.Service(route)}
	}
	stats := f.stats(route.Name, r.MaxWait)
	return &run{
		f: f, route: route, request: r, key: r.Key(), shards: shards, stats: stats, typicalLatency: stats.latency.Typical(),
		results: make(chan callResult, len(shards)*2), attempts: newAttempts(len(shards)),
	}
}

// execute admits a request, runs it and returns its result.
func (f *Forwarder) execute(ctx context.Context, view *cpfleetstate.View, run *run) *Result {
	done, refusal := f.admit(ctx, run, run.shards)
	if refusal != nil {
		return Failed(refusal)
	}
	if run.request.EarlierAttempts == 0 { // else the request has been counted by another VM
		for _, s := range run.shards {
			f.budgets.Earn(run.now(), s, view.Share())
		}
	}
	run.calls, run.cancel = context.WithDeadline(context.WithoutCancel(ctx), run.request.Deadline)
	plan := f.options.Planner.Plan(run.route, run.shards, run.request, run.stats.snapshot())
	plan.MaxAttempts = max(1, plan.MaxAttempts-run.request.EarlierAttempts)
	run.fan = cpfanout.New(plan, run, f.options.Fanout...)
	answer := run.run(ctx)
	done(&clementineport.Answer{Stats: clementineport.GatherStats{Queued: answer.Stats.Queued}})
	return answer
}

// stats returns the statistics of a route and records how long a caller is willing to wait.
func (f *Forwarder) stats(name clementineport.RouteID, maxWait time.Duration) *routeStats {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.routes[name]
	if s == nil {
		s = &routeStats{latency: cplatency.New()}
		f.routes[name] = s
	}
	s.maxWait.Store(max(s.maxWait.Load(), int64(maxWait)))
	return s
}

// HighLatency returns the time within which most calls of a route have been answered lately, or zero if there were none.
func (f *Forwarder) HighLatency(route clementineport.RouteID) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.routes[route]; s != nil {
		return s.latency.High()
	}
	return 0
}

// Budgets returns the number of extra calls in the budget of each service.
func (f *Forwarder) Budgets() map[clementineport.ServiceID]float64 { return f.budgets.Levels() }

// SetRoutes applies the priorities of a new version of the routes and removes the statistics of routes that are not in
// it.
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

// run is the state of one request.
type run struct {
	f       *Forwarder
	route   *clementineport.Route
	request *clementineport.OpaqueRequest
	key     clementineport.RequestKey
	// trial is true if the request is blocked and this is its one trial.
	trial bool
	// served is true once a target has served a call.
	served         atomic.Bool
	shards         []clementineport.ServiceID
	fan            *cpfanout.Fanout
	stats          *routeStats
	typicalLatency time.Duration
	results        chan callResult
	// calls is the context of the calls. It may stay open for UnneededCallTimeout after the request has ended.
	calls  context.Context
	cancel context.CancelFunc
	// running counts the calls whose result has not been received.
	running int
	// attempts counts the calls that may have reached a target.
	attempts *attempts
	// stay is true if the request goes on without a path to the targets.
	stay bool
	// unreached is true once this VM has lost its path to the targets during the request.
	unreached bool
	// stopped is true once the request sends no further calls, since this VM is shutting down.
	stopped bool
	// arrived holds the services with a rollout that have counted the request. versions holds the counted calls to targets that
	// have been chosen but not sent yet.
	arrived  map[clementineport.ServiceID]bool
	versions map[*cpbalancer.Target]*cprollout.Call
}

// callResult is the result of one call.
type callResult struct {
	cpfanout.Result
	err error
}

// run runs the request until it ends or its caller disconnects.
func (r *run) run(ctx context.Context) *Result {
	timer := time.NewTimer(time.Until(r.request.Deadline))
	defer timer.Stop()
	r.send(r.fan.Start(r.now()))
	lost := r.lostSignal()
	for !r.fan.Ended() && !r.mustLeave() {
		timer.Reset(r.wake())
		select {
		case <-ctx.Done():
			return r.stop(ctx)
		case result := <-r.results:
			r.running--
			r.send(r.fan.Done(r.now(), &result.Result))
		case <-timer.C:
			r.send(r.fan.Tick(r.now()))
		case <-lost:
			lost, r.unreached = nil, true
		}
	}
	if !r.fan.Ended() {
		return r.abandon(clementineport.FaultUnreached, "this VM reaches no target")
	}
	r.cancelCallsAfter(r.f.options.UnneededCallTimeout)
	return r.answer()
}

// cancelCallsAfter cancels the remaining calls after a delay. Calls that complete within it keep their connections
// reusable.
func (r *run) cancelCallsAfter(d time.Duration) {
	if r.running == 0 || d == 0 {
		r.cancel()
		return
	}
	time.AfterFunc(d, r.cancel)
}

// answer returns the result of the ended request.
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

// failure returns the error of a failed request, with a retry delay if the request has not run.
func (r *run) failure(o *cpfanout.Outcome) *clementineport.Error {
	e := clementineport.Fail(o.Fault, "%d of %d shards answered, %d are needed", o.Stats.Covered, o.Stats.Shards,
		cpfanout.MinShards(r.route.LeastCoverage, o.Stats.Shards))
	if o.Verdict != clementineport.NotRun {
		return e
	}
	if closed := r.f.refuseClosed(r.now(), r.f.options.View(), r.route, r.shards, r.request.Deadline); closed != nil {
		return closed
	}
	e.RetryAfter = r.f.options.RetryAfter
	return e
}

func (r *run) now() time.Time { return r.f.options.Clock.Now() }

// send starts a goroutine for each call.
func (r *run) send(sends []cpfanout.Send) {
	for _, s := range sends {
		r.running++
		r.attempts.began(s.Shard)
		sent := r.now()
		s.Target.Sent(sent)
		go r.call(s, sent, r.takeVersion(s.Target))
	}
}

// call makes one call and sends its result to the request. The channel has room for two results per shard; beyond that,
// a call discards its result once the calls are canceled.
func (r *run) call(s cpfanout.Send, sent time.Time, version *cprollout.Call) {
	result := callResult{Result: cpfanout.Result{Shard: s.Shard, Attempt: s.Attempt}}
	client := r.f.client(s.Target)
	if client == nil {
		result.Fault = clementineport.FaultUnsent
	} else {
		tracked := r.f.options.Reach.Sent(sent, &s.Target.TargetInstance, r.typicalLatency)
		result.Part, result.err = client.Do(r.calls, r.request)
		if result.err != nil {
			result.Fault = clementineport.FaultOf(result.err)
		}
		r.f.options.Reach.Done(r.now(), tracked, result.Fault)
	}
	r.attempts.ended(s.Shard, client != nil && clementineport.VerdictOf(result.err) != clementineport.NotRun)
	r.observe(s, sent, &result)
	version.Done(r.now(), versionOutcome(&result), r.now().Sub(sent), r.typicalLatency)
	r.observeCrash(s, &result)
	select {
	case r.results <- result:
	case <-r.calls.Done():
	}
}

// observe records the outcome of a call with its target and its route.
func (r *run) observe(s cpfanout.Send, sent time.Time, result *callResult) {
	now := r.now()
	outcome := cpbalancer.Outcome{
		Fault: result.Fault, Elapsed: now.Sub(sent), TypicalLatency: r.typicalLatency, VMs: r.f.options.View().Sending,
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
		r.f.options.OnCallFailed(r.request, s.Target.ID, result.err, outcome.Elapsed)
	}
}

// client returns the client of a target in the newest view, or nil if the view no longer lists the target.
func (f *Forwarder) client(t *cpbalancer.Target) clementineport.OpaqueTarget {
	targets := f.options.View().Services[t.Service]
	for i := range targets {
		if targets[i].State == t {
			return targets[i].Client
		}
	}
	return nil
}
