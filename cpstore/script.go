package cpstore

import (
	"fmt"
	"sync"
	"time"
)

// Op is a kind of call to the store.
type Op uint8

const (
	// OpGet reads an item.
	OpGet Op = iota
	// OpWatch waits for an item to change.
	OpWatch
	// OpCompareAndSwap writes an item if its version is the expected one.
	OpCompareAndSwap
	// OpLease acquires or renews a lease.
	OpLease
	// OpList reads the list of VMs.
	OpList
	// NumOps is the number of kinds of calls.
	NumOps
)

var opNames = [NumOps]string{"get", "watch", "compare-and-swap", "lease", "list"}

// String returns the name of the kind of call.
func (o Op) String() string { return opNames[o] }

// Mode is the way in which a call fails.
type Mode uint8

const (
	// ModeNone injects no failure.
	ModeNone Mode = iota
	// ModeDown returns the error that the store is unavailable.
	ModeDown
	// ModeRefuse refuses the connection.
	ModeRefuse
	// ModeResetBefore resets the connection before the call takes effect.
	ModeResetBefore
	// ModeLoseReply resets the connection after the call has taken effect.
	ModeLoseReply
	// ModeCut truncates the response after the call has taken effect.
	ModeCut
	// ModeHang sends no response, and the call does not take effect.
	ModeHang
	// ModeHangAfter sends no response after the call has taken effect.
	ModeHangAfter
	// ModeMalformed sends a response that can't be decoded, after the call has taken effect.
	ModeMalformed
	// ModeOversized sends a response that is too large, after the call has taken effect.
	ModeOversized
	// ModeSlow delays the call.
	ModeSlow
	numModes
)

var modeNames = [numModes]string{
	"none", "down", "refuse", "reset-before", "lose-reply", "cut", "hang", "hang-after", "malformed", "oversized", "slow",
}

// String returns the name of the mode.
func (m Mode) String() string { return modeNames[m] }

// MarshalText implements encoding.TextMarshaler.
func (m Mode) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (m *Mode) UnmarshalText(text []byte) error {
	for i, name := range modeNames {
		if name == string(text) {
			*m = Mode(i)
			return nil
		}
	}
	return fmt.Errorf("unknown mode %q; allowed: %v", text, modeNames)
}

// Failure is a scripted failure.
type Failure struct {
	Mode Mode
	// Delay is the delay of ModeSlow.
	Delay time.Duration
	// SkipCalls is the number of calls to skip before the first failure.
	SkipCalls int
	// Calls is the number of calls that fail; zero means all calls until Clear.
	Calls int
	// WritesOnly restricts the failure to compare-and-swaps and lease acquisitions.
	WritesOnly bool
}

// Script is a list of failures that determines which calls fail, and how.
type Script struct {
	mu       sync.Mutex
	failures []Failure
}

// Add appends a failure. A call fails with the first failure that applies to it.
func (s *Script) Add(f Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, f)
}

// Clear removes all failures.
func (s *Script) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = nil
}

// Next returns the failure of the next call, or a Failure with ModeNone, and counts the call.
func (s *Script) Next(op Op) Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.failures {
		f := s.failures[i]
		if f.WritesOnly && op != OpCompareAndSwap && op != OpLease {
			continue
		}
		if f.SkipCalls > 0 {
			s.failures[i].SkipCalls--
			continue
		}
		if f.Calls == 1 {
			s.failures = append(s.failures[:i:i], s.failures[i+1:]...)
		} else if f.Calls > 1 {
			s.failures[i].Calls--
		}
		return f
	}
	return Failure{}
}
