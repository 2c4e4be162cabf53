package cpadmit

import (
	"math"
	"time"

	"github.com/clementineport/clementineport"
)

// Measurement windows of the limit.
const (
	minWindow     = 100 * time.Millisecond
	maxWindow     = time.Second
	windowSamples = 40
)

// Steps of the limit and of the averages.
const (
	minCutFactor    = 0.7  // least factor of one cut
	shedShare       = 0.05 // share of shed answers that counts as overload
	shedCutFactor   = 0.8
	lowLoadShare    = 0.5 // of the limit, below which the queries in progress are few
	smoothingWeight = 0.3 // of a window in the averages
)

// adaptiveLimit is the adaptive adaptiveLimit on queries in progress. It follows the time that calls spend outside their
// targets: while that exceeds the allowed queueing, the adaptiveLimit falls. Slow targets alone do not lower it.
type adaptiveLimit struct {
	opts         *Options
	value        float64
	serviceTimes map[clementineport.ServiceID]float64 // smoothed seconds of a query without queueing

	started        time.Time
	samples        int
	answered       int
	shed           int
	refused        int
	peak           int // queries in progress
	limited        bool
	limitedClass   clementineport.Class // lowest class that the limit kept waiting
	elapsedSeconds float64              // seconds of the answers of this window
	queueSeconds   float64              // seconds of them that were queueing

	latency        float64 // smoothed seconds of an answer
	queueDelay     float64 // smoothed seconds of queueing of an answer
	refusalRate    float64 // smoothed refusals a second
	completionRate float64 // smoothed completions a second
}

func newLimit(o *Options) *adaptiveLimit {
	return &adaptiveLimit{opts: o, value: float64(o.InitialLimit), serviceTimes: make(map[clementineport.ServiceID]float64)}
}

// markLimited records that the limit keeps a query of a class waiting.
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

// tick closes the window when it is long enough.
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

// adjust moves the limit by one step. After a cut, the averages assume that it had its effect.
func (l *adaptiveLimit) adjust() {
	service := l.latency - l.queueDelay
	allowed := max(l.opts.QueueDelayShare*service, l.opts.MinQueueDelay.Seconds())
	if l.limited {
		allowed *= l.opts.ClassQueueDelayShare[l.limitedClass]
	}
	switch {
	case !l.limited && float64(l.peak) < lowLoadShare*l.value:
		// The limit is not what lets the queries queue or be shed.
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

// smooth moves an average towards a value; the first value becomes the average.
func smooth(average, value, weight float64) float64 {
	if average == 0 {
		return value
	}
	return average + weight*(value-average)
}
