package cpentry

import (
	"context"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpatmostonce"
)

// runAtMostOnce runs a non-idempotent query if its request id belongs to this process, and forwards it otherwise.
// If refusal is set, it starts no new run; a resend of a request that has already started still gets the outcome
// of that run, because the verdict "not run" would be wrong.
func (e *Entry) runAtMostOnce(ctx context.Context, q *clementineport.Query, mayForward bool, refusal error) (*clementineport.Answer, error) {
	decision := e.opts.AtMostOnce.Begin(e.opts.Clock.Now(), q.Request)
	switch decision.Kind {
	case cpatmostonce.Run:
		if refusal != nil {
			e.opts.AtMostOnce.End(q.Request, nil, refusal)
			return nil, refusal
		}
		// The run continues when the caller disconnects, because a resend may join it.
		answer, err := e.run(context.WithoutCancel(ctx), q)
		e.opts.AtMostOnce.End(q.Request, answer, err)
		return answer, err
	case cpatmostonce.Join:
		return joinRun(ctx, decision.Pending)
	case cpatmostonce.Done:
		return decision.Answer, decision.Err
	case cpatmostonce.Redirect:
		if !mayForward {
			return nil, clementineport.Fail(clementineport.FaultDuplicate, "the process of this request id is another one")
		}
		return e.forward(ctx, q, decision.Start)
	default:
		return nil, decision.Err
	}
}

func joinRun(ctx context.Context, pending *cpatmostonce.Pending) (*clementineport.Answer, error) {
	select {
	case <-pending.Done():
		return pending.Outcome()
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultTimeout, "the first run of this request has not ended")
	}
}

// forward sends a query to the process with the given start id. If that process is gone or does not answer, nothing is
// known about earlier sends of the same request, so the verdict is that it may have run.
func (e *Entry) forward(ctx context.Context, q *clementineport.Query, start clementineport.StartID) (*clementineport.Answer, error) {
	view := e.opts.Control.View()
	for i := range view.Members {
		m := &view.Members[i]
		if m.Start != start {
			continue
		}
		e.metrics.Forwarded.Inc()
		answer, err := e.opts.Peers.Get(m.VM).Forward(ctx, q)
		if err != nil && isUnanswered(err) {
			return nil, &clementineport.Error{Fault: clementineport.FaultDuplicate, Reason: "the process of this request id does not answer", Err: err}
		}
		return answer, err
	}
	return nil, clementineport.Fail(clementineport.FaultDuplicate, "the process of this request id is gone")
}

// isUnanswered reports whether the other process did not answer at all, as opposed to refusing the query.
func isUnanswered(err error) bool {
	switch clementineport.FaultOf(err) {
	case clementineport.FaultRefused, clementineport.FaultUnsent, clementineport.FaultReset, clementineport.FaultUnknown,
		clementineport.FaultUnauthorized, clementineport.FaultDeadline:
		return true
	default:
		return false
	}
}
