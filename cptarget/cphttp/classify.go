package cphttp

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/mailru/easyjson"

	"github.com/clementineport/clementineport"
	"github.com/clementineport/clementineport/cpconn"
)

// bodyError is a failure to read the body of a response.
type bodyError struct{ err error }

// Error implements error.
func (e bodyError) Error() string { return "read response body: " + e.err.Error() }

// Unwrap returns the cause.
func (e bodyError) Unwrap() error { return e.err }

// fail returns err, an error of the transport, with its fault.
func (e *exchange) fail(ctx context.Context, err error) error {
	return &clementineport.Error{Fault: e.fault(ctx, err), Err: err}
}

func (e *exchange) fault(ctx context.Context, err error) clementineport.Fault {
	if e.unsent() {
		return e.unsentFault(ctx, err)
	}
	var cut bodyError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return clementineport.FaultTimeout
	case ctx.Err() != nil:
		return clementineport.FaultCanceled
	case e.conn.Stalled():
		return clementineport.FaultTimeout
	case errors.Is(err, errOversized), strings.Contains(err.Error(), "response headers exceeded"):
		return clementineport.FaultOversized
	case errors.As(err, &cut):
		return clementineport.FaultCut
	case strings.Contains(err.Error(), "malformed"):
		return clementineport.FaultMalformed
	default:
		return clementineport.FaultReset
	}
}

// unsent reports whether no byte of the request was written, and if so forbids writing it from then on. With HTTP/2,
// calls share a connection and its byte count does not distinguish them, so only a call without a connection is
// proven unsent.
func (e *exchange) unsent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn == nil || (!e.client.opts.HTTP2 && e.conn.Seal(e.offeredBefore))
}

func (e *exchange) unsentFault(ctx context.Context, err error) clementineport.Fault {
	if e.conn != nil && e.conn.Refusal() != nil {
		err = e.conn.Refusal()
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return clementineport.FaultDeadline
	case ctx.Err() != nil:
		return clementineport.FaultUnsent
	case clementineport.FaultOf(err) == clementineport.FaultStale:
		return clementineport.FaultStale
	case errors.Is(err, cpconn.ErrProbing):
		return clementineport.FaultUnavailable
	case errors.Is(err, cpconn.ErrShareExceeded):
		return clementineport.FaultShed
	case e.conn == nil:
		return clementineport.FaultRefused
	default:
		return clementineport.FaultUnsent
	}
}

func decodeReply(call *clementineport.Call, data []byte) (*clementineport.Reply, error) {
	var body SearchResponse
	if err := easyjson.Unmarshal(data, &body); err != nil {
		return nil, &clementineport.Error{Fault: clementineport.FaultMalformed, Err: err}
	}
	if body.Request != call.Request || body.Shard != call.Shard || body.Snapshot != call.Snapshot {
		return nil, clementineport.Fail(clementineport.FaultMismatched,
			"asked for %q shard %d %v, got %q shard %d %v",
			call.Request, call.Shard, call.Snapshot, body.Request, body.Shard, body.Snapshot)
	}
	return &clementineport.Reply{
		Request:  body.Request,
		Shard:    body.Shard,
		Snapshot: body.Snapshot,
		Hits:     body.Hits,
		Signals:  body.Signals,
	}, nil
}

func decodeRefusal(call *clementineport.Call, status int, data []byte) (*clementineport.Reply, error) {
	if !clementineport.ValidStatus(status) {
		return nil, clementineport.Fail(clementineport.FaultMalformed, "response with status %03d", status)
	}
	var body Refusal
	if err := easyjson.Unmarshal(data, &body); err != nil {
		return nil, clementineport.Fail(faultOfStatus(status), "status %d without a refusal", status)
	}
	if body.Request != call.Request || body.Shard != call.Shard {
		return nil, clementineport.Fail(clementineport.FaultMismatched, "refusal of another call")
	}
	if !refusalFaults[body.Fault] {
		return nil, clementineport.Fail(faultOfStatus(status), "status %d: %s", status, body.Reason)
	}
	reply := &clementineport.Reply{Request: body.Request, Shard: body.Shard, Signals: body.Signals}
	return reply, &clementineport.Error{
		Fault:      body.Fault,
		Reason:     body.Reason,
		RetryAfter: time.Duration(body.RetryAfterMilliseconds) * time.Millisecond,
	}
}

func faultOfStatus(status int) clementineport.Fault {
	if status >= http.StatusInternalServerError {
		return clementineport.FaultInternal
	}
	return clementineport.FaultMalformed
}
