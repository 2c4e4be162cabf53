package cphttp

import "time"

// StallRule decides when a connection no longer delivers anything (is stalled) and must be closed.
// A connection is compared with the other connections to the same target: if they deliver responses and it does not,
// it is stalled. If none of them does, the rule waits longer.
type StallRule struct {
	// Disabled turns the detection off.
	Disabled bool
	// MinWait is the shortest time without a byte after which a connection counts as stalled.
	MinWait time.Duration
	// ResponseTimeFactor is the time without a byte after which a connection counts as stalled, as a multiple of the
	// mean response time.
	ResponseTimeFactor float64
	// MinWaitAllStalled replaces MinWait while no connection to the target delivers a response.
	MinWaitAllStalled time.Duration
	// MaxUnanswered is the number of consecutive calls without a byte of a response after which the idle connections
	// are closed.
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

// PendingCall is the state of a call that waits for its response.
type PendingCall struct {
	// LastProgress is when the call was sent or its connection last delivered a byte, whichever is later.
	LastProgress time.Time
	// LastResponse is when the target last completed a response on another connection.
	LastResponse time.Time
}

// Suspect reports whether the call has waited long enough to be stalled while no connection has delivered a response
// either. A health check on a new connection then shows whether the target is responsive.
func (r StallRule) Suspect(now time.Time, p PendingCall, mean time.Duration) bool {
	limit := time.Duration(r.ResponseTimeFactor * float64(mean))
	return !r.Disabled && !p.LastResponse.After(p.LastProgress) && now.Sub(p.LastProgress) > max(limit, r.MinWait)
}

// Stalled reports whether the call's connection is stalled, given the mean response time.
func (r StallRule) Stalled(now time.Time, p PendingCall, mean time.Duration) bool {
	if r.Disabled {
		return false
	}
	limit := time.Duration(r.ResponseTimeFactor * float64(mean))
	waited := now.Sub(p.LastProgress)
	if p.LastResponse.After(p.LastProgress) {
		return waited > max(limit, r.MinWait)
	}
	return waited > max(limit, r.MinWaitAllStalled)
}
