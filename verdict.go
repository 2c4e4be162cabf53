package clementineport

import (
	"errors"
	"fmt"
	"time"
)

// Verdict states whether a request may have run.
type Verdict uint8

const (
	// MayHaveRun means that the request may or may not have run; it is the zero value.
	MayHaveRun Verdict = iota
	// NotRun means that the request has not run and will not run.
	NotRun
	// Ran means that the request has run.
	Ran
)

var verdictNames = [...]string{"may-have-run", "not-run", "ran"}

// String returns the name of the verdict in the caller API.
func (v Verdict) String() string { return verdictNames[v] }

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (v *Verdict) UnmarshalText(text []byte) error {
	for i, name := range verdictNames {
		if name == string(text) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", text)
}

// Fault is the reason why a call failed.
type Fault uint8

const (
	// FaultUnknown is a failure without a more specific fault.
	FaultUnknown Fault = iota
	// FaultRefused means that no connection could be made.
	FaultRefused
	// FaultUnsent means that the connection failed before any byte of the request was written.
	FaultUnsent
	// FaultReset means that the connection failed after a byte of the request may have been written.
	FaultReset
	// FaultCut means that the body of the response ended early.
	FaultCut
	// FaultTimeout means that no response arrived in time.
	FaultTimeout
	// FaultCanceled means that the call was cancelled after it may have been sent.
	FaultCanceled
	// FaultMalformed means that the response could not be decoded.
	FaultMalformed
	// FaultMismatched means that the response belongs to another request, shard or snapshot.
	FaultMismatched
	// FaultOversized means that the response was larger than allowed.
	FaultOversized
	// FaultInternal means that the receiver failed while it ran the request.
	FaultInternal
	// FaultSnapshot means that the receiver does not hold the requested snapshot.
	FaultSnapshot
	// FaultShed means that the receiver is overloaded and refused the request.
	FaultShed
	// FaultDraining means that the receiver is draining and refused the request.
	FaultDraining
	// FaultCold means that the receiver is in a cold start and refused the request.
	FaultCold
	// FaultDeadline means that too little time was left and the request was not sent.
	FaultDeadline
	// FaultNotOwner means that the receiving VM does not own the requested target.
	FaultNotOwner
	// FaultStale means that the sender's configuration is too old to send new work.
	FaultStale
	// FaultInvalid means that the request is malformed or not allowed.
	FaultInvalid
	// FaultDuplicate means that the request id was used before and its outcome is unknown.
	FaultDuplicate
	// FaultTakenOut means that the target or VM has been taken out of service.
	FaultTakenOut
	// FaultUnavailable means that no usable target, VM or store is known.
	FaultUnavailable
	// FaultConflict means that the configuration has changed since the revision that was edited.
	FaultConflict
	// FaultUnauthorized means that the token of a VM or operator, or the key of a caller, was missing or wrong.
	FaultUnauthorized
	// FaultCoverage means that the request ran, but its answer is below the least coverage of the service.
	FaultCoverage
	// FaultNotFound means that the requested service does not exist.
	FaultNotFound
	// FaultHistory means that the requested changes are no longer kept.
	FaultHistory
	// FaultMisdirected means that another process answers at the target's address.
	FaultMisdirected
	// FaultUnreached means that the VM reaches no target.
	FaultUnreached
	// FaultQuota means that the quota of the workspace is used up.
	FaultQuota
	numFaults
)

type faultRow struct {
	name    string
	verdict Verdict
}

var faultRows = [numFaults]faultRow{
	FaultUnknown:      {"unknown", MayHaveRun},
	FaultRefused:      {"refused", NotRun},
	FaultUnsent:       {"unsent", NotRun},
	FaultReset:        {"reset", MayHaveRun},
	FaultCut:          {"cut", MayHaveRun},
	FaultTimeout:      {"timeout", MayHaveRun},
	FaultCanceled:     {"canceled", MayHaveRun},
	FaultMalformed:    {"malformed", MayHaveRun},
	FaultMismatched:   {"mismatched", MayHaveRun},
	FaultOversized:    {"oversized", MayHaveRun},
	FaultInternal:     {"internal", MayHaveRun},
	FaultSnapshot:     {"snapshot", NotRun},
	FaultShed:         {"shed", NotRun},
	FaultDraining:     {"draining", NotRun},
	FaultCold:         {"cold", NotRun},
	FaultDeadline:     {"deadline", NotRun},
	FaultNotOwner:     {"not-owner", NotRun},
	FaultStale:        {"stale", NotRun},
	FaultInvalid:      {"invalid", NotRun},
	FaultDuplicate:    {"duplicate", MayHaveRun},
	FaultTakenOut:     {"taken-out", NotRun},
	FaultUnavailable:  {"unavailable", NotRun},
	FaultConflict:     {"conflict", NotRun},
	FaultUnauthorized: {"unauthorized", NotRun},
	FaultNotFound:     {"not-found", NotRun},
	FaultCoverage:     {"coverage", MayHaveRun},
	FaultHistory:      {"history", NotRun},
	FaultMisdirected:  {"misdirected", NotRun},
	FaultUnreached:    {"unreached", NotRun},
	FaultQuota:        {"quota", NotRun},
}

// Faults returns every fault.
func Faults() []Fault {
	faults := make([]Fault, 0, numFaults)
	for f := range numFaults {
		faults = append(faults, f)
	}
	return faults
}

// String returns the name of the fault in the caller API.
func (f Fault) String() string {
	if f >= numFaults {
		f = FaultUnknown
	}
	return faultRows[f].name
}

// Verdict returns whether a request that failed with the fault may have run.
func (f Fault) Verdict() Verdict {
	if f >= numFaults {
		f = FaultUnknown
	}
	return faultRows[f].verdict
}

// MarshalText implements encoding.TextMarshaler.
func (f Fault) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler; an unknown name becomes FaultUnknown.
func (f *Fault) UnmarshalText(text []byte) error {
	*f = FaultUnknown
	for i := range faultRows {
		if faultRows[i].name == string(text) {
			*f = Fault(i)
		}
	}
	return nil
}

// Error is a failed call.
type Error struct {
	Fault      Fault
	Reason     string
	RetryAfter time.Duration
	// Entry is the address of another entry VM, set when the refusing one is leaving.
	Entry string
	Err   error
}

// Fail returns an Error for a fault.
func Fail(fault Fault, format string, args ...any) *Error {
	return &Error{Fault: fault, Reason: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	switch {
	case e.Err != nil && e.Reason != "":
		return e.Fault.String() + ": " + e.Reason + ": " + e.Err.Error()
	case e.Err != nil:
		return e.Fault.String() + ": " + e.Err.Error()
	default:
		return e.Fault.String() + ": " + e.Reason
	}
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Verdict returns the verdict of the fault of the error.
func (e *Error) Verdict() Verdict { return e.Fault.Verdict() }

// FaultOf returns the fault of an error; an error of another type is FaultUnknown.
func FaultOf(err error) Fault {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Fault
	}
	return FaultUnknown
}

// VerdictOf returns the verdict of an error; a nil error means that the request ran.
func VerdictOf(err error) Verdict {
	if err == nil {
		return Ran
	}
	return FaultOf(err).Verdict()
}
