package cpconnect

import (
	"context"
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"

	"github.com/clementineport/clementineport"
)

// errorToWire returns the fault of an error, its reason and its retry delay.
func errorToWire(err error) (fault uint32, reason string, retryAfterNanos int64) {
	e, ok := errors.AsType[*clementineport.Error](err)
	if !ok {
		return uint32(clementineport.FaultUnknown), toValidUTF8(err.Error()), 0
	}
	return uint32(e.Fault), toValidUTF8(e.Reason), int64(e.RetryAfter)
}

func errorFromWire(fault uint32, reason string, retryAfterNanos int64) *clementineport.Error {
	f := clementineport.Fault(fault)
	if fault > uint32(^clementineport.Fault(0)) {
		f = clementineport.FaultUnknown
	}
	return &clementineport.Error{Fault: f, Reason: reason, RetryAfter: time.Duration(retryAfterNanos)}
}

// classify returns the error of a failed call between VMs; sent reports whether any bytes may have been sent.
func classify(ctx context.Context, err error, sent bool) *clementineport.Error {
	return &clementineport.Error{Fault: faultOf(ctx, err, sent), Err: err}
}

func faultOf(ctx context.Context, err error, sent bool) clementineport.Fault {
	if connect.CodeOf(err) == connect.CodeUnauthenticated {
		return clementineport.FaultUnauthorized
	}
	if !sent {
		return unsentFault(ctx, err)
	}
	if connect.CodeOf(err) == connect.CodeUnimplemented {
		return clementineport.FaultNotOwner // a VM of an earlier build
	}
	switch connect.CodeOf(err) {
	case connect.CodeDeadlineExceeded:
		return clementineport.FaultTimeout
	case connect.CodeCanceled:
		if ctx.Err() == nil {
			return clementineport.FaultReset
		}
		return clementineport.FaultCanceled
	case connect.CodeInvalidArgument:
		return clementineport.FaultMalformed
	case connect.CodeResourceExhausted:
		return clementineport.FaultOversized
	case connect.CodeInternal:
		return clementineport.FaultInternal
	default:
		return clementineport.FaultReset
	}
}

func unsentFault(ctx context.Context, err error) clementineport.Fault {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return clementineport.FaultRefused
	case ctx.Err() != nil:
		return clementineport.FaultDeadline
	default:
		return clementineport.FaultUnsent
	}
}
