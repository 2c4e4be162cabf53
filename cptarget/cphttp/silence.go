package cphttp

import "time"

// Silence decides when a connection that does not answer is closed.
// A connection is compared with the other connections to the same target: when they answer and it
// does not, it is silent. When none answers, the rule waits for longer.
type Silence struct {
	// Off keeps every connection.
	Off bool
	// Floor is the shortest wait that counts as silence.
	Floor time.Duration
	// Factor is the wait that counts as silence, as a multiple of the typical time of an answer.
	Factor float64
	// AloneFloor is the shortest wait that counts as silence while no connection answers.
	AloneFloor time.Duration
	// Streak is the number of calls in a row that end without a byte after which idle connections are closed.
	Streak int
	// Interval is the time between checks.
	Interval time.Duration
}

// DefaultSilence returns the default rule.
func DefaultSilence() Silence {
	return Silence{
		Floor:      250 * time.Millisecond,
		Factor:     30,
		AloneFloor: time.Second,
		Streak:     3,
		Interval:   50 * time.Millisecond,
	}
}

// Wait is one call that waits for its answer.
type Wait struct {
	// Since is when the call was sent or its connection last delivered a byte.
	Since time.Time
	// Answered is when another connection to the target last delivered a byte.
	Answered time.Time
}

// Doubtful reports whether the call has waited long enough to be silent while no connection has answered,
// so that it has to be found out whether the target answers on a new one.
func (s Silence) Doubtful(now time.Time, w Wait, typical time.Duration) bool {
	limit := time.Duration(s.Factor * float64(typical))
	return !s.Off && !w.Answered.After(w.Since) && now.Sub(w.Since) > max(limit, s.Floor)
}

// Silent reports whether the call's connection is silent, given the typical time of an answer.
func (s Silence) Silent(now time.Time, w Wait, typical time.Duration) bool {
	if s.Off {
		return false
	}
	limit := time.Duration(s.Factor * float64(typical))
	waited := now.Sub(w.Since)
	if w.Answered.After(w.Since) {
		return waited > max(limit, s.Floor)
	}
	return waited > max(limit, s.AloneFloor)
}
