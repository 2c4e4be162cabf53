package cphttp

import "time"

// StallRule decides when a connection that does not answer is closed.
// A connection is compared with the other connections to the same target: when they answer and it
// does not, it is silent. When none answers, the rule waits for longer.
type StallRule struct {
	// Disabled keeps every connection.
	Disabled bool
	// MinWait is the shortest wait that counts as silence.
	MinWait time.Duration
	// ResponseTimeFactor is the wait that counts as silence, as a multiple of the typical time of an answer.
	ResponseTimeFactor float64
	// MinWaitAllStalled is the shortest wait that counts as silence while no connection answers.
	MinWaitAllStalled time.Duration
	// MaxUnanswered is the number of calls in a row that end without a byte after which idle connections are closed.
	MaxUnanswered int
	// Interval is the time between checks.
	Interval time.Duration
}

// DefaultStallRule returns the default rule.
func DefaultStallRule() StallRule {
	return StallRule{
		MinWait:            250 * time.Millisecond,
		ResponseTimeFactor: 30,
		MinWaitAllStalled:  time.Second,
		MaxUnanswered:      3,
		Interval:           50 * time.Millisecond,
	}
}

// PendingCall is one call that waits for its answer.
type PendingCall struct {
	// LastProgress is when the call was sent or its connection last delivered a byte.
	LastProgress time.Time
	// LastResponse is when another connection to the target last delivered a byte.
	LastResponse time.Time
}

// Suspect reports whether the call has waited long enough to be silent while no connection has answered,
// so that it has to be found out whether the target answers on a new one.
func (s StallRule) Suspect(now time.Time, w PendingCall, typical time.Duration) bool {
	limit := time.Duration(s.ResponseTimeFactor * float64(typical))
	return !s.Disabled && !w.LastResponse.After(w.LastProgress) && now.Sub(w.LastProgress) > max(limit, s.MinWait)
}

// Stalled reports whether the call's connection is silent, given the typical time of an answer.
func (s StallRule) Stalled(now time.Time, w PendingCall, typical time.Duration) bool {
	if s.Disabled {
		return false
	}
	limit := time.Duration(s.ResponseTimeFactor * float64(typical))
	waited := now.Sub(w.LastProgress)
	if w.LastResponse.After(w.LastProgress) {
		return waited > max(limit, s.MinWait)
	}
	return waited > max(limit, s.MinWaitAllStalled)
}
