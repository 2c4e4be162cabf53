// Package cpslowstart limits the concurrent calls to a target after a cold start.
//
// The limit of a target depends only on the results of its calls. The package reads no clock and queues no calls.
package cpslowstart

import (
	"time"

	"github.com/clementineport/clementineport"
)

// SlowStart is the limit on concurrent calls to one target. It starts at one and increases only while the
// answers show that the target can serve more.
type SlowStart struct {
	opts  Options
	slots int
	// limit is the limit on concurrent calls; it equals slots when the target is warm.
	limit int
	// savedLimit is the limit to restore when a suspected restart turns out not to be one; zero if none is suspected.
	savedLimit int
	start      clementineport.StartID
	// peakInUse is the peak of concurrent calls since the last change of the limit.
	peakInUse int
	good      int
	bad       int
	jumps     int
	answers   int
	// failures is the number of consecutive refusals and failed connections.
	failures int
	// suspectedAt is when a restart was last suspected; only the answer to a call started later can rule it out.
	suspectedAt time.Time
	// loweredAt is when the limit was last halved for a shed call; calls started earlier do not lower it again.
	loweredAt time.Time
}

// New returns the slow start of a target that may be cold.
func New(o Options, slots int) SlowStart {
	s := SlowStart{opts: o, slots: slots, limit: 1}
	if o.Disabled {
		s.limit = slots
	}
	return s
}

// Warm reports whether all slots are allowed and no restart is suspected.
func (s *SlowStart) Warm() bool { return s.limit >= s.slots && s.savedLimit == 0 }

// Limit returns the current limit on concurrent calls.
func (s *SlowStart) Limit() int { return s.limit }

// RestartSuspected reports whether a restart is suspected that no answer has ruled out.
func (s *SlowStart) RestartSuspected() bool { return s.savedLimit > 0 }

// Start returns the start id of the last answer.
func (s *SlowStart) Start() clementineport.StartID { return s.start }

// Resize changes the number of slots.
func (s *SlowStart) Resize(slots int) {
	if s.Warm() && slots > s.slots && !s.opts.Disabled {
		s.peakInUse = 0
	}
	if s.opts.Disabled {
		s.limit = slots
	}
	s.slots = slots
	s.limit = min(s.limit, slots)
	s.savedLimit = min(s.savedLimit, slots)
}

// SuspectRestart lowers the limit to one until an answer shows whether the target has restarted.
func (s *SlowStart) SuspectRestart(now time.Time) {
	if s.opts.Disabled {
		return
	}
	s.suspectedAt = now
	if s.savedLimit == 0 {
		s.savedLimit = s.limit
	}
	s.limit = 1
}

func (s *SlowStart) resetToCold() {
	if s.opts.Disabled {
		return
	}
	s.limit, s.savedLimit = 1, 0
	s.resetCounts()
}

func (s *SlowStart) resetCounts() { s.peakInUse, s.good, s.bad, s.jumps, s.answers = 0, 0, 0, 0, 0 }

// Observe updates the limit with the result of a call that started at started. inUse is the number of calls in use when
// the call ended, and warmLatency the latency of a warm target, or zero if it is unknown.
func (s *SlowStart) Observe(now, started time.Time, res *clementineport.CallResult, inUse int, warmLatency time.Duration) {
	if s.opts.Disabled {
		return
	}
	s.peakInUse = max(s.peakInUse, inUse)
	if start := res.Signals.Start; start != "" && start != s.start {
		if s.start != "" {
			s.resetToCold()
		}
		s.start = start
	}
	if res.Err != nil {
		s.observeFailure(now, started, clementineport.FaultOf(res.Err), res.Elapsed, warmLatency)
		return
	}
	s.failures = 0
	if s.savedLimit > 0 {
		if !started.After(s.suspectedAt) {
			return
		}
		s.limit, s.savedLimit = s.savedLimit, 0
	}
	s.observeAnswer(res, warmLatency)
}

func (s *SlowStart) observeFailure(now, started time.Time, f clementineport.Fault, elapsed, warmLatency time.Duration) {
	switch f {
	case clementineport.FaultCold:
		s.resetToCold()
	case clementineport.FaultShed:
		s.failures++
		s.halveLimit(now, started)
	case clementineport.FaultRefused, clementineport.FaultUnsent, clementineport.FaultReset,
		clementineport.FaultCut:
		s.failures++
		s.SuspectRestart(now)
	case clementineport.FaultTimeout, clementineport.FaultCanceled:
		if s.IsLatencyJump(elapsed, warmLatency) {
			s.countAnswer(false, true)
		}
		return
	default:
		return
	}
	if s.failures >= s.opts.MaxFailures {
		s.resetToCold()
	}
}

// halveLimit halves the limit once for all calls that were in flight at the same time.
func (s *SlowStart) halveLimit(now, started time.Time) {
	if started.Before(s.loweredAt) {
		return
	}
	s.loweredAt = now
	s.limit = max(s.limit/2, 1)
	s.resetCounts()
}

// IsLatencyJump reports whether a latency is so much higher than the warm latency that the target may be cold.
func (s *SlowStart) IsLatencyJump(elapsed, warmLatency time.Duration) bool {
	return warmLatency > 0 && float64(elapsed) > s.opts.JumpFactor*float64(warmLatency)
}

func (s *SlowStart) observeAnswer(res *clementineport.CallResult, warmLatency time.Duration) {
	good := !res.Signals.Cold &&
		(warmLatency == 0 || float64(res.Elapsed) <= s.opts.GoodFactor*float64(warmLatency))
	s.countAnswer(good, s.IsLatencyJump(res.Elapsed, warmLatency))
	if res.Signals.Cold && s.Warm() && s.slots > 1 {
		s.resetToCold()
		return
	}
	step := s.opts.StepAnswers
	if warmLatency == 0 {
		step *= s.opts.UnknownLatencyFactor
	}
	if !s.Warm() && s.good >= step && s.peakInUse >= s.limit && s.bad*4 <= s.good {
		s.limit++
		s.resetCounts()
	}
}

// countAnswer counts one answer, and halves the limit when most answers of a window are latency jumps.
func (s *SlowStart) countAnswer(good, jump bool) {
	if good {
		s.good++
	} else {
		s.bad++
	}
	if jump {
		s.jumps++
	}
	s.answers++
	if s.answers < s.opts.Window {
		return
	}
	if s.jumps*2 > s.answers {
		s.limit = max(s.limit/2, 1)
		s.resetCounts()
		return
	}
	s.answers, s.jumps = 0, 0
	if s.bad*4 > s.good {
		s.good, s.bad = 0, 0
	}
}
