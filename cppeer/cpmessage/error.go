package cpmessage

import (
	"errors"
	"time"

	"github.com/clementineport/clementineport"
)

// EncodeError returns the fault of an error, its reason and its retry delay.
func EncodeError(err error) (fault uint32, reason string, retryAfterNanos int64) {
	e, ok := errors.AsType[*clementineport.Error](err)
	if !ok {
		return uint32(clementineport.FaultUnknown), toValidUTF8(err.Error()), 0
	}
	return uint32(e.Fault), toValidUTF8(e.Reason), int64(e.RetryAfter)
}

// DecodeError returns the error with a fault, a reason and a retry delay. Faults of later builds are unknown.
func DecodeError(fault uint32, reason string, retryAfterNanos int64) *clementineport.Error {
	f := clementineport.Fault(fault)
	if fault > uint32(^clementineport.Fault(0)) {
		f = clementineport.FaultUnknown
	}
	return &clementineport.Error{Fault: f, Reason: reason, RetryAfter: time.Duration(retryAfterNanos)}
}
