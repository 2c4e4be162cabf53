package cpstore

import (
	"fmt"
	"sync"
	"time"
)

// Op is a kind of call to the store.
type Op uint8

const (
	// OpGet is a read.
	OpGet Op = iota
	// OpWatch is a waiting read.
	OpWatch
	// OpCompareAndSwap is a compare-and-swap.
	OpCompareAndSwap
	// OpLease takes or renews a lease.
	OpLease
	// OpList reads the list of VMs.
	OpList
	// NumOps is the number of kinds of call.
	NumOps
)

var opNames = [NumOps]string{"get", "watch", "compare-and-swap", "lease", "list"}

// String returns the name of the kind of call.
func (o Op) String() string { return opNames[o] }

// Mode is a way in which a call fails.
type Mode uint8

const (
	// ModeNone lets the call through.
	ModeNone Mode = iota
	// ModeDown answers that the store is unavailable.
	ModeDown
	// ModeRefuse makes no connection.
	ModeRefuse
	// ModeResetBefore breaks the connection before the call has an effect.
	ModeResetBefore
	// ModeLoseReply breaks the connection after the call has had its effect.
	ModeLoseReply
	// ModeCut ends the response early, after the effect.
	ModeCut
	// ModeHang never answers and has no effect.
	ModeHang
	// ModeHangAfter never answers, after the effect.
	ModeHangAfter
	// ModeMalformed answers with a response that can't be decoded, after the effect.
	ModeMalformed
	// ModeOversized answers with a response that is too large, after the effect.
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

// Failure is one entry of a Script.
type Failure struct {
	Mode Mode
	// Delay is the time that ModeSlow adds.
	Delay time.Duration
	// SkipCalls is how many calls are let through first.
	SkipCalls int
	// Calls is how many calls fail; zero means all until Clear.
	Calls int
	// WritesOnly restricts the failure to compare-and-swaps and leases.
	WritesOnly bool
}

// Script decides which calls to a store fail, and how.
type Script struct {
	mu       sync.Mutex
	failures []Failure
}

// Add appends a failure; the first one that applies to a call is used.
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

// Next returns the failure of the next call and counts it.
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
