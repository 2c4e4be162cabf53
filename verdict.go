package clementineport

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have run.
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

// String returns the verdict as it appears in the caller API.
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

// Fault classifies why a call failed.
type Fault uint8

const (
	// FaultUnknown is a failure of unknown kind.
	FaultUnknown Fault = iota
	// FaultRefused means that no connection could be made.
	FaultRefused
	// FaultUnsent means that the connection failed before any byte of the request was written.
	FaultUnsent
	// FaultReset means that the connection failed after a byte of the request may have been written.
	FaultReset
	// FaultCut means that the body of the response ended early.
	FaultCut
	// FaultTimeout means that no response came in time.
	FaultTimeout
	// FaultCanceled means that the caller of the call gave up on it after it may have been sent.
	FaultCanceled
	// FaultMalformed means that the response could not be decoded.
	FaultMalformed
	// FaultMismatched means that the response belongs to another request, shard or snapshot.
	FaultMismatched
	// FaultOversized means that the response was larger than allowed.
	FaultOversized
	// FaultInternal means that the receiver failed while it ran the request.
	FaultInternal
	// FaultSnapshot means that the receiver does not hold the snapshot asked for.
	FaultSnapshot
	// FaultShed means that the receiver is overloaded and refused the request.
	FaultShed
	// FaultDraining means that the receiver is leaving and refused the request.
	FaultDraining
	// FaultCold means that the receiver is in a cold start and refused the request.
	FaultCold
	// FaultDeadline means that the request was given up before it was sent, for lack of time.
	FaultDeadline
	// FaultNotOwner means that the receiving VM does not serve the target asked for.
	FaultNotOwner
	// FaultStale means that the sender's configuration is too old to send new work.
	FaultStale
	// FaultInvalid means that the request itself is wrong.
	FaultInvalid
	// FaultDuplicate means that the request id was used before and its outcome is not known.
	FaultDuplicate
	// FaultTakenOut means that the target or VM has been taken out of service.
	FaultTakenOut
	// FaultUnavailable means that no usable target, VM or store was known.
	FaultUnavailable
	// FaultConflict means that the configuration changed since the revision that was edited.
	FaultConflict
	// FaultUnauthorized means that the token was missing or wrong.
	FaultUnauthorized
	// FaultCoverage means that the request ran and its answer is below the least coverage of the service.
	FaultCoverage
	// FaultNotFound means that the service asked for does not exist.
	FaultNotFound
	// FaultHistory means that the changes asked for are no longer kept.
	FaultHistory
	// FaultMisdirected means that another process answers at the target's address.
	FaultMisdirected
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
}

// Faults returns every fault.
func Faults() []Fault {
	faults := make([]Fault, 0, numFaults)
	for f := range numFaults {
		faults = append(faults, f)
	}
	return faults
}

// String returns the fault as it appears in the caller API.
func (f Fault) String() string {
	if f >= numFaults {
		f = FaultUnknown
	}
	return faultRows[f].name
}

// Verdict returns what the fault proves about the request.
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

// Error is a failed call with what it proves about the request.
type Error struct {
	Fault      Fault
	Reason     string
	RetryAfter time.Duration
	// Entry is the address of another entry VM, when the refusing one is leaving.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Verdict returns what the error proves about the request.
func (e *Error) Verdict() Verdict { return e.Fault.Verdict() }

// FaultOf returns the fault of an error; an error of another type is FaultUnknown.
func FaultOf(err error) Fault {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Fault
	}
	return FaultUnknown
}

// VerdictOf returns what an error proves about the request; no error means that it ran.
func VerdictOf(err error) Verdict {
	if err == nil {
		return Ran
	}
	return FaultOf(err).Verdict()
}
