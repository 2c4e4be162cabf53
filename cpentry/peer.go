package cpentry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"

	"github.com/clementineport/clementineport"
)

// Relay sends calls of another VM's query to targets that this VM owns.
func (e *Entry) Relay(ctx context.Context, r *clementineport.RelayRequest, deliver func(clementineport.CallResult)) error {
	if len(r.Calls) == 0 {
		return nil
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.opts.Control.ObserveRevision(r.Revision, r.From)
	ctx, end := e.opts.Tracer.Start(ctx, "relay", attribute.Int("calls", len(r.Calls)))
	err := e.opts.Owner.Relay(ctx, r, deliver)
	end(err)
	return err
}

// Forward runs a non-idempotent query whose request id belongs to this process.
func (e *Entry) Forward(ctx context.Context, q *clementineport.Query) (*clementineport.Answer, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	began := e.opts.Clock.Now()
	q.Idempotent = false
	answer, err := e.runAtMostOnce(ctx, q, false, nil)
	e.metrics.observe(q.Service, e.opts.Clock.Now().Sub(began), answer, err)
	return answer, err
}

// Reroute always fails: this VM runs queries, and no opaque requests.
func (e *Entry) Reroute(context.Context, *clementineport.ReroutedRequest) (*clementineport.ReroutedResult, error) {
	return nil, clementineport.Fail(clementineport.FaultNotOwner, "this VM forwards no requests")
}

// Quota always fails: this path has no workspaces.
func (e *Entry) Quota(context.Context, *clementineport.QuotaRequest) (*clementineport.QuotaAnswer, error) {
	return nil, clementineport.Fail(clementineport.FaultNotOwner, "this VM coordinates no quotas")
}
