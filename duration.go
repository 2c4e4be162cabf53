package clementineport

import (
	"math"
	"time"
)

// MaxDuration limits durations that are read from outside. It is long enough to mean "no limit", and short enough to be
// added to a time.
const MaxDuration = 365 * 24 * time.Hour

// DurationOf returns n units as a duration of at most MaxDuration. It returns zero if n is negative or not a number.
func DurationOf(n float64, unit time.Duration) time.Duration {
	if math.IsNaN(n) || n <= 0 {
		return 0
	}
	return time.Duration(min(n*float64(unit), float64(MaxDuration)))
}
