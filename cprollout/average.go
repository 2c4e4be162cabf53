package cprollout

import (
	"math"
	"time"
)

// average is an average of outcomes in which earlier ones count less and less.
type average struct {
	ended, bad float64
	at         time.Time
}

// add adds outcomes. Those of a time constant before count a third.
func (a *average) add(now time.Time, constant time.Duration, ended, bad int64) {
	if passed := now.Sub(a.at); passed > 0 && ended > 0 {
		keep := math.Exp(-float64(passed) / float64(constant))
		a.ended, a.bad = a.ended*keep, a.bad*keep
		a.at = now
	}
	a.ended += float64(ended)
	a.bad += float64(bad)
}

// Weights of the assumption that outcomes are good, in outcomes. A small sample of bad ones must not hide a bad new version.
const (
	priorEnded = 20
	priorBad   = 0.1
)

// rate returns the rate of bad outcomes.
func (a *average) rate() float64 { return (a.bad + priorBad) / (a.ended + priorEnded) }

// asBad reports whether the outcomes are about as bad as a rate.
func (a *average) asBad(rate float64) bool {
	const about = 0.6
	return a.rate() >= about*rate
}
