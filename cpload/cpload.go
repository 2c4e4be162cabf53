// Package cpload is an open-loop load generator. It starts queries at a fixed rate without waiting for earlier ones,
// and measures the latency of each from its intended start. It sends queries to entry VMs only through cpcaller.
package cpload

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	vegeta "github.com/tsenart/vegeta/v12/lib"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpcaller"
	"github.com/clementineport/clementineport/cpreport"
)

// run is the state of one load run.
type run struct {
	opts        Options
	rand        *rand.Rand
	totalWeight float64
	callers     []cpcaller.Caller
	collector   *cpreport.Collector
	inProgress  chan struct{}
	unsent      int
	wg          sync.WaitGroup
}

// Run sends queries until the duration has passed or ctx is done, waits for the remaining answers and returns the
// report.
func Run(ctx context.Context, opts ...Option) (*cpreport.Report, error) {
	o := DefaultOptions()
	for _, opt := range opts {
		opt(&o)
	}
	if err := o.Validate(); err != nil {
		return nil, err
	}
	r := &run{
		opts:       o,
		rand:       rand.New(rand.NewPCG(o.Seed, 0)),
		collector:  cpreport.NewCollector(),
		inProgress: make(chan struct{}, o.MaxInProgress),
	}
	r.openCallers()
	defer r.closeCallers()
	start := time.Now()
	r.send(ctx, start)
	elapsed := time.Since(start)
	r.wg.Wait()
	report := r.collector.Report()
	report.Start = start
	report.Seconds = elapsed.Seconds()
	report.Rate = o.Rate
	report.Callers = o.Callers
	report.Seed = o.Seed
	report.NonIdempotent = o.NonIdempotent
	report.Unsent = r.unsent
	return report, nil
}

func (r *run) openCallers() {
	newCaller := r.opts.NewCaller
	if newCaller == nil {
		newCaller = r.newCaller
	}
	for n := range r.opts.Callers {
		r.callers = append(r.callers, newCaller(n))
	}
	for _, s := range r.opts.Services {
		r.totalWeight += s.Weight
	}
}

func (r *run) newCaller(n int) cpcaller.Caller {
	var domain clementineport.FailureDomain
	if len(r.opts.Domains) > 0 {
		domain = r.opts.Domains[n%len(r.opts.Domains)]
	}
	return cpcaller.New(
		cpcaller.WithSeeds(r.opts.Entries...),
		cpcaller.WithDomain(domain),
		cpcaller.WithAllow(r.opts.checkAddress),
	)
}

func (r *run) closeCallers() {
	for _, c := range r.callers {
		_ = c.Close()
	}
}

// send starts the queries at their intended times and never waits for an answer. A query that is due while
// MaxInProgress queries are in progress is counted as unsent.
func (r *run) send(ctx context.Context, start time.Time) {
	pacer := vegeta.ConstantPacer{Freq: int(r.opts.Rate * float64(time.Hour/time.Second)), Per: time.Hour}
	total := int(r.opts.Rate * r.opts.Duration.Seconds())
	interval := time.Duration(float64(time.Second) / r.opts.Rate)
	for n := range total {
		wait, stop := pacer.Pace(time.Since(start), uint64(n))
		if stop || !clementineport.Sleep(ctx, clockwork.NewRealClock(), wait) {
			return
		}
		q, policy := r.nextQuery(n, total)
		due := time.Duration(n) * interval
		select {
		case r.inProgress <- struct{}{}:
			r.wg.Add(1)
			go r.query(ctx, r.callers[n%len(r.callers)], q, policy, start, due)
		default:
			r.unsent++
		}
	}
}

// nextQuery returns a random query and its policy. The sequence of queries depends only on the seed.
func (r *run) nextQuery(n, total int) (q *clementineport.Query, policy string) {
	service := r.randomService()
	policy = r.opts.Policies[n%len(r.opts.Policies)]
	if r.opts.Sequential {
		policy = r.opts.Policies[n*len(r.opts.Policies)/total]
	}
	q = &clementineport.Query{
		Service:    service.Service,
		Text:       r.opts.Text(r.rand),
		Limit:      r.opts.Limit,
		Idempotent: r.rand.Float64() >= r.opts.NonIdempotent,
		Policy:     policy,
	}
	if policy == CurrentPolicy {
		q.Policy = ""
	}
	deadline := r.opts.Deadline
	if service.Deadline > 0 {
		deadline = service.Deadline
	}
	q.Deadline = time.Now().Add(deadline)
	return q, policy
}

func (r *run) randomService() *WeightedService {
	remaining := r.rand.Float64() * r.totalWeight
	for i := range r.opts.Services {
		remaining -= r.opts.Services[i].Weight
		if remaining < 0 {
			return &r.opts.Services[i]
		}
	}
	return &r.opts.Services[len(r.opts.Services)-1]
}

func (r *run) query(
	ctx context.Context, c cpcaller.Caller, q *clementineport.Query, policy string, start time.Time, due time.Duration,
) {
	defer r.wg.Done()
	defer func() { <-r.inProgress }()
	answer, err := c.Query(context.WithoutCancel(ctx), q)
	result := &cpreport.Result{
		Service: q.Service,
		Policy:  policy,
		Due:     due,
		Latency: time.Since(start) - due,
		Answer:  answer,
		Err:     err,
	}
	if err == nil && r.opts.Check != nil {
		result.CheckErr = r.opts.Check(q, answer)
	}
	r.collector.Add(result)
}
