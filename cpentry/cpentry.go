// Package cpentry runs queries on one VM: it admits a query, chooses its snapshot, runs its state machine and
// returns the answer. It only connects cpadmit, cpsnapshot, cpgather and cpatmostonce, which make the decisions.
package cpentry

import (
	"context"
	"slices"
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
	opts         Options
	snapshots    *cpsnapshot.Cache
	prober       *prober
	explanations *explanations
	metrics      *queryMetrics
	inFlight     atomic.Int64
}

// New returns an Entry.
func New(opts ...Option) *Entry {
	o := newOptions(opts)
	e := &Entry{
		opts:         o,
		snapshots:    cpsnapshot.NewCache(cpsnapshot.New(), defaultChoiceTTL),
		explanations: newExplanations(o.MaxExplainedCalls),
		metrics:      newQueryMetrics(o.Metrics),
	}
	e.opts.Gather.Choose = e.snapshots.Choose
	e.prober = newProber(&o)
	return e
}

// InFlight returns the number of queries and relays in progress.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

// Ready implements cpapi.Service.
func (e *Entry) Ready() error {
	if err := e.opts.CheckInService(); err != nil {
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
	list := selectEntries(view, caller, domain, e.opts.Clock.Now())
	entries := make([]cpapi.Entry, len(list.Entries))
	for i, entry := range list.Entries {
		entries[i] = cpapi.Entry(entry)
	}
	return entries, list.TTL, view.Revision
}

// Query implements cpapi.Service.
func (e *Entry) Query(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	began := e.opts.Clock.Now()
	ctx, end := e.opts.Tracer.Start(ctx, "query", attribute.String("service", string(q.Service)))
	answer, err := e.query(ctx, q)
	end(err)
	e.metrics.observe(q.Service, e.opts.Clock.Now().Sub(began), answer, err)
	return answer, err
}

func (e *Entry) query(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	if err := e.opts.CheckInService(); err != nil {
		return e.Refuse(ctx, q, err)
	}
	if q.Idempotent {
		return e.run(ctx, q)
	}
	return e.runAtMostOnce(ctx, q, true, nil)
}

// Refuse implements cpapi.Service.
func (e *Entry) Refuse(ctx context.Context, q *clementineport.Query, refusal error) (*clementineport.Answer, error) {
	if q.Idempotent {
		return nil, refusal
	}
	return e.runAtMostOnce(ctx, q, true, refusal)
}

// run runs a query on this VM.
func (e *Entry) run(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	if err := e.opts.Control.MaySend(); err != nil {
		return nil, err
	}
	view := e.opts.Control.View()
	service, err := lookupService(view, q)
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

func lookupService(view *cpview.View, q *clementineport.Query) (*clementineport.ServiceTable, error) {
	if view.Table == nil {
		return nil, clementineport.Fail(clementineport.FaultUnavailable, "no configuration is known yet")
	}
	service := view.Table.Services[q.Service]
	if service == nil {
		return nil, clementineport.Fail(clementineport.FaultNotFound, "service %q does not exist", q.Service)
	}
	return service, nil
}

// gather runs a query. If targets no longer hold the snapshot of an idempotent query, it runs the query again on
// another snapshot that covers more shards, and returns the answer with the higher coverage. It returns an answer
// together with the error if the answer is below the least coverage of the service.
func (e *Entry) gather(
	ctx context.Context, q *clementineport.Query, view *cpview.View, service *clementineport.ServiceTable,
) (*clementineport.Answer, error) {
	router := &router{control: e.opts.Control, peers: e.opts.Peers}
	answer, err := e.gatherOnce(ctx, q, view, service, router)
	if answer == nil || !q.Idempotent || !lostSnapshot(answer) || ctx.Err() != nil {
		return answer, err
	}
	// Targets have switched to another snapshot since the query was planned.
	e.waitForProbe(ctx, e.prober.start(service, false, func() { e.probe(q, view, service, router, true) }), e.opts.MaxProbeWait)
	choice, ok := e.snapshots.Choose(service, view.Targets, e.opts.Clock.Now())
	if !ok || choice.Covered*answer.Shards <= len(answer.Covered)*choice.Shards {
		return answer, err
	}
	e.metrics.Restarts.Inc()
	second, secondErr := e.gatherOnce(ctx, q, view, service, router)
	if second == nil || len(second.Covered)*answer.Shards <= len(answer.Covered)*second.Shards {
		return answer, err
	}
	return second, secondErr
}

// lostSnapshot reports whether an answer lacks shards because their targets no longer hold its snapshot.
func lostSnapshot(a *clementineport.Answer) bool {
	return slices.ContainsFunc(a.Missing, func(m clementineport.MissingShard) bool {
		return m.Fault == clementineport.FaultSnapshot
	})
}

// gatherOnce chooses a snapshot and runs the query on it.
func (e *Entry) gatherOnce(
	ctx context.Context, q *clementineport.Query, view *cpview.View, service *clementineport.ServiceTable, router *router,
) (*clementineport.Answer, error) {
	choice, err := e.chooseSnapshot(ctx, q, view, service, router)
	if err != nil {
		return nil, err
	}
	machine := cpgather.NewWithOptions(cpgather.Plan{
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
	e.explanations.add(machine.Trace())
	return answer, err
}
