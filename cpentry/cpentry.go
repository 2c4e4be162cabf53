// Package cpentry runs queries on one VM: it admits a query, chooses its snapshot, runs its state machine
// and answers. The decisions are made in cpadmit, cpsnapshot, cpgather and cponce; this package joins them.
package cpentry

import (
	"context"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpapi"
	"github.com/clementineport/clementineport/cpgather"
	"github.com/clementineport/clementineport/cpscatter"
	"github.com/clementineport/clementineport/cpsnapshot"
	"github.com/clementineport/clementineport/cpview"
)

// Entry runs the queries of one VM.
type Entry struct {
	opts      Options
	snapshots *cpsnapshot.Cache
	prober    *prober
	explained *explanations
	metrics   *queryMetrics
	inFlight  atomic.Int64
}

// New returns an Entry.
func New(opts ...Option) *Entry {
	o := newOptions(opts)
	e := &Entry{
		opts:      o,
		snapshots: cpsnapshot.NewCache(cpsnapshot.New(), defaultChoiceLife),
		explained: newExplanations(o.Explained),
		metrics:   newQueryMetrics(o.Metrics),
	}
	e.opts.Gather.Choose = e.snapshots.Choose
	e.prober = newProber(&o)
	return e
}

// InFlight returns the number of queries and relays in progress.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Ready implements cpapi.Service.
func (e *Entry) Ready() error {
	if err := e.opts.Admit(); err != nil {
		return err
	}
	if err := e.opts.Control.MaySend(); err != nil {
		return err
	}
	if e.opts.Control.View().Table == nil {
		return clementineport.Fail(clementineport.FaultUnavailable, "no configuration is known yet")
	}
	return nil
}

// Entries implements cpapi.Service.
func (e *Entry) Entries(caller string, domain clementineport.FailureDomain) ([]cpapi.Entry, time.Duration, clementineport.Revision) {
	view := e.opts.Control.View()
	advice := advise(view, caller, domain, e.opts.Clock.Now())
	entries := make([]cpapi.Entry, len(advice.Entries))
	for i, entry := range advice.Entries {
		entries[i] = cpapi.Entry(entry)
	}
	return entries, advice.Life, view.Revision
}

// Query implements cpapi.Service.
func (e *Entry) Query(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	began := e.opts.Clock.Now()
	ctx, end := e.opts.Tracer.Start(ctx, "query", attribute.String("service", string(q.Service)))
	answer, err := e.query(ctx, q)
	end(err)
	e.metrics.answered(q.Service, e.opts.Clock.Now().Sub(began), answer, err)
	return answer, err
}

func (e *Entry) query(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	if err := e.opts.Admit(); err != nil {
		return e.Refuse(ctx, q, err)
	}
	if q.Idempotent {
		return e.run(ctx, q)
	}
	return e.runOnce(ctx, q, true, nil)
}

// Refuse implements cpapi.Service.
func (e *Entry) Refuse(ctx context.Context, q *clementineport.Query, refusal error) (*clementineport.Answer, error) {
	if q.Idempotent {
		return nil, refusal
	}
	return e.runOnce(ctx, q, true, refusal)
}

// run runs a query on this VM.
func (e *Entry) run(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	if err := e.opts.Control.MaySend(); err != nil {
		return nil, err
	}
	view := e.opts.Control.View()
	service, err := lookup(view, q)
	if err != nil {
		return nil, err
	}
	if latest := e.opts.Clock.Now().Add(service.Service.Deadline); q.Deadline.After(latest) {
		q.Deadline = latest
	}
	if q.Policy == BaselinePolicy {
		return e.runBaseline(ctx, q, view, service)
	}
	done, err := e.opts.Admitter.Admit(ctx, &service.Service, q)
	if err != nil {
		return nil, err
	}
	answer, err := e.gather(ctx, q, view, service)
	done(answer)
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func lookup(view *cpview.View, q *clementineport.Query) (*clementineport.ServiceTable, error) {
	if view.Table == nil {
		return nil, clementineport.Fail(clementineport.FaultUnavailable, "no configuration is known yet")
	}
	service := view.Table.Services[q.Service]
	if service == nil {
		return nil, clementineport.Fail(clementineport.FaultNotFound, "service %q does not exist", q.Service)
	}
	return service, nil
}

// gather returns an answer beside the error when the answer covers too little to be given.
func (e *Entry) gather(
	ctx context.Context, q *clementineport.Query, view *cpview.View, service *clementineport.ServiceTable,
) (*clementineport.Answer, error) {
	router := &router{control: e.opts.Control, peers: e.opts.Peers}
	choice, err := e.choose(ctx, q, view, service, router)
	if err != nil {
		return nil, err
	}
	machine := cpgather.NewWith(cpgather.Plan{
		Query:   q,
		Service: service,
		View:    view.Targets,
		Targets: view.Table.Targets,
		Choice:  choice,
		Home:    e.opts.Self.Domain,
	}, e.opts.Gather)
	answer, err := cpscatter.Run(ctx, e.opts.Clock, machine, cpscatter.SendFunc(
		func(ctx context.Context, calls []clementineport.Call, deliver func(clementineport.CallResult)) {
			e.opts.Sender.Send(ctx, router, calls, deliver)
		},
	))
	e.explained.add(machine.Trace())
	return answer, err
}

// choose chooses the snapshot. While nothing is known it asks targets first. A service that prefers coverage
// also waits a little for what targets say when not every shard can be covered.
func (e *Entry) choose(
	ctx context.Context, q *clementineport.Query, view *cpview.View, service *clementineport.ServiceTable, router *router,
) (cpsnapshot.Choice, error) {
	now := e.opts.Clock.Now()
	choice, ok := e.snapshots.Choose(service, view.Targets, now)
	whole := ok && choice.Covered == choice.Shards
	if whole && !choice.Probe {
		return choice, nil
	}
	ask := func() { e.probe(q, view, service, router, !whole) }
	for until := e.probeUntil(now, q, service, ok); ; {
		probed := e.prober.start(service, whole, ask)
		if whole || !now.Before(until) {
			break
		}
		e.wait(ctx, probed, until.Sub(now))
		now = e.opts.Clock.Now()
		choice, ok = e.snapshots.Choose(service, view.Targets, now)
		whole = ok && choice.Covered == choice.Shards
	}
	if !ok {
		return choice, &clementineport.Error{
			Fault:      clementineport.FaultUnavailable,
			Reason:     "no usable target has said which snapshots it holds",
			RetryAfter: e.opts.ProbeInterval,
		}
	}
	return choice, nil
}

// probeUntil returns until when a query waits for what targets say.
func (e *Entry) probeUntil(now time.Time, q *clementineport.Query, service *clementineport.ServiceTable, known bool) time.Time {
	share := now.Add(q.Deadline.Sub(now) / probeShare)
	switch {
	case !known:
		return share
	case service.Service.Prefer == clementineport.PreferCoverage && share.After(now.Add(e.opts.ProbeWait)):
		return now.Add(e.opts.ProbeWait)
	default:
		return now
	}
}

// wait waits for a probe to end, and then for the time before the next one.
func (e *Entry) wait(ctx context.Context, probed <-chan struct{}, most time.Duration) {
	end := e.opts.Clock.After(most)
	select {
	case <-probed:
	case <-end:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-e.opts.Clock.After(min(most, e.opts.ProbePause)):
	case <-ctx.Done():
	}
}
