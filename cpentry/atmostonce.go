package cpentry

import (
	"context"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpatmostonce"
)

// runOnce runs a non-idempotent query if this process may, or hands it to the one that may. With a refusal
// nothing new is run here, but the resend of a request that has begun gets the outcome of its run, since
// "not run" would be wrong.
func (e *Entry) runOnce(ctx context.Context, q *clementineport.Query, mayForward bool, refusal error) (*clementineport.Answer, error) {
	d := e.opts.AtMostOnce.Begin(e.opts.Clock.Now(), q.Request)
	switch d.Kind {
	case cpatmostonce.Run:
		if refusal != nil {
			e.opts.AtMostOnce.End(q.Request, nil, refusal)
			return nil, refusal
		}
		// The run goes on when the caller disconnects, since a resend may join it.
		answer, err := e.run(context.WithoutCancel(ctx), q)
		e.opts.AtMostOnce.End(q.Request, answer, err)
		return answer, err
	case cpatmostonce.Join:
		return join(ctx, d.Pending)
	case cpatmostonce.Done:
		return d.Answer, d.Err
	case cpatmostonce.Redirect:
		if !mayForward {
			return nil, clementineport.Fail(clementineport.FaultDuplicate, "the process of this request id is another one")
		}
		return e.forward(ctx, q, d.Start)
	default:
		return nil, d.Err
	}
}

func join(ctx context.Context, pending *cpatmostonce.Pending) (*clementineport.Answer, error) {
	select {
	case <-pending.Done():
		return pending.Outcome()
	case <-ctx.Done():
		return nil, clementineport.Fail(clementineport.FaultTimeout, "the first run of this request has not ended")
	}
}

// forward hands a query to the process with a start id. A failure says nothing about earlier sends of the
// same request, so the verdict is that it may have run.
func (e *Entry) forward(ctx context.Context, q *clementineport.Query, start clementineport.StartID) (*clementineport.Answer, error) {
	view := e.opts.Control.View()
	for i := range view.Members {
		m := &view.Members[i]
		if m.Start != start {
			continue
		}
		e.metrics.Forwarded.Inc()
		answer, err := e.opts.Peers.Get(m.VM).Forward(ctx, q)
		if err != nil && forwardLost(err) {
			return nil, &clementineport.Error{Fault: clementineport.FaultDuplicate, Reason: "the process of this request id does not answer", Err: err}
		}
		return answer, err
	}
	return nil, clementineport.Fail(clementineport.FaultDuplicate, "the process of this request id is gone")
}

// forwardLost reports whether the process did not answer at all, as opposed to refusing.
func forwardLost(err error) bool {
	switch clementineport.FaultOf(err) {
	case clementineport.FaultRefused, clementineport.FaultUnsent, clementineport.FaultReset, clementineport.FaultUnknown,
		clementineport.FaultUnauthorized, clementineport.FaultDeadline:
		return true
	default:
		return false
	}
}
