package cpadmit

import (
	"math"
	"time"

	"github.com/clementineport/clementineport"
)

// A measurement window ends after windowSamples queries, but not before minWindow nor after maxWindow.
const (
	minWindow     = 100 * time.Millisecond
	maxWindow     = time.Second
	windowSamples = 40
)

// Parameters of the limit adjustments and of the moving averages.
const (
	minCutFactor    = 0.7  // lower bound of the factor of one decrease
	shedShare       = 0.05 // share of shed queries above which the targets are overloaded
	shedCutFactor   = 0.8
	lowLoadShare    = 0.5 // of the limit; with a lower peak of queries in progress, the limit is not the cause of queueing
	smoothingWeight = 0.3 // weight of a window in the averages
)

// adaptiveLimit is the limit on queries in progress. It decreases while the queueing delay, the time that calls spend
// outside their targets, exceeds the allowed one. Slow targets alone do not lower it.
type adaptiveLimit struct {
	opts         *Options
	value        float64
	serviceTimes map[clementineport.ServiceID]float64 // moving averages in seconds, without queueing delay

	started        time.Time
	samples        int
	answered       int
	shed           int
	refused        int
	peak           int // most queries in progress
	limited        bool
	limitedClass   clementineport.Class // lowest class that had to wait
	elapsedSeconds float64              // total latency of the answers of this window
	queueSeconds   float64              // total queueing delay of the answers of this window

	latency        float64 // moving average in seconds
	queueDelay     float64 // moving average in seconds
	refusalRate    float64 // moving average of refusals per second
	completionRate float64 // moving average of completed queries per second
}

func newLimit(o *Options) *adaptiveLimit {
	return &adaptiveLimit{opts: o, value: float64(o.InitialLimit), serviceTimes: make(map[clementineport.ServiceID]float64)}
}

// markLimited records that a query of the class has to wait because of the limit.
func (l *adaptiveLimit) markLimited(c clementineport.Class) {
	if !l.limited || c < l.limitedClass {
		l.limitedClass = c
	}
	l.limited = true
}

// sample records the end of a query.
func (l *adaptiveLimit) sample(now time.Time, id clementineport.ServiceID, elapsed time.Duration, o Outcome) {
	l.samples++
	switch {
	case o.Shed:
		l.shed++
	case !o.Failed:
		queued := min(max(o.Queued, 0), elapsed)
		l.answered++
		l.elapsedSeconds += elapsed.Seconds()
		l.queueSeconds += queued.Seconds()
		l.serviceTimes[id] = smooth(l.serviceTimes[id], (elapsed - queued).Seconds(), smoothingWeight/windowSamples)
	}
	l.tick(now)
}

// tick ends the measurement window and adjusts the limit when the window is complete.
func (l *adaptiveLimit) tick(now time.Time) {
	if l.started.IsZero() {
		l.started = now
	}
	length := now.Sub(l.started)
	if length < minWindow || (l.samples < windowSamples && length < maxWindow) {
		return
	}
	if l.answered > 0 {
		l.latency = smooth(l.latency, l.elapsedSeconds/float64(l.answered), smoothingWeight)
		l.queueDelay += smoothingWeight * (l.queueSeconds/float64(l.answered) - l.queueDelay)
	}
	l.refusalRate += smoothingWeight * (float64(l.refused)/length.Seconds() - l.refusalRate)
	l.completionRate += smoothingWeight * (float64(l.samples)/length.Seconds() - l.completionRate)
	l.adjust()
	l.started, l.limited = now, false
	l.samples, l.answered, l.shed, l.refused, l.peak = 0, 0, 0, 0, 0
	l.elapsedSeconds, l.queueSeconds = 0, 0
}

// adjust changes the limit by one step. After a decrease for queueing it sets the averages to the values expected at the
// new limit.
func (l *adaptiveLimit) adjust() {
	service := l.latency - l.queueDelay
	allowed := max(l.opts.QueueDelayShare*service, l.opts.MinQueueDelay.Seconds())
	if l.limited {
		allowed *= l.opts.ClassQueueDelayShare[l.limitedClass]
	}
	switch {
	case !l.limited && float64(l.peak) < lowLoadShare*l.value:
		// Too few queries are in progress for the limit to be the cause of queueing or shedding.
	case float64(l.shed) > shedShare*float64(l.samples):
		l.value *= shedCutFactor
	case l.queueDelay > allowed:
		l.value *= max((service+allowed)/l.latency, minCutFactor)
		l.queueDelay, l.latency = allowed, service+allowed
	case l.limited:
		l.value += (1 - l.queueDelay/allowed) * max(math.Sqrt(l.value)/2, 1)
	}
	l.value = min(max(l.value, float64(l.opts.MinLimit)), float64(l.opts.MaxLimit))
}

// smooth adds a value to a moving average. The first value becomes the average.
func smooth(average, value, weight float64) float64 {
	if average == 0 {
		return value
	}
	return average + weight*(value-average)
}
