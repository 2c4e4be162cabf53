package cpfailover

import (
	"sync"
	"time"

	"github.com/clementineport/clementineport"
)

// Weights of the smoothed latency and of its deviation.
const (
	meanWeight      = 0.125
	deviationWeight = 0.25
)

// unresponsiveDeviations is the number of deviations above the mean after which an entry counts as unresponsive.
const unresponsiveDeviations = 8

// minUnresponsiveAfter is the minimum time after which an entry counts as unresponsive.
const minUnresponsiveAfter = 50 * time.Millisecond

// LatencyEstimator estimates how long the answers of each service take.
type LatencyEstimator struct {
	mu       sync.Mutex
	services map[clementineport.ServiceID]estimate
}

// estimate is a smoothed latency and its smoothed absolute deviation, in seconds.
type estimate struct{ mean, deviation float64 }

// NewLatencyEstimator returns an estimator without observations.
func NewLatencyEstimator() *LatencyEstimator {
	return &LatencyEstimator{services: make(map[clementineport.ServiceID]estimate)}
}

// Observe records the latency of one answer.
func (l *LatencyEstimator) Observe(id clementineport.ServiceID, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.services[id]
	if !known {
		l.services[id] = estimate{d.Seconds(), d.Seconds() / 2}
		return
	}
	off := d.Seconds() - e.mean
	e.mean += meanWeight * off
	e.deviation += deviationWeight * (max(off, -off) - e.deviation)
	l.services[id] = e
}

// UnresponsiveAfter returns the time without an answer to a query of the service after which its entry counts as
// unresponsive. It returns zero if no answer has been observed.
func (l *LatencyEstimator) UnresponsiveAfter(id clementineport.ServiceID) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, known := l.services[id]
	if !known {
		return 0
	}
	return max(time.Duration((e.mean+unresponsiveDeviations*e.deviation)*float64(time.Second)), minUnresponsiveAfter)
}
