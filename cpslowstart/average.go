package cpslowstart

import (
	"sync/atomic"
	"time"
)

// averageWeight is the reciprocal of the weight of a sample in an Average.
const averageWeight = 16

// Average is a moving average of durations. It is safe for concurrent use, but concurrent samples may be lost.
type Average struct{ ns atomic.Int64 }

// Value returns the average, or zero before the first sample.
func (a *Average) Value() time.Duration { return time.Duration(a.ns.Load()) }

// Observe adds a sample to the average.
func (a *Average) Observe(d time.Duration) {
	old := a.ns.Load()
	if old == 0 {
		a.ns.Store(int64(d))
		return
	}
	a.ns.Store(old + (int64(d)-old)/averageWeight)
}
