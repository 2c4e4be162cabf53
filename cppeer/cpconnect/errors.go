package cpconnect

import (
	"context"
	"errors"
	"net"

	"connectrpc.com/connect"

	"github.com/clementineport/clementineport"
)

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
